#ifndef COWSLIPMAST_SRC_NET_MESSAGE_BUDGET_H_
#define COWSLIPMAST_SRC_NET_MESSAGE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace cowslipmast {

/** Bounds the memory of all messages that are being read, handled or sent, such
 * as the requests of one server and its answers. */
class MessageBudget {
 public:
  /** `bytes` is what all messages together may hold. */
  static std::shared_ptr<MessageBudget> Make(size_t bytes);

  /** The part of one message; returned when destroyed. Outlives neither the
   * budget nor what `give_up` refers to. */
  class Share {
   public:
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /** Sets what the message holds. If all together then hold too much, the
     * largest incomplete one is given up, which may be this one. */
    void SetBytes(size_t bytes);
    /** From now on the message is not given up. */
    void SetComplete();
    /** From now on it may be given up, such as an answer that is being sent. */
    void SetIncomplete();
    /** True once the message has been given up; its part counts no more. */
    bool is_given_up() const { return m_is_given_up; }

   private:
    friend class MessageBudget;
    Share(std::shared_ptr<MessageBudget> budget, std::function<void()> give_up);

    std::shared_ptr<MessageBudget> m_budget;
    std::function<void()> m_give_up;
    std::list<Share*>::iterator m_position;
    size_t m_bytes = 0;
    bool m_is_complete = false;
    bool m_is_given_up = false;
  };

  /** `give_up` is to end the reading or sending of the message; it is called
   * once at most, and must not destroy the share. */
  static std::unique_ptr<Share> Join(
      const std::shared_ptr<MessageBudget>& budget,
      std::function<void()> give_up);

  /** Messages that were given up since the start. */
  uint64_t given_up() const { return m_given_up; }

 private:
  explicit MessageBudget(size_t bytes);
  void GiveUpLargest();

  size_t m_limit;
  size_t m_used = 0;
  uint64_t m_given_up = 0;
  std::list<Share*> m_shares;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_MESSAGE_BUDGET_H_
