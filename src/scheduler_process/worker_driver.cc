#include "src/scheduler_process/worker_driver.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/loop_lag.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

// A listing waits this long for a run to end. Tail latencies are evaluated
// twice a second, so workers shared by best-effort and latency-critical tasks
// are listed more often. Leases last 6 s, so a worker may miss several
// listings.
constexpr Duration kListWaitOnSharedWorker = std::chrono::milliseconds(600);
constexpr Duration kListWait = std::chrono::milliseconds(1200);
// Each listing of a worker has a cost, so runs that end close together share
// one.
constexpr Duration kPauseAfterListing = std::chrono::milliseconds(60);
constexpr Duration kPauseAfterError = std::chrono::milliseconds(250);
constexpr Duration kPauseWhileBehind = std::chrono::milliseconds(50);
// Commands in progress to one worker, besides the listing; each takes a
// connection, and new connections have a cost.
constexpr size_t kMaxCommandsInProgress = 2;
// One more for stops, which must not wait for start commands that time out.
constexpr size_t kMaxCommandsInProgressWithStop = 3;
// A start without a response is sent again, with the same run number.
constexpr int kMaxStartAttempts = 2;
// A call takes 25 ms between regions, and several times as long with a slow
// worker or VM. The margin is twice the last response time and is doubled by
// each failure, so that a worker that is only slow to respond is heard.
constexpr Duration kMinResponseMargin = std::chrono::milliseconds(500);
constexpr Duration kMaxResponseMargin = std::chrono::milliseconds(2000);
constexpr int kMaxMarginDoublings = 2;

using Command = std::variant<StartRunCommand, StopRunCommand, PaceCommand>;

struct WorkerChannel {
  WorkerInfo info;
  bool listed = true;
  int failed_listings = 0;    // since the last response
  Duration response_time{0};  // of the last listing, beyond the wait
  bool failing = false;
  std::deque<Command> commands;
  size_t active_senders = 0;
};
using WorkerChannelPtr = std::shared_ptr<WorkerChannel>;

Duration ResponseMargin(const WorkerChannel& channel) {
  const Duration margin =
      std::max(kMinResponseMargin, 2 * channel.response_time) *
      (1 << std::min(channel.failed_listings, kMaxMarginDoublings));
  return std::min(margin, kMaxResponseMargin);
}

// Stops go first, then starts: a start that waits leaves capacity unused, and
// a change of pace takes effect gradually anyway. Starts keep their order, and
// so do changes of pace.
void Insert(std::deque<Command>& commands, Command command) {
  if (std::holds_alternative<StopRunCommand>(command)) {
    commands.push_front(std::move(command));
    return;
  }
  if (std::holds_alternative<PaceCommand>(command)) {
    commands.push_back(std::move(command));
    return;
  }
  const auto first_pace = std::find_if(
      commands.begin(), commands.end(), [](const Command& waiting) {
        return std::holds_alternative<PaceCommand>(waiting);
      });
  commands.insert(first_pace, std::move(command));
}

// A call that ends with an exception must neither end the calls after it nor
// leave the scheduler without a result.
void LogFailure(std::string_view task, const std::exception& error) {
  LogEvent("background_task_failed",
           {{"task", task}, {"detail", error.what()}});
}

// Starts that have to wait themselves keep no change of pace back.
Command TakeNext(std::deque<Command>& commands, bool may_start) {
  auto next = commands.begin();
  if (!may_start && std::holds_alternative<StartRunCommand>(*next)) {
    const auto first_pace =
        std::find_if(next, commands.end(), [](const Command& waiting) {
          return std::holds_alternative<PaceCommand>(waiting);
        });
    if (first_pace != commands.end())
      next = first_pace;
  }
  Command taken = std::move(*next);
  commands.erase(next);
  return taken;
}

