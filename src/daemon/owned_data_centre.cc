#include "src/daemon/owned_data_centre.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/daemon/placer_metrics.h"

namespace cowslipmast {

namespace {

// After this the outcome is determined from the listing of the worker.
constexpr Duration kWorkerCommandTimeout = std::chrono::seconds(1);
// The follower keeps retrying after this; the fold shows what took effect.
constexpr Duration kPlacementAppendTimeout = std::chrono::seconds(5);

// Shares ownership of `fold`: the follower may still be in a read when the data
// centre is no longer owned.
StreamFold MakeStreamFold(const std::shared_ptr<DataCentreFold>& fold,
                          std::function<void()> changed) {
  StreamFold stream;
  stream.next = [fold] { return fold->state().next; };
  stream.apply = [fold](const LogEntry& entry) {
    fold->Apply(entry.offset, entry.data);
  };
  stream.restart = [fold](LogOffset oldest) { fold->Restart(oldest); };
  stream.complete = [fold] { return fold->complete(); };
  stream.encode_snapshot = [fold] { return fold->EncodeSnapshot(); };
  stream.changed = std::move(changed);
  return stream;
}

std::optional<TimePoint> FreshnessProof(const StreamFollower& follower) {
  const auto proof = follower.proof();
  if (!proof)
    return std::nullopt;
  return ToTimePoint(*proof);
}

}  // namespace

struct OwnedDataCentre::Impl : std::enable_shared_from_this<Impl> {
  Impl(Shared& shared_parts, const DataCentreId& data_centre, Epoch own_epoch)
      : shared(shared_parts), id(data_centre), epoch(own_epoch) {}

  void StartFollower();
  PlacementView MakeView() const;
  void Decide();
  asio::awaitable<void> Send(WorkerCommand command);
  asio::awaitable<void> AppendControl(std::vector<Record> records);
  asio::awaitable<void> AppendOutcomes(std::vector<Record> records);
  void Spawn(asio::awaitable<void> work);

  Shared& shared;
  DataCentreId id;
  Epoch epoch;
  std::shared_ptr<DataCentreFold> fold;
  std::unique_ptr<StreamFollower> follower;
  std::optional<PlacementState> placement;
  PlacementCounters reported;
  bool permitted = false;
  bool stopped = false;
  size_t in_flight = 0;  // starts and appends
};

void OwnedDataCentre::Impl::StartFollower() {
  fold = DataCentreFold::Make(id);
  RoleContext& context = shared.context;
  follower = StreamFollower::Make(
      context.io, context.log, StreamId("dc." + id.value()),
      MakeProducerId(context.random), context.random(),
      MakeStreamFold(fold, shared.request_decision));
  follower->Start();
}

PlacementView OwnedDataCentre::Impl::MakeView() const {
  const RoleContext& context = shared.context;
  const auto now = std::chrono::steady_clock::now();
  const auto wall_now = std::chrono::system_clock::now();
  return PlacementView{
      .now = ToTimePoint(now),
      .wall_now = WallTime(
          std::chrono::duration_cast<Duration>(wall_now.time_since_epoch())),
      .permitted = permitted && fold->complete() && follower->caught_up(),
      .draining = shared.draining,
      .proof = FreshnessProof(context.control_log),
      .outcome_proof = FreshnessProof(*follower),
      .control = context.control.state(),
      .data_centre = fold->state(),
      .vms = context.vms};
}

void OwnedDataCentre::Impl::Decide() {
  if (!placement)
    return;
  PlacementDecision decision = DecidePlacement(*placement, MakeView());
  for (WorkerCommand& command : decision.commands)
    Spawn(Send(std::move(command)));
  if (!decision.control.empty())
    Spawn(AppendControl(std::move(decision.control)));
  if (!decision.outcomes.empty())
    Spawn(AppendOutcomes(std::move(decision.outcomes)));
  ReportPlacement(shared.context.metrics, *placement, reported);
}

void OwnedDataCentre::Impl::Spawn(asio::awaitable<void> work) {
  asio::co_spawn(shared.context.io, std::move(work), asio::detached);
}

asio::awaitable<void> OwnedDataCentre::Impl::Send(WorkerCommand command) {
  const auto self = shared_from_this();
  const bool is_start = std::holds_alternative<StartCommand>(command.action);
  in_flight += is_start ? 1 : 0;
  WorkerReply reply;
  const auto address = shared.addresses.find(command.worker);
  if (address == shared.addresses.end()) {
    reply.kind = WorkerReplyKind::kNotSent;
  } else {
    const WorkerAddress target = address->second;
    reply =
        co_await shared.workers.Call(target, command, kWorkerCommandTimeout);
  }
  in_flight -= is_start ? 1 : 0;
  if (stopped)
    co_return;
  ApplyReply(*placement, MakeView(), command, reply);
  shared.request_decision();
}

asio::awaitable<void> OwnedDataCentre::Impl::AppendControl(
    std::vector<Record> records) {
  const auto self = shared_from_this();
  ++in_flight;
  AppendError reason;
  co_await shared.context.control_log.Append(std::move(records),
                                             kPlacementAppendTimeout, reason);
  --in_flight;
}

asio::awaitable<void> OwnedDataCentre::Impl::AppendOutcomes(
    std::vector<Record> records) {
  const auto self = shared_from_this();
  ++in_flight;
  AppendError reason;
  co_await follower->Append(std::move(records), kPlacementAppendTimeout,
                            reason);
  --in_flight;
  if (stopped)
    co_return;
  OutcomesAppended(*placement);
  shared.request_decision();
}

OwnedDataCentre::OwnedDataCentre(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

OwnedDataCentre::~OwnedDataCentre() {
  m_impl->stopped = true;
  m_impl->follower->Stop();
}

std::unique_ptr<OwnedDataCentre> OwnedDataCentre::Make(Shared& shared,
                                                       const DataCentreId& id,
                                                       Epoch epoch) {
  auto impl = std::make_shared<Impl>(shared, id, epoch);
  impl->StartFollower();
  return std::unique_ptr<OwnedDataCentre>(new OwnedDataCentre(std::move(impl)));
}

Epoch OwnedDataCentre::epoch() const {
  return m_impl->epoch;
}

void OwnedDataCentre::SetPermitted(bool permitted) {
  m_impl->permitted = permitted;
  if (permitted && !m_impl->placement)
    m_impl->placement = MakePlacement(
        m_impl->id, m_impl->epoch, m_impl->shared.policy, m_impl->shared.charts,
        ToTimePoint(std::chrono::steady_clock::now()));
}

void OwnedDataCentre::Decide() {
  m_impl->Decide();
}

bool OwnedDataCentre::idle() const {
  return m_impl->in_flight == 0;
}

const PlacementState* OwnedDataCentre::placement() const {
  return m_impl->placement ? &*m_impl->placement : nullptr;
}

const DataCentreState& OwnedDataCentre::state() const {
  return m_impl->fold->state();
}

}  // namespace cowslipmast
