#ifndef COWSLIPMAST_SRC_SCHEDULER_TOPIC_FOLLOWER_H_
#define COWSLIPMAST_SRC_SCHEDULER_TOPIC_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

struct FollowTiming {
  Duration wait{0};  // of one call for a record
  Duration gap{0};   // between an answer with records and the next call
};

/** Newest records that were read already, and when they were asked for. */
struct FollowStart {
  TopicSnapshot snapshot;
  TimePoint asked;
};

/** Reads a topic's newest records, then follows what is added. Reads the newest
 * records again when history was dropped. */
class TopicFollower {
 public:
  using Records = std::map<std::string, std::string>;
  /** Called after each answer that changed something, with the newest value of
   * each key and the records that were added; the first time, and after a gap,
   * all count as added. */
  using OnRecords =
      std::function<void(const Records&, const std::vector<KeyedRecord>&)>;

  /** Follows on from `start` where it is set, without a callback for it. */
  static std::unique_ptr<TopicFollower> Make(
      asio::io_context& io,
      const StorePort& store,
      Topic topic,
      FollowTiming timing,
      OnRecords on_records,
      std::optional<FollowStart> start = std::nullopt);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  /** How long ago the last answer was asked for. */
  std::optional<Duration> Age() const;

 private:
  struct Impl;
  explicit TopicFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_TOPIC_FOLLOWER_H_
