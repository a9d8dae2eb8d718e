#include "src/scheduler_process/cell.h"

#include <algorithm>
#include <map>
#include <utility>

#include "cowslipmast/sched/cell_message.h"
#include "cowslipmast/sched/job_codec.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/decision_log.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/hearing_proof.h"
#include "src/scheduler_process/job_record_deleter.h"
#include "src/scheduler_process/job_stream_keys.h"
#include "src/scheduler_process/message_sender.h"
#include "src/scheduler_process/plan_pause.h"
#include "src/scheduler_process/progress_writer.h"
#include "src/scheduler_process/spawn.h"
#include "src/scheduler_process/topic_follower.h"
#include "src/scheduler_process/wake_signal.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// An owner without proof of its ownership for this long extends no leases, so
// that a worker that only it can reach becomes free for a later owner. Leases
// outlast a longer outage of the store.
constexpr Duration kAuthorityPeriod = std::chrono::seconds(3);
// Without other appends, the ownership is proved this often.
constexpr Duration kProofInterval = milliseconds(1000);
// Prevents a busy loop while an iteration is due at this moment.
constexpr Duration kMinPlanWait = milliseconds(1);
// Between two checks for stops that were not confirmed.
constexpr Duration kStopInterval = milliseconds(200);
constexpr Duration kRetryDelay = milliseconds(100);
// If the stream of jobs was last read longer ago than this, a missing job may
// still exist, and a job may have been cancelled: a job must be visible 3 s
// after its acceptance, and none of its tasks may start 3 s after its
// cancellation.
constexpr Duration kMaxJobsAge = milliseconds(2000);
constexpr FollowTiming kJobFollowTiming = {
    .max_wait = milliseconds(1000),
    .pause_after_records = milliseconds(10),
    // The scheduler has them in its own form.
    .keeps_newest = false};
// Workers announce themselves about every second; a draining worker accepts
// starts for 2.5 s.
constexpr FollowTiming kWorkerFollowTiming = {
    .max_wait = milliseconds(1000),
    .pause_after_records = milliseconds(250)};
// The load is asked for by each other owner twice a second.
constexpr Duration kMaxMeasuredLoadAge = milliseconds(200);

}  // namespace

struct Cell::Impl : std::enable_shared_from_this<Cell::Impl> {
  Impl(asio::io_context& context,
       const StorePort& store_port,
       const WorkerPort& worker_port,
       const RecordDecoders& record_decoders,
       const CellOptions& cell_options,
       CellHooks cell_hooks)
      : io(context),
        store(store_port),
        workers(worker_port),
        decoders(record_decoders),
        options(cell_options),
        hooks(std::move(cell_hooks)),
        writer(store_port,
               cell_options.cell,
               cell_options.epoch,
               hooks.heard_at),
        wake(context) {}

  asio::awaitable<void> Run();
  asio::awaitable<bool> Restore();
  asio::awaitable<std::optional<TopicSnapshot>> ReadNewest(StoreTopic topic);
  void ReplayRecords(const TopicSnapshot& jobs, const TopicSnapshot& progress);
  asio::awaitable<void> RefreshOwnershipProof();
  asio::awaitable<bool> PlanOnce();
  asio::awaitable<void> PauseBetweenPlans();
  asio::awaitable<void> SendStopsRepeatedly();
  void SendStops();
  std::vector<std::string> TakeKeys(const JobId& id);
  void StartFollowing();
  void ApplyJobRecord(const KeyedRecord& record);
  void ApplyTransferRecord(const JobRecordKey& key, const KeyedRecord& record);
  void ApplyPartReportRecord(const JobRecordKey& key,
                             const KeyedRecord& record);
  void ApplyRecordOfOtherCell(const JobRecordKey& key,
                              const KeyedRecord& record);
  void DeleteNeedlessRecords(TimePoint now);
  bool IsOwnWorker(const WorkerInfo& info) const;
  void ApplyWorkers(const TopicFollower::Records& newest,
                    const std::vector<KeyedRecord>& added);
  bool HasAuthority() const;
  void OnOwnershipLost();
  void StopAll();

