#include "src/daemon/process.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <vector>

#include "src/daemon/membership.h"
#include "src/daemon/process_impl.h"

namespace cowslipmast {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
constexpr Duration kVmListInterval = std::chrono::seconds(1);
constexpr Duration kVmListTimeout = std::chrono::seconds(2);
// Number of entries between two digests of the fold that peers compare.
constexpr uint64_t kDigestIntervalEntries = 256;
constexpr Duration kControlAppendTimeout = std::chrono::seconds(5);
// A process that owns nothing may stop without leaving the member table: if the
// other members have crashed, no majority exists to settle its leave. The next
// process on its VM replaces it in the table.
constexpr Duration kLeaveTimeout = std::chrono::seconds(5);

}  // namespace

void Process::Impl::FoldControlEntry(const LogEntry& entry) {
  control->Apply(entry.offset, entry.data);
  const LogOffset next = control->state().next;
  if (next.value() % kDigestIntervalEntries != 0 || !control->complete())
    return;
  digest = control->Digest();
  digest_at = next;
}

// Different digests at the same offset mean that the processes act on different
// state. Reported only; resolving it is left to the operators.
void Process::Impl::CompareDigests() {
  for (const PeerView& peer : peers->Peers()) {
    if (!peer.last || peer.last->digest_at != digest_at ||
        peer.last->digest == digest || diverged_at == digest_at)
      continue;
    diverged_at = digest_at;
    ++metrics->Counter("cowslipmast_diverged_folds_total", {});
    spdlog::error("the fold at {} differs from that of {}", digest_at.value(),
                  peer.member.process.value());
  }
}

void Process::Impl::Start() {
  Handle(LifecycleEvent::kPortsOpen);
  asio::co_spawn(io, WatchVmList(), asio::detached);
  asio::co_spawn(io, TickLoop(), asio::detached);
}

void Process::Impl::Handle(LifecycleEvent event) {
  const LifecycleState before = lifecycle->state();
  const LifecycleAction action = lifecycle->Process(event);
  if (lifecycle->state() != before)
    spdlog::info("state {}", lifecycle->state_name());
  switch (action) {
    case LifecycleAction::kFollowLog:
      control_log->Start();
      break;
    case LifecycleAction::kStartDrain:
      drain_started = SteadyClock::now();
      if (role.begin_grace)
        role.begin_grace();
      break;
    case LifecycleAction::kExit:
      control_log->Stop();
      io.stop();
      break;
    case LifecycleAction::kJoin:  // repeated at each tick until it takes effect
    case LifecycleAction::kNone:
      break;
  }
}

asio::awaitable<void> Process::Impl::TickLoop() {
  const auto keep_alive = shared_from_this();
  asio::steady_timer timer(io);
  while (lifecycle->state() != LifecycleState::kStopped) {
    Tick();
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Process::Impl::Tick() {
  if (lifecycle->state() == LifecycleState::kCatchingUp &&
      control_log->caught_up() && control->complete())
    Handle(LifecycleEvent::kCaughtUp);
  if (lifecycle->state() != LifecycleState::kServing &&
      lifecycle->state() != LifecycleState::kDraining)
    return;
  CompareDigests();
  UpdateOwnership();
  if (lifecycle->state() == LifecycleState::kDraining)
    ContinueDrain();
}

void Process::Impl::UpdateOwnership() {
  const OwnershipView view = MakeView();
  decision = DecideOwnership(control->state(), view, ownership_memory);
  role.on_ownership(decision);
  if (!append_pending)
    StartAppend(PlanRecords(control->state(), self,
                            lifecycle->state() == LifecycleState::kServing,
                            decision, role.idle));
}

void Process::Impl::StartAppend(std::vector<Record> records) {
  if (records.empty())
    return;
  append_pending = true;
  asio::co_spawn(io, AppendRecords(std::move(records)), asio::detached);
}

asio::awaitable<void> Process::Impl::AppendRecords(
    std::vector<Record> records) {
  const auto keep_alive = shared_from_this();
  AppendError error;
  // A record that was void or late is planned again from the next state.
  co_await control_log->Append(std::move(records), kControlAppendTimeout,
                               error);
  append_pending = false;
}

asio::awaitable<void> Process::Impl::WatchVmList() {
  const auto keep_alive = shared_from_this();
  asio::steady_timer timer(io);
  while (lifecycle->state() != LifecycleState::kStopped) {
    NetError error;
    auto read = co_await ReadVmList(*http, settings.vm_list, vm_list_tag,
                                    kVmListTimeout, error);
    ++metrics->Counter("cowslipmast_vm_list_reads_total",
                       {{"result", read ? "ok" : "failed"}});
    if (read)
      UpdateVmList(std::move(*read));
    timer.expires_after(kVmListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Process::Impl::UpdateVmList(VmListRead read) {
  vm_list_tag = std::move(read.entity_tag);
  if (!read.vms || *read.vms == vms)
    return;
  vms = std::move(*read.vms);
  role.on_change();
}

asio::awaitable<std::optional<LogPage>> Process::Impl::ReadFromPeer(
    StreamId stream,
    LogOffset from,
    uint32_t max_entries,
    Duration wait) {
  NetError error;
  for (const ProcessId& peer : ChooseLogPeers(peers->Peers(), self)) {
    auto page =
        co_await peers->ReadLog(peer, stream, from, max_entries, wait, error);
    if (page)
      co_return page;
  }
  co_return std::nullopt;
}

// Steps of a planned stop: serve during the grace time, finish requests in
// progress, release owned resources, leave the member table.
void Process::Impl::ContinueDrain() {
  const auto elapsed = SteadyClock::now() - drain_started;
  if (elapsed >= settings.drain_timeout) {
    Handle(LifecycleEvent::kDrainTimeout);
    return;
  }
  if (elapsed < settings.drain_grace)
    return;
  if (!std::exchange(drain_begun, true))
    role.begin_drain();
  if (!role.drained() || append_pending)
    return;
  // Resources are released through `hand_over` of the ownership decision.
  if (OwnsAnything(control->state(), self.process))
    return;
  if (!released_at)
    released_at = SteadyClock::now();
  const bool waited = SteadyClock::now() - *released_at > kLeaveTimeout;
  if (!IsMember(control->state(), self) || waited)
    Handle(LifecycleEvent::kDrained);
  else if (const auto leave = PlanLeave(control->state(), self))
    StartAppend({*leave});
}

void Process::Impl::OnControlChanged() {
  const ControlState& state = control->state();
  if (state.config_version != logged_version) {
    logged_version = state.config_version;
    spdlog::info("configuration version {}", logged_version.value());
  }
  peers->SetPeers(ChoosePeers(state, self));
  role.on_change();
}

Process::Process(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Process::~Process() = default;

std::unique_ptr<Process> Process::Make(asio::io_context& io,
                                       const Settings& settings,
                                       const ChartSet& charts,
                                       const RoleFactory& make_role,
                                       ProcessError& reason) {
  auto impl = std::make_shared<Impl>(io, settings);
  if (!impl->Open(charts, make_role, reason))
    return nullptr;
  return std::unique_ptr<Process>(new Process(std::move(impl)));
}

void Process::Start() {
  m_impl->Start();
}

void Process::Terminate() {
  m_impl->Handle(LifecycleEvent::kSigterm);
}

}  // namespace cowslipmast
