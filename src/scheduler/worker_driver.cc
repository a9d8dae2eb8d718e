#include "src/scheduler/worker_driver.h"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

// A listing waits this long for an end. Tails are judged twice a second; leases
// last 6 s, so that a worker may miss several listings.
constexpr Duration kWaitBesideServing = std::chrono::milliseconds(600);
constexpr Duration kWaitElsewhere = std::chrono::milliseconds(1200);
// Each look at a worker is priced: ends that come close together share one.
constexpr Duration kPauseAfterEnds = std::chrono::milliseconds(60);
constexpr Duration kPauseAfterSilence = std::chrono::milliseconds(250);
// Calls in progress to one worker, besides the listing; each takes a
// connection, and new connections are priced.
constexpr size_t kLanes = 2;
// A start without a reply is sent again, with the same run number.
constexpr int kStartTries = 2;

using Command = std::variant<StartRunCommand, StopRunCommand, PaceCommand>;

struct Channel {
  WorkerInfo info;
  bool listed = true;
  bool failing = false;
  std::deque<Command> commands;
  size_t active_lanes = 0;
};
using ChannelPtr = std::shared_ptr<Channel>;

}  // namespace

struct WorkerDriver::Impl : std::enable_shared_from_this<WorkerDriver::Impl> {
  Impl(asio::io_context& context,
       const WorkerPort& worker_port,
       Scheduler& cell_scheduler,
       Epoch owner_epoch,
       WorkerDriverHooks owner_hooks)
      : io(context),
        port(worker_port),
        scheduler(cell_scheduler),
        epoch(owner_epoch),
        hooks(std::move(owner_hooks)) {}

  asio::awaitable<void> Follow(ChannelPtr channel);
  asio::awaitable<Duration> ListOnce(ChannelPtr channel);
  void NoteListingError(Channel& channel, WorkerCallError error);
  void Push(const WorkerId& worker, Command command);
  asio::awaitable<void> RunLane(ChannelPtr channel);
  asio::awaitable<void> Carry(ChannelPtr channel, StartRunCommand command);
  asio::awaitable<void> Carry(ChannelPtr channel, StopRunCommand command);
  asio::awaitable<void> Carry(ChannelPtr channel, PaceCommand command);
  asio::awaitable<StartOutcome> TryStart(ChannelPtr channel,
                                         StartRunCommand command);

  asio::io_context& io;
  WorkerPort port;
  Scheduler& scheduler;
  Epoch epoch;
  WorkerDriverHooks hooks;
  std::map<WorkerId, ChannelPtr> channels;
  WorkerCallCounters counters;
  bool stopped = false;
};

void WorkerDriver::Impl::NoteListingError(Channel& channel,
                                          WorkerCallError error) {
  ++counters.failed_listings;
  if (error == WorkerCallError::kFenced) {
    hooks.on_fenced();
    return;
  }
  if (!channel.failing)
    LogEvent("worker_lost",
             {{"worker", channel.info.id.value()},
              {"other_life", static_cast<int64_t>(
                                 error == WorkerCallError::kOtherInstance)}});
  channel.failing = true;
  port.drop_connections(channel.info);
  if (error == WorkerCallError::kOtherInstance)
    scheduler.OnWorkerDead(channel.info.id, MonotonicNow());
  else
    scheduler.OnUnreachable(channel.info.id, MonotonicNow());
  hooks.on_event();
}

// Returns how long to pause before the next listing.
asio::awaitable<Duration> WorkerDriver::Impl::ListOnce(ChannelPtr channel) {
  const TimePoint asked = MonotonicNow();
  ListRequest request;
  request.fence = epoch.value();
  request.acknowledged_ends = scheduler.AcknowledgedEnds(channel->info.id);
  if (hooks.has_authority())
    request.lease_end = scheduler.LeaseEnd(channel->info.id, asked);
  // Without a lease end the clock is not known yet: ask again at once.
  if (request.lease_end) {
    request.wait = scheduler.NeedsFrequentListing(channel->info.id)
                       ? kWaitBesideServing
                       : kWaitElsewhere;
  }
  ++counters.listings;
  WorkerCallError error = WorkerCallError::kNoAnswer;
  const WorkerInfo info = channel->info;
  const bool waited = request.wait.count() > 0;
  std::optional<WorkerListing> listing =
      co_await port.list(info, request, error);
  if (stopped)
    co_return Duration(0);
  if (!listing) {
    NoteListingError(*channel, error);
    co_return kPauseAfterSilence;
  }
  if (channel->failing)
    LogEvent("worker_regained", {{"worker", info.id.value()}});
  channel->failing = false;
  scheduler.OnListing(info.id, *listing, asked, MonotonicNow());
  if (hooks.log_listings) {
    LogEvent("listing", {{"worker", info.id.value()},
                         {"state", scheduler.DescribeWorker(info.id)}});
  }
  if (scheduler.NeedsPlan())
    hooks.on_event();
  if (!hooks.has_authority())
    co_return kPauseAfterSilence;
  co_return waited ? kPauseAfterEnds : Duration(0);
}

asio::awaitable<void> WorkerDriver::Impl::Follow(ChannelPtr channel) {
  const auto self = shared_from_this();
  // A worker that the platform lists no more may still run its tasks.
  while (!stopped &&
         (channel->listed || scheduler.HasTasks(channel->info.id))) {
    const Duration pause = co_await ListOnce(channel);
    if (!stopped && pause.count() > 0)
      co_await Sleep(pause);
  }
  if (!stopped)
    channels.erase(channel->info.id);
}

