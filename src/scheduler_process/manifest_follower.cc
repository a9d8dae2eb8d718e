#include "src/scheduler_process/manifest_follower.h"

#include <utility>

#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

namespace {

// A change must take effect within 2.5 s. The wait bounds how long a connection
// that stopped responding goes unnoticed.
constexpr FollowTiming kTiming = {
    .max_wait = std::chrono::milliseconds(1000),
    .pause_after_records = std::chrono::milliseconds(20)};

}  // namespace

ManifestFollower::ManifestFollower(const RecordDecoders& decoders,
                                   std::function<void()> on_change)
    : m_decoders(decoders), m_on_change(std::move(on_change)) {}

std::unique_ptr<ManifestFollower> ManifestFollower::Make(
    asio::io_context& io,
    const StorePort& store,
    const RecordDecoders& decoders,
    std::function<void()> on_change) {
  auto watch = std::unique_ptr<ManifestFollower>(
      new ManifestFollower(decoders, std::move(on_change)));
  // The manifest is rebuilt from all records on each change: they are few, and
  // a removed setting then leaves nothing behind.
  watch->m_follower = TopicFollower::Make(
      io, store, StoreTopic::kOperator, kTiming,
      [raw = watch.get()](const TopicFollower::Records& newest,
                          const std::vector<KeyedRecord>&) {
        raw->Apply(newest);
      });
  return watch;
}

void ManifestFollower::Apply(const TopicFollower::Records& records) {
  Manifest next;
  for (const auto& [key, value] : records) {
    if (!m_decoders.operator_setting(KeyedRecord{key, value}, next))
      LogEvent("operator_setting_unreadable", {{"key", key}});
  }
  // The manifest version never decreases: the store may return an old record
  // while it compacts its history.
  if (m_manifest.known &&
      (!next.known || next.policy.version < m_manifest.policy.version)) {
    next.known = m_manifest.known;
    next.routes = m_manifest.routes;
    next.policy.version = m_manifest.policy.version;
    next.policy.queues = m_manifest.policy.queues;
    next.policy.workspaces = m_manifest.policy.workspaces;
    next.keys = m_manifest.keys;
  }
  if (next == m_manifest)
    return;
  m_manifest = std::move(next);
  LogEvent(
      "manifest",
      {{"version", static_cast<int64_t>(m_manifest.policy.version.value())},
       {"routes", static_cast<int64_t>(m_manifest.routes.size())},
       {"workspaces",
        static_cast<int64_t>(m_manifest.policy.workspaces.size())},
       {"evacuated",
        static_cast<int64_t>(m_manifest.policy.evacuated.size())}});
  m_on_change();
}

}  // namespace cowslipmast::sched