  asio::io_context& io;
  StorePort store;
  WorkerPort workers;
  RecordDecoders decoders;
  CellOptions options;
  CellHooks hooks;
  ProgressWriter writer;
  WakeSignal wake;
  std::unique_ptr<Scheduler> scheduler;
  std::shared_ptr<WorkerDriver> driver;
  std::shared_ptr<MessageSender> messages;
  std::unique_ptr<TopicFollower> job_follower;
  std::unique_ptr<TopicFollower> worker_follower;
  // Set from the restoration until `job_follower` continues from it.
  std::optional<FollowStart> restored_jobs;
  JobStreamKeys keys;
  std::shared_ptr<JobRecordDeleter> deleter;
  std::optional<CellLoad> load;
  TimePoint load_measured_at;
  DecisionLog decisions;
  Duration last_plan_took{0};
  bool restored = false;
  bool stopped = false;
};

bool Cell::Impl::HasAuthority() const {
  const auto proven = writer.proven_at();
  return !stopped && proven && BootTimeNow() - *proven < kAuthorityPeriod;
}

void Cell::Impl::StopAll() {
  stopped = true;
  FlushDecisions(decisions, {options.cell, options.epoch}, MonotonicNow());
  writer.StopRetrying();
  if (messages)
    messages->Stop();
  if (deleter)
    deleter->Stop();
  if (driver)
    driver->Stop();
  wake.Notify();
}

void Cell::Impl::OnOwnershipLost() {
  if (stopped)
    return;
  LogEvent("cell_lost",
           {{"cell", static_cast<int64_t>(options.cell.value())},
            {"epoch", static_cast<int64_t>(options.epoch.value())}});
  StopAll();
  hooks.on_lost();
}

void Cell::Impl::ApplyTransferRecord(const JobRecordKey& key,
                                     const KeyedRecord& record) {
  const auto transfer = DecodeTransfer(record.value);
  keys.Add(key, record.key,
           transfer && !transfer->tasks.empty() && !transfer->done_tasks
               ? std::optional(transfer->iteration)
               : std::nullopt);
  if (!transfer || transfer->job.id != key.job) {
    LogEvent("job_unreadable", {{"key", record.key}});
    return;
  }
  scheduler->AddTransfer(*transfer, MonotonicNow(), WallNow());
}

void Cell::Impl::ApplyPartReportRecord(const JobRecordKey& key,
                                       const KeyedRecord& record) {
  keys.Add(key, record.key, key.iteration);
  const auto report = DecodePartReport(record.value);
  if (!report) {
    LogEvent("job_unreadable", {{"key", record.key}});
    return;
  }
  scheduler->AddPartReport(key.job, *report, MonotonicNow());
}

void Cell::Impl::ApplyRecordOfOtherCell(const JobRecordKey& key,
                                        const KeyedRecord& record) {
  const TimePoint now = MonotonicNow();
  switch (key.kind) {
    case JobRecordKind::kCancellation:
      scheduler->CancelJob(key.job, now);
      break;
    case JobRecordKind::kTransfer:
      ApplyTransferRecord(key, record);
      break;
    case JobRecordKind::kEnd:
      if (const auto end = DecodeEnd(record.value))
        scheduler->EndMovedJob(key.job, *end, now);
      break;
    case JobRecordKind::kPartReport:
      ApplyPartReportRecord(key, record);
      break;
    case JobRecordKind::kPartEnd:
      keys.Add(key, record.key, key.iteration);
      scheduler->EndPartOfJob(key.job, key.iteration, now);
      break;
    case JobRecordKind::kSubmission:
      break;
  }
  if (!scheduler->StatusOf(key.job))
    keys.NoteUnknownJob(key.job, now);
}