void WorkerDriver::Impl::Push(const WorkerId& worker, Command command) {
  const auto found = channels.find(worker);
  if (found == channels.end()) {
    if (auto* start = std::get_if<StartRunCommand>(&command))
      scheduler.OnStartSkipped(*start, MonotonicNow());
    return;
  }
  Channel& channel = *found->second;
  channel.commands.push_back(std::move(command));
  if (channel.active_lanes >= kLanes)
    return;
  ++channel.active_lanes;
  asio::co_spawn(io, RunLane(found->second), asio::detached);
}

asio::awaitable<void> WorkerDriver::Impl::RunLane(ChannelPtr channel) {
  const auto self = shared_from_this();
  while (!stopped && !channel->commands.empty()) {
    Command command = std::move(channel->commands.front());
    channel->commands.pop_front();
    ++counters.commands;
    if (auto* start = std::get_if<StartRunCommand>(&command))
      co_await Carry(channel, *start);
    else if (auto* stop = std::get_if<StopRunCommand>(&command))
      co_await Carry(channel, *stop);
    else
      co_await Carry(channel, std::get<PaceCommand>(command));
  }
  --channel->active_lanes;
}

// Sends the start, and again if no reply comes.
asio::awaitable<StartOutcome> WorkerDriver::Impl::TryStart(
    ChannelPtr channel,
    StartRunCommand command) {
  StartOutcome outcome;
  for (int i = 0; i < kStartTries && !outcome.answered && !stopped; ++i) {
    const auto lease = scheduler.LeaseEnd(command.worker, MonotonicNow());
    if (!lease || !hooks.has_authority())
      break;
    const WorkerInfo info = channel->info;
    outcome = co_await port.start(info, command, epoch.value(), *lease);
    if (!outcome.answered)
      ++counters.failed_commands;
  }
  co_return outcome;
}

asio::awaitable<void> WorkerDriver::Impl::Carry(ChannelPtr channel,
                                                StartRunCommand command) {
  if (!scheduler.IsStillWanted(command) || !hooks.has_authority()) {
    scheduler.OnStartSkipped(command, MonotonicNow());
    hooks.on_event();
    co_return;
  }
  const StartOutcome outcome = co_await TryStart(channel, command);
  if (stopped)
    co_return;
  if (!outcome.answered) {
    scheduler.OnStartUnknown(command, MonotonicNow());
  } else if (!outcome.refusal) {
    scheduler.OnStarted(command, MonotonicNow());
  } else if (*outcome.refusal == StartRefusal::kFenced) {
    hooks.on_fenced();
  } else {
    scheduler.OnStartRefused(command, *outcome.refusal, MonotonicNow());
    hooks.on_event();
  }
}

asio::awaitable<void> WorkerDriver::Impl::Carry(ChannelPtr channel,
                                                StopRunCommand command) {
  const WorkerInfo info = channel->info;
  const bool confirmed = co_await port.stop(info, command, epoch.value());
  if (stopped)
    co_return;
  if (confirmed)
    scheduler.OnStopped(command, MonotonicNow());
  else
    ++counters.failed_commands;
}

asio::awaitable<void> WorkerDriver::Impl::Carry(ChannelPtr channel,
                                                PaceCommand command) {
  const WorkerInfo info = channel->info;
  const bool confirmed = co_await port.pace(info, command, epoch.value());
  if (stopped || confirmed)
    co_return;
  ++counters.failed_commands;
  scheduler.OnPaceUnknown(command);
}

WorkerDriver::WorkerDriver(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

WorkerDriver::~WorkerDriver() {
  Stop();
}

std::shared_ptr<WorkerDriver> WorkerDriver::Make(asio::io_context& io,
                                                 const WorkerPort& port,
                                                 Scheduler& scheduler,
                                                 Epoch epoch,
                                                 WorkerDriverHooks hooks) {
  return std::shared_ptr<WorkerDriver>(new WorkerDriver(
      std::make_shared<Impl>(io, port, scheduler, epoch, std::move(hooks))));
}

void WorkerDriver::SetWorkers(const std::vector<WorkerInfo>& workers) {
  std::set<WorkerId> listed;
  for (const WorkerInfo& info : workers) {
    listed.insert(info.id);
    ChannelPtr& channel = m_impl->channels[info.id];
    if (channel) {
      channel->info = info;
      continue;
    }
    channel = std::make_shared<Channel>();
    channel->info = info;
    asio::co_spawn(m_impl->io, m_impl->Follow(channel), asio::detached);
  }
  for (const auto& [id, channel] : m_impl->channels)
    channel->listed = listed.count(id) > 0;
}

void WorkerDriver::Send(const StartRunCommand& command) {
  m_impl->Push(command.worker, command);
}

void WorkerDriver::Send(const StopRunCommand& command) {
  m_impl->Push(command.worker, command);
}

void WorkerDriver::Send(const PaceCommand& command) {
  m_impl->Push(command.worker, command);
}

void WorkerDriver::Stop() {
  m_impl->stopped = true;
}

const WorkerCallCounters& WorkerDriver::counters() const {
  return m_impl->counters;
}

}  // namespace cowslipmast::sched