// True if the refusal of a repeated start command also tells what became of
// the first one: the worker has seen the run, or will never run it.
bool SettlesEarlierAttempt(StartRefusal refusal) {
  return refusal == StartRefusal::kOldRun || refusal == StartRefusal::kFenced ||
         refusal == StartRefusal::kOtherInstance;
}

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

  asio::awaitable<void> ListRepeatedly(WorkerChannelPtr channel);
  asio::awaitable<Duration> ListOnce(WorkerChannelPtr channel);
  void HandleListingError(WorkerChannel& channel, WorkerCallError error);
  void HandleEndedInstance(const WorkerInstance& instance);
  std::optional<InstanceTerms> TermsFor(const WorkerId& id, TimePoint now);
  void Enqueue(const WorkerId& worker, Command command);
  asio::awaitable<void> SendCommands(WorkerChannelPtr channel);
  void HandleFailedCommand(const Command& command);
  asio::awaitable<void> Execute(WorkerChannelPtr channel,
                                StartRunCommand command);
  asio::awaitable<void> Execute(WorkerChannelPtr channel,
                                StopRunCommand command);
  asio::awaitable<void> Execute(WorkerChannelPtr channel, PaceCommand command);
  asio::awaitable<StartOutcome> SendStart(WorkerChannelPtr channel,
                                          StartRunCommand command);

  asio::io_context& io;
  WorkerPort port;
  Scheduler& scheduler;
  Epoch epoch;
  WorkerDriverHooks hooks;
  std::map<WorkerId, WorkerChannelPtr> channels;
  WorkerCallCounters counters;
  bool stopped = false;
};

void WorkerDriver::Impl::HandleListingError(WorkerChannel& channel,
                                            WorkerCallError error) {
  ++counters.failed_listings;
  ++channel.failed_listings;
  if (error == WorkerCallError::kFenced) {
    hooks.on_fenced();
    return;
  }
  if (error == WorkerCallError::kNoResponse &&
      !IsSilent(channel.failed_listings, hooks.own_lag())) {
    port.drop_connections(channel.info);
    return;
  }
  if (!channel.failing)
    LogEvent("worker_lost",
             {{"worker", channel.info.id.value()},
              {"other_life",
               static_cast<int64_t>(error == WorkerCallError::kOtherWorker)}});
  channel.failing = true;
  port.drop_connections(channel.info);
  if (error == WorkerCallError::kOtherWorker)
    scheduler.OnWorkerDead(channel.info.id, MonotonicNow());
  else
    scheduler.OnUnreachable(channel.info.id, MonotonicNow());
  hooks.on_event();
}

// The next listing shows the runs of the new instance.
void WorkerDriver::Impl::HandleEndedInstance(const WorkerInstance& instance) {
  if (scheduler.InstanceOf(instance.id) != instance)
    return;
  LogEvent("worker_restarted", {{"worker", instance.id.value()},
                                {"ended_born", instance.start_time_ms}});
  scheduler.OnInstanceEnded(instance, MonotonicNow());
  hooks.on_event();
}

std::optional<InstanceTerms> WorkerDriver::Impl::TermsFor(const WorkerId& id,
                                                          TimePoint now) {
  const std::optional<WorkerInstance> instance = scheduler.InstanceOf(id);
  if (!instance)
    return std::nullopt;
  InstanceTerms terms{
      .instance = *instance,
      .acknowledged_ends = scheduler.AcknowledgedEnds(*instance),
      .lease_end = std::nullopt};
  if (hooks.has_authority())
    terms.lease_end = scheduler.LeaseEnd(*instance, now);
  return terms;
}