void Cell::Impl::ApplyJobRecord(const KeyedRecord& record) {
  if (record.value.empty())
    return;
  const auto key = ParseJobRecordKey(record.key);
  if (!key) {
    LogEvent("job_unreadable", {{"key", record.key}});
    return;
  }
  if (key->kind != JobRecordKind::kSubmission) {
    ApplyRecordOfOtherCell(*key, record);
    return;
  }
  const auto spec = DecodeJob(record.value);
  // A job that belongs to another cell would be accepted twice.
  if (!spec || spec->id != key->job ||
      CellOfJob(options.layout, spec->id) != options.cell) {
    LogEvent("job_unreadable", {{"key", record.key}});
    return;
  }
  scheduler->AddJob(*spec, MonotonicNow(), WallNow());
}

bool Cell::Impl::IsOwnWorker(const WorkerInfo& info) const {
  return CellOfWorker(options.layout, info) == options.cell;
}

void Cell::Impl::ApplyWorkers(const TopicFollower::Records& newest,
                              const std::vector<KeyedRecord>& added) {
  const TimePoint now = MonotonicNow();
  for (const KeyedRecord& record : added) {
    const auto info =
        record.value.empty() ? std::nullopt : decoders.worker(record);
    if (info && IsOwnWorker(*info))
      scheduler->UpsertWorker(*info, now);
    else
      scheduler->RemoveWorker(WorkerId(record.key), now);
  }
  // After deleted history a worker may be gone without a record.
  std::vector<WorkerInfo> known = scheduler->Workers();
  std::erase_if(known, [&](const WorkerInfo& info) {
    const bool gone = newest.count(info.id.value()) == 0;
    if (gone)
      scheduler->RemoveWorker(info.id, now);
    return gone;
  });
  driver->SetWorkers(known);
  scheduler->SetWorkersKnown(true);
  wake.Notify();
}

asio::awaitable<std::optional<TopicSnapshot>> Cell::Impl::ReadNewest(
    StoreTopic topic) {
  while (!stopped) {
    StoreError error;
    std::optional<TopicSnapshot> snapshot =
        co_await store.read_newest(StoreStream(topic, options.cell), error);
    if (snapshot)
      co_return snapshot;
    co_await Sleep(kRetryDelay);
  }
  co_return std::nullopt;
}

// Submissions and transfers must be known before the progress of their jobs.
// Reports, cancellations and ends are applied after it, since it may show that
// the job had ended before.
void Cell::Impl::ReplayRecords(const TopicSnapshot& jobs,
                               const TopicSnapshot& progress) {
  const auto apply = [&](JobRecordKind kind) {
    for (const KeyedRecord& record : jobs.records) {
      const auto key = ParseJobRecordKey(record.key);
      if (key && key->kind == kind)
        ApplyJobRecord(record);
    }
  };
  apply(JobRecordKind::kSubmission);
  apply(JobRecordKind::kTransfer);
  for (const KeyedRecord& record : progress.records) {
    if (!record.value.empty() && record.key != kProofKey &&
        record.key != kHearingKey &&
        !scheduler->RestoreProgress({record.key, record.value}))
      LogEvent("progress_unreadable", {{"key", record.key}});
  }
  apply(JobRecordKind::kPartReport);
  apply(JobRecordKind::kPartEnd);
  apply(JobRecordKind::kCancellation);
  apply(JobRecordKind::kEnd);
}

