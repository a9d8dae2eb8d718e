#ifndef COWSLIPMAST_SRC_SCHEDULER_OPERATOR_WATCH_H_
#define COWSLIPMAST_SRC_SCHEDULER_OPERATOR_WATCH_H_

#include <functional>
#include <memory>

#include "src/net/asio.h"
#include "src/scheduler/ports.h"
#include "src/scheduler/topic_follower.h"

namespace cowslipmast::sched {

/** Follows what operators want. */
class OperatorWatch {
 public:
  static std::unique_ptr<OperatorWatch> Make(asio::io_context& io,
                                             const StorePort& store,
                                             const RecordReaders& readers,
                                             std::function<void()> on_change);

  const Manifest& manifest() const { return m_manifest; }
  /** Age of the last answer of the store; nothing before the first. */
  std::optional<Duration> Age() const { return m_follower->Age(); }

 private:
  OperatorWatch(const RecordReaders& readers, std::function<void()> on_change);
  void Apply(const TopicFollower::Records& records);

  RecordReaders m_readers;
  std::function<void()> m_on_change;
  Manifest m_manifest;
  std::unique_ptr<TopicFollower> m_follower;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_OPERATOR_WATCH_H_
