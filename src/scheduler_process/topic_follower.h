#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_TOPIC_FOLLOWER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_TOPIC_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

struct FollowTiming {
  // How long one call waits for a record.
  Duration max_wait{0};
  // Pause between a response with records and the next call.
  Duration pause_after_records{0};
  // Whether the callback gets the newest records, which stay in memory for
  // that.
  bool keeps_newest = true;
};

/** Snapshot that was read before, and when it was requested, since boot. */
struct FollowStart {
  TopicSnapshot snapshot;
  TimePoint requested_at;
};

/** Reads a topic's newest records, then the records that are added. Reads the
 * newest records again after the store deleted records that were not read yet.
 */
class TopicFollower {
 public:
  using Records = std::map<std::string, std::string>;
  /** Called after each response that changed something, with the newest value
   * of each key, unless they are not kept, and the added records; for the first
   * snapshot, and one after deleted history, all records count as added. */
  using OnRecords =
      std::function<void(const Records&, const std::vector<KeyedRecord>&)>;

  /** Continues from `start` if it is set, without a callback for its records.
   */
  static std::unique_ptr<TopicFollower> Make(
      asio::io_context& io,
      const StorePort& store,
      StoreStream stream,
      FollowTiming timing,
      OnRecords on_records,
      std::optional<FollowStart> start = std::nullopt);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  /** Time since the last successful request was sent; nothing before the first.
   */
  std::optional<Duration> Age() const;

 private:
  struct Impl;
  explicit TopicFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_TOPIC_FOLLOWER_H_