// Fences previous owners, then reads the stored state.
asio::awaitable<bool> Cell::Impl::Restore() {
  const bool fenced = co_await writer.Fence();
  if (!fenced || stopped)
    co_return false;
  const TimePoint claimed = MonotonicNow();
  SchedulerOptions scheduler_options = options.scheduler;
  scheduler_options.cell = options.cell;
  scheduler_options.layout = options.layout;
  scheduler_options.epoch = options.epoch;
  scheduler_options.previous_owner_lease =
      kAuthorityPeriod + options.lease + options.lease / 20;
  scheduler_options.lease = options.lease;
  scheduler = Scheduler::Make(scheduler_options, claimed);
  scheduler->SetPolicy(hooks.manifest().policy, claimed);
  const TimePoint requested_at = BootTimeNow();
  auto job_records = co_await ReadNewest(StoreTopic::kJobs);
  if (!job_records)
    co_return false;
  const auto progress = co_await ReadNewest(StoreTopic::kProgress);
  if (!progress)
    co_return false;
  ReplayRecords(*job_records, *progress);
  scheduler->FinishRestore(MonotonicNow());
  scheduler->SetWorkersKnown(false);
  LogEvent(
      "cell_restored",
      {{"cell", static_cast<int64_t>(options.cell.value())},
       {"epoch", static_cast<int64_t>(options.epoch.value())},
       {"job_records", static_cast<int64_t>(job_records->records.size())},
       {"progress_records", static_cast<int64_t>(progress->records.size())},
       {"took_ms", ToMillis(MonotonicNow() - claimed)}});
  restored_jobs = FollowStart{std::move(*job_records), requested_at};
  co_return true;
}

void Cell::Impl::StartFollowing() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  WorkerDriverHooks driver_hooks;
  driver_hooks.has_authority = [this] { return HasAuthority(); };
  driver_hooks.knows_cancellations = [this] {
    const auto age = job_follower ? job_follower->Age() : std::nullopt;
    return age && *age < kMaxJobsAge;
  };
  driver_hooks.on_event = [this] { wake.Notify(); };
  driver_hooks.own_lag = hooks.own_lag;
  driver_hooks.on_fenced = [this] { OnOwnershipLost(); };
  driver_hooks.log_listings = options.log_listings;
  driver = WorkerDriver::Make(io, workers, *scheduler, options.epoch,
                              std::move(driver_hooks));
  const auto on_jobs = [weak](const TopicFollower::Records&,
                              const std::vector<KeyedRecord>& added) {
    const auto self = weak.lock();
    if (!self || self->stopped)
      return;
    for (const KeyedRecord& record : added)
      self->ApplyJobRecord(record);
    self->SendStops();
    self->wake.Notify();
  };
  // The jobs that were restored are not read again.
  job_follower = TopicFollower::Make(
      io, store, StoreStream(StoreTopic::kJobs, options.cell), kJobFollowTiming,
      on_jobs, std::exchange(restored_jobs, std::nullopt));
  const auto has_authority = [weak] {
    const auto self = weak.lock();
    return self && self->HasAuthority();
  };
  messages = MessageSender::Make(
      io, store, has_authority, [weak](const CellMessage& sent) {
        const auto self = weak.lock();
        if (self && !self->stopped && sent.ended_job)
          self->scheduler->OnEndMessageStored(*sent.ended_job);
      });
  JobRecordDeleter::Hooks deleter_hooks;
  deleter_hooks.may_delete = has_authority;
  deleter_hooks.take_keys = [this](const JobId& id) { return TakeKeys(id); };
  deleter_hooks.on_deleted = [this](const std::vector<JobId>& ids) {
    scheduler->OnSubmissionsDeleted(ids, MonotonicNow());
    wake.Notify();
  };
  deleter =
      JobRecordDeleter::Make(io, store, options.cell, std::move(deleter_hooks));
  worker_follower =
      TopicFollower::Make(io, store, StoreTopic::kWorkers, kWorkerFollowTiming,
                          [weak](const TopicFollower::Records& newest,
                                 const std::vector<KeyedRecord>& added) {
                            const auto self = weak.lock();
                            if (self && !self->stopped)
                              self->ApplyWorkers(newest, added);
                          });
}

// All keys that the stream of jobs may have of the job.
std::vector<std::string> Cell::Impl::TakeKeys(const JobId& id) {
  std::vector<std::string> of_job = keys.TakeJob(id);
  of_job.insert(of_job.end(),
                {SubmissionKey(id), CancellationKey(id), EndKey(id)});
  return of_job;
}