// Returns how long to pause before the next listing.
asio::awaitable<Duration> WorkerDriver::Impl::ListOnce(
    WorkerChannelPtr channel) {
  const TimePoint requested_at = MonotonicNow();
  ListRequest request;
  request.fence = epoch.value();
  request.terms = TermsFor(channel->info.id, requested_at);
  request.response_margin = ResponseMargin(*channel);
  // Without a lease end the worker's clock is not known yet: list it again at
  // once.
  if (request.terms && request.terms->lease_end) {
    request.wait = scheduler.NeedsFrequentListing(channel->info.id)
                       ? kListWaitOnSharedWorker
                       : kListWait;
  }
  ++counters.listings;
  WorkerCallError error = WorkerCallError::kNoResponse;
  const WorkerInfo info = channel->info;
  const bool waited = request.wait.count() > 0;
  std::optional<WorkerListing> listing =
      co_await port.list(info, request, error);
  if (stopped)
    co_return Duration(0);
  if (!listing && error == WorkerCallError::kOtherInstance && request.terms) {
    HandleEndedInstance(request.terms->instance);
    co_return Duration(0);
  }
  if (!listing) {
    HandleListingError(*channel, error);
    co_return kPauseAfterError;
  }
  if (channel->failing)
    LogEvent("worker_regained", {{"worker", info.id.value()}});
  channel->failing = false;
  channel->failed_listings = 0;
  // A response before the end of the wait does not tell how slow the worker is.
  channel->response_time = std::max(
      channel->response_time / 2, MonotonicNow() - requested_at - request.wait);
  scheduler.OnListing(info.id, *listing, requested_at, MonotonicNow());
  if (hooks.log_listings) {
    LogEvent("listing", {{"worker", info.id.value()},
                         {"state", scheduler.DescribeWorker(info.id)}});
  }
  if (scheduler.NeedsPlan())
    hooks.on_event();
  if (!hooks.has_authority())
    co_return kPauseAfterError;
  if (waited)
    co_return kPauseAfterListing;
  // A known instance gets no lease until it is stored that it answers again.
  co_return request.terms ? kPauseWhileBehind : Duration(0);
}

asio::awaitable<void> WorkerDriver::Impl::ListRepeatedly(
    WorkerChannelPtr channel) {
  const auto self = shared_from_this();
  while (!stopped &&
         (channel->listed || scheduler.IsFollowed(channel->info.id))) {
    Duration pause = kPauseAfterError;
    bool failed = false;
    try {
      pause = co_await ListOnce(channel);
    } catch (const std::exception& error) {
      LogFailure("worker_listing", error);
      failed = true;
    }
    if (failed && !stopped)
      HandleListingError(*channel, WorkerCallError::kNoResponse);
    if (!stopped && pause.count() > 0)
      co_await Sleep(pause);
  }
  if (!stopped)
    channels.erase(channel->info.id);
}

void WorkerDriver::Impl::Enqueue(const WorkerId& worker, Command command) {
  const auto found = channels.find(worker);
  if (found == channels.end()) {
    if (auto* start = std::get_if<StartRunCommand>(&command))
      scheduler.OnStartSkipped(*start, MonotonicNow());
    return;
  }
  WorkerChannel& channel = *found->second;
  const bool is_stop = std::holds_alternative<StopRunCommand>(command);
  Insert(channel.commands, std::move(command));
  if (channel.active_senders >=
      (is_stop ? kMaxCommandsInProgressWithStop : kMaxCommandsInProgress))
    return;
  ++channel.active_senders;
  Spawn(io, "worker_commands", SendCommands(found->second));
}

// The call may have been carried out before it failed.
void WorkerDriver::Impl::HandleFailedCommand(const Command& command) {
  ++counters.failed_commands;
  if (const auto* start = std::get_if<StartRunCommand>(&command))
    scheduler.OnStartUnknown(*start, MonotonicNow());
  else if (const auto* pace = std::get_if<PaceCommand>(&command))
    scheduler.OnPaceUnknown(*pace);
  hooks.on_event();
}

