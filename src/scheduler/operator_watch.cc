#include "src/scheduler/operator_watch.h"

#include <utility>

#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

// A change must be in force within 2.5 s; the wait bounds how long a connection
// that went silent is believed.
constexpr FollowTiming kTiming = {.wait = std::chrono::milliseconds(1000),
                                  .gap = std::chrono::milliseconds(20)};

}  // namespace

OperatorWatch::OperatorWatch(const RecordReaders& readers,
                             std::function<void()> on_change)
    : m_readers(readers), m_on_change(std::move(on_change)) {}

std::unique_ptr<OperatorWatch> OperatorWatch::Make(
    asio::io_context& io,
    const StorePort& store,
    const RecordReaders& readers,
    std::function<void()> on_change) {
  auto watch = std::unique_ptr<OperatorWatch>(
      new OperatorWatch(readers, std::move(on_change)));
  // The whole map is read again on each change: it is small, and a wish that
  // was removed then leaves nothing behind.
  watch->m_follower = TopicFollower::Make(
      io, store, Topic::kOperator, kTiming,
      [raw = watch.get()](const TopicFollower::Records& newest,
                          const std::vector<KeyedRecord>&) {
        raw->Apply(newest);
      });
  return watch;
}

void OperatorWatch::Apply(const TopicFollower::Records& records) {
  Manifest next;
  for (const auto& [key, value] : records) {
    if (!m_readers.wish(KeyedRecord{key, value}, next))
      LogEvent("wish_unreadable", {{"key", key}});
  }
  // A manifest never goes back: the store may serve an old record while its
  // history is rewritten.
  if (m_manifest.known &&
      (!next.known || next.policy.version < m_manifest.policy.version)) {
    next.known = m_manifest.known;
    next.routes = m_manifest.routes;
    next.policy.version = m_manifest.policy.version;
    next.policy.queues = m_manifest.policy.queues;
  }
  if (next == m_manifest)
    return;
  m_manifest = std::move(next);
  LogEvent(
      "manifest",
      {{"version", static_cast<int64_t>(m_manifest.policy.version.value())},
       {"routes", static_cast<int64_t>(m_manifest.routes.size())},
       {"evacuated",
        static_cast<int64_t>(m_manifest.policy.evacuated.size())}});
  m_on_change();
}

}  // namespace cowslipmast::sched