// Finds records that no owner needs any more, though their jobs go on or never
// were known.
void Cell::Impl::DeleteNeedlessRecords(TimePoint now) {
  for (const auto& [id, iteration] : scheduler->TakeEndedIterations()) {
    const bool is_home = CellOfJob(options.layout, id) == options.cell;
    deleter->DeleteKeys(keys.TakeIteration(id, iteration, is_home));
  }
  const auto is_known = [this](const JobId& id) {
    return scheduler->StatusOf(id).has_value();
  };
  for (const JobId& id : keys.TakeUnknownJobs(now, is_known)) {
    scheduler->ForgetUnknownJob(id);
    // Its submission may be on its way.
    deleter->DeleteKeys(keys.TakeJob(id));
    deleter->DeleteKeys({CancellationKey(id), EndKey(id)});
  }
}

void Cell::Impl::SendStops() {
  if (stopped || !driver)
    return;
  for (const StopRunCommand& stop : scheduler->TakeStops(MonotonicNow()))
    driver->Send(stop);
  messages->Send(scheduler->TakeCancellations());
}

// Sends stops also while an append of the plan is in progress: a slow store
// must not keep cancelled tasks running.
asio::awaitable<void> Cell::Impl::SendStopsRepeatedly() {
  const auto self = shared_from_this();
  while (!stopped) {
    SendStops();
    co_await Sleep(kStopInterval);
  }
}

// Stores the plan's decisions, then starts the tasks. Pace changes are sent at
// once. False once the cell is lost.
asio::awaitable<bool> Cell::Impl::PlanOnce() {
  const TimePoint begin = MonotonicNow();
  Plan plan = scheduler->MakePlan(begin, WallNow());
  last_plan_took = MonotonicNow() - begin;
  SendStops();
  for (const PaceCommand& pace : plan.paces)
    driver->Send(pace);
  LogDecisions(decisions, scheduler->TakeDecisions(),
               {options.cell, options.epoch}, MonotonicNow());
  deleter->DeleteJobs(plan.deleted_jobs);
  if (!plan.records.empty()) {
    const bool stored = co_await writer.Store(std::move(plan.records));
    if (stopped)
      co_return false;
    if (!stored) {
      OnOwnershipLost();
      co_return false;
    }
  }
  scheduler->OnStored(MonotonicNow());
  DeleteNeedlessRecords(MonotonicNow());
  messages->Send(std::move(plan.messages));
  for (const StartRunCommand& start : plan.starts)
    driver->Send(start);
  co_return true;
}

// Ends early once capacity comes free that is waited for.
asio::awaitable<void> Cell::Impl::PauseBetweenPlans() {
  const TimePoint begin = MonotonicNow();
  bool notified = false;
  while (!stopped) {
    const Duration left =
        begin +
        PauseAfterPlan(last_plan_took, scheduler->HasAwaitedCapacity()) -
        MonotonicNow();
    if (left <= Duration(0))
      break;
    const bool woken = co_await wake.Wait(left);
    notified = notified || woken;
  }
  // What woke this pause may be no reason to end it, but one for a plan.
  if (notified)
    wake.Notify();
}

// Renews the proof of ownership while there is nothing else to store.
asio::awaitable<void> Cell::Impl::RefreshOwnershipProof() {
  const auto proven = writer.proven_at();
  if (proven && BootTimeNow() - *proven < kProofInterval)
    co_return;
  const bool accepted = co_await writer.Prove();
  if (!accepted && !stopped)
    OnOwnershipLost();
}

asio::awaitable<void> Cell::Impl::Run() {
  const auto self = shared_from_this();
  const bool ready = co_await Restore();
  if (stopped)
    co_return;
  if (!ready) {
    OnOwnershipLost();
    co_return;
  }
  restored = true;
  StartFollowing();
  Spawn(io, "stops", SendStopsRepeatedly());
  while (!stopped) {
    const TimePoint now = MonotonicNow();
    const Duration wait = scheduler->NextDue(now, WallNow()) - now;
    if (!scheduler->NeedsPlan())
      co_await wake.Wait(std::max(kMinPlanWait, wait));
    if (stopped)
      co_return;
    const bool owning = co_await PlanOnce();
    if (!owning)
      co_return;
    co_await RefreshOwnershipProof();
    co_await PauseBetweenPlans();
  }
}