asio::awaitable<void> WorkerDriver::Impl::SendCommands(
    WorkerChannelPtr channel) {
  const auto self = shared_from_this();
  while (!stopped && !channel->commands.empty()) {
    Command command = TakeNext(channel->commands, hooks.knows_cancellations());
    ++counters.commands;
    bool failed = false;
    try {
      co_await std::visit(
          [&](const auto& waiting) { return Execute(channel, waiting); },
          command);
    } catch (const std::exception& error) {
      LogFailure("worker_commands", error);
      failed = true;
    }
    if (failed && !stopped)
      HandleFailedCommand(command);
  }
  --channel->active_senders;
}

// Sends the start command, and repeats it if no response comes. If the repeated
// command is refused, the first one may still be carried out: there is no
// response then.
asio::awaitable<StartOutcome> WorkerDriver::Impl::SendStart(
    WorkerChannelPtr channel,
    StartRunCommand command) {
  StartOutcome outcome;
  bool unanswered = false;
  for (int i = 0; i < kMaxStartAttempts && !outcome.got_response && !stopped;
       ++i) {
    const auto lease = scheduler.LeaseEnd(command.worker, MonotonicNow());
    if (!lease || !hooks.has_authority())
      break;
    const WorkerInfo info = channel->info;
    outcome = co_await port.start(info, command, epoch.value(), *lease);
    if (!outcome.got_response) {
      unanswered = true;
      ++counters.failed_commands;
    }
  }
  if (unanswered && outcome.refusal && !SettlesEarlierAttempt(*outcome.refusal))
    co_return StartOutcome{};
  co_return outcome;
}

asio::awaitable<void> WorkerDriver::Impl::Execute(WorkerChannelPtr channel,
                                                  StartRunCommand command) {
  // An owner that is behind, or does not reach the store, may not have read
  // that the job was cancelled.
  while (!stopped && hooks.has_authority() && !hooks.knows_cancellations())
    co_await Sleep(kPauseWhileBehind);
  if (stopped)
    co_return;
  if (!scheduler.IsStillWanted(command) || !hooks.has_authority()) {
    scheduler.OnStartSkipped(command, MonotonicNow());
    hooks.on_event();
    co_return;
  }
  const StartOutcome outcome = co_await SendStart(channel, command);
  if (stopped)
    co_return;
  if (!outcome.got_response) {
    scheduler.OnStartUnknown(command, MonotonicNow());
  } else if (!outcome.refusal) {
    scheduler.OnStarted(command, MonotonicNow());
  } else if (*outcome.refusal == StartRefusal::kFenced) {
    hooks.on_fenced();
  } else if (*outcome.refusal == StartRefusal::kOtherInstance) {
    scheduler.OnStartRefused(command, *outcome.refusal, MonotonicNow());
    HandleEndedInstance(command.worker);
  } else {
    scheduler.OnStartRefused(command, *outcome.refusal, MonotonicNow());
    hooks.on_event();
  }
}

asio::awaitable<void> WorkerDriver::Impl::Execute(WorkerChannelPtr channel,
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

asio::awaitable<void> WorkerDriver::Impl::Execute(WorkerChannelPtr channel,
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
    WorkerChannelPtr& channel = m_impl->channels[info.id];
    if (channel) {
      channel->info = info;
      continue;
    }
    channel = std::make_shared<WorkerChannel>();
    channel->info = info;
    Spawn(m_impl->io, "worker_listing", m_impl->ListRepeatedly(channel));
  }
  for (const auto& [id, channel] : m_impl->channels)
    channel->listed = listed.count(id) > 0;
}

void WorkerDriver::Send(const StartRunCommand& command) {
  m_impl->Enqueue(command.worker.id, command);
}

void WorkerDriver::Send(const StopRunCommand& command) {
  m_impl->Enqueue(command.worker.id, command);
}

void WorkerDriver::Send(const PaceCommand& command) {
  m_impl->Enqueue(command.worker.id, command);
}

void WorkerDriver::Stop() {
  m_impl->stopped = true;
}

const WorkerCallCounters& WorkerDriver::counters() const {
  return m_impl->counters;
}

}  // namespace cowslipmast::sched
