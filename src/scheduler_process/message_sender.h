#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_MESSAGE_SENDER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_MESSAGE_SENDER_H_

#include <functional>
#include <memory>
#include <vector>

#include "cowslipmast/sched/cell_message.h"
#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Appends messages to the job streams of other cells, in order for each cell,
 * until the store has taken them. A message that is stored twice has the same
 * effect as once, unless it comes so late that the other cell has forgotten the
 * job: an owner that was suspended must not go on sending. */
class MessageSender {
 public:
  /** Messages wait while `may_send` is false: the proof of ownership is too
   * old. `on_stored` is called for each message that is stored. */
  static std::shared_ptr<MessageSender> Make(
      asio::io_context& io,
      const StorePort& store,
      std::function<bool()> may_send,
      std::function<void(const CellMessage&)> on_stored);
  ~MessageSender();

  void Send(std::vector<CellMessage> messages);
  /** Drops what is not stored; the next owner of the cell sends it again. */
  void Stop();
  /** Messages that are not stored yet. */
  size_t pending() const;

 private:
  struct Impl;
  explicit MessageSender(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_MESSAGE_SENDER_H_