Cell::Cell(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Cell::~Cell() {
  Stop();
}

std::shared_ptr<Cell> Cell::Make(asio::io_context& io,
                                 const StorePort& store,
                                 const WorkerPort& workers,
                                 const RecordDecoders& decoders,
                                 const CellOptions& options,
                                 CellHooks hooks) {
  return std::shared_ptr<Cell>(new Cell(std::make_shared<Impl>(
      io, store, workers, decoders, options, std::move(hooks))));
}

void Cell::Start() {
  // A cell that fails is left to another owner.
  Spawn(m_impl->io, "cell", m_impl->Run(),
        [impl = m_impl] { impl->OnOwnershipLost(); });
}

void Cell::Stop() {
  m_impl->StopAll();
}

void Cell::OnManifest() {
  if (!m_impl->scheduler || m_impl->stopped)
    return;
  m_impl->scheduler->SetPolicy(m_impl->hooks.manifest().policy, MonotonicNow());
  m_impl->wake.Notify();
}

Epoch Cell::epoch() const {
  return m_impl->options.epoch;
}

bool Cell::IsCurrent() const {
  if (m_impl->stopped || !m_impl->restored || !m_impl->job_follower)
    return false;
  const auto age = m_impl->job_follower->Age();
  return age && *age < kMaxJobsAge;
}

std::optional<Duration> Cell::ProofAge() const {
  const auto proven = m_impl->writer.proven_at();
  if (!proven)
    return std::nullopt;
  return BootTimeNow() - *proven;
}

std::optional<JobStatus> Cell::StatusOf(const JobId& id) const {
  return m_impl->scheduler ? m_impl->scheduler->StatusOf(id) : std::nullopt;
}

std::optional<CellLoad> Cell::Load() const {
  if (!IsCurrent())
    return std::nullopt;
  const TimePoint now = MonotonicNow();
  if (!m_impl->load || now - m_impl->load_measured_at > kMaxMeasuredLoadAge) {
    m_impl->load = m_impl->scheduler->Load(now);
    m_impl->load_measured_at = now;
  }
  return m_impl->load;
}

std::string Cell::OwnInterference() const {
  return IsCurrent() ? m_impl->scheduler->OwnInterference() : std::string();
}

void Cell::SetPeerInterference(const std::vector<std::string>& encoded) {
  if (!m_impl->scheduler || m_impl->stopped)
    return;
  const size_t unreadable = m_impl->scheduler->SetPeerInterference(encoded);
  if (unreadable > 0)
    LogEvent("peer_interference_unreadable",
             {{"cell", static_cast<int64_t>(m_impl->options.cell.value())},
              {"count", static_cast<int64_t>(unreadable)}});
}

void Cell::SetCellLoads(const std::vector<CellLoad>& loads) {
  if (!m_impl->scheduler || m_impl->stopped)
    return;
  std::vector<CellLoad> others = loads;
  std::erase_if(others, [this](const CellLoad& load) {
    return load.cell == m_impl->options.cell;
  });
  m_impl->scheduler->SetCellLoads(std::move(others), MonotonicNow());
}

size_t Cell::WorkerCount() const {
  return m_impl->scheduler ? m_impl->scheduler->CountWorkers() : 0;
}

std::string Cell::Dump() const {
  return m_impl->scheduler ? m_impl->scheduler->Dump(MonotonicNow()) : "{}";
}

const SchedulerCounters& Cell::counters() const {
  static const SchedulerCounters none;
  return m_impl->scheduler ? m_impl->scheduler->counters() : none;
}

WaitingSummary Cell::Waiting() const {
  return m_impl->scheduler ? m_impl->scheduler->Waiting(MonotonicNow())
                           : WaitingSummary{};
}

const WorkerCallCounters& Cell::calls() const {
  static const WorkerCallCounters none;
  return m_impl->driver ? m_impl->driver->counters() : none;
}

}  // namespace cowslipmast::sched
