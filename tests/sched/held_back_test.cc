// Guards against a task that is started once too often before it is known that
// it has crashed its last worker, against one that then never runs again, and
// against other work that waits with it.

#include <catch2/catch.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "tests/sched/job_builders.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kClaimed{seconds(100)};
// Leases of the owner before last until then.
constexpr TimePoint kLapsed = kClaimed + seconds(11);
const JobId kJob("job");

void Answer(Scheduler& scheduler,
            const WorkerId& id,
            int64_t start_time_ms,
            TimePoint now) {
  scheduler.OnListing(id,
                      {.clock = WorkerClock(5),
                       .start_time_ms = start_time_ms,
                       .running = {},
                       .ended = {}},
                      now, now);
}

std::vector<StartRunCommand> PlanStarts(Scheduler& scheduler, TimePoint now) {
  const Plan plan = scheduler.MakePlan(now, WallTime(now.time_since_epoch()));
  scheduler.OnStored(now);
  return plan.starts;
}

nlohmann::json MakeWaitingTask(uint32_t failures, int crashes, int proven) {
  return {0, 4, failures, "", nullptr, crashes, crashes > 0, 0, proven, false};
}

// Two workers, and a job of which the record says that its tasks wait.
std::unique_ptr<Scheduler> MakeScheduler(
    const StepSpec& step,
    const std::vector<nlohmann::json>& tasks) {
  auto scheduler = Scheduler::Make(SchedulerOptions(), kClaimed);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
  policy.queues[QueueId("batch")] = MakePolicy(2, 4);
  scheduler->SetPolicy(policy, kClaimed);
  scheduler->AddJob(MakeJob("job", "urgent", {step}), kClaimed,
                    WallTime(kClaimed.time_since_epoch()));
  REQUIRE(scheduler->RestoreProgress(
      {"job.0",
       AsBytes({{"s", 1},
                {"t", nlohmann::json::array({nlohmann::json(tasks)})}})}));
  scheduler->FinishRestore(kClaimed);
  for (const char* id : {"w0", "w1"}) {
    WorkerInfo info;
    info.id = WorkerId(id);
    info.service = ServiceId("pool");
    info.capacity = MakeStep(1, 16, 64000, 0).need;
    info.start_time_ms = 1;
    scheduler->UpsertWorker(info, kClaimed);
    Answer(*scheduler, info.id, 1, kClaimed);
  }
  return scheduler;
}

// Four ends under the task, `proven` of them proven crashes.
std::unique_ptr<Scheduler> MakeSchedulerWithSuspect(int proven) {
  return MakeScheduler(MakeStep(1, 2, 1000, 0.8),
                       {MakeWaitingTask(0, 4, proven)});
}

TEST_CASE("a task starts once more before its last crash is proven",
          "[sched]") {
  auto scheduler = MakeSchedulerWithSuspect(2);
  const std::vector<StartRunCommand> starts = PlanStarts(*scheduler, kClaimed);
  REQUIRE(starts.size() == 1);
  scheduler->OnStarted(starts[0], kClaimed + milliseconds(10));
  const WorkerId silent = starts[0].worker.id;
  scheduler->OnUnreachable(silent, kClaimed + seconds(1));
  CHECK(PlanStarts(*scheduler, kLapsed).empty());
  CHECK(scheduler->IsFollowed(silent));

  SECTION("or not at all, although its worker was only partitioned") {
    Answer(*scheduler, silent, 1, kLapsed + seconds(3));
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(3)).size() == 1);
    CHECK(scheduler->StateOf(kJob) == JobState::kActive);
  }
  SECTION("or is not given up, although the worker restarted") {
    Answer(*scheduler, silent, 2, kLapsed + seconds(3));
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(3)).empty());
    CHECK(scheduler->StateOf(kJob) == JobState::kFailed);
  }
  SECTION("or waits without end, although no worker answers") {
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(19)).empty());
    CHECK(scheduler->StateOf(kJob) == JobState::kActive);
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(21)).empty());
    CHECK(scheduler->StateOf(kJob) == JobState::kFailed);
  }
}

TEST_CASE(
    "a task without two proven crashes starts before a silent worker answers",
    "[sched]") {
  auto scheduler = MakeSchedulerWithSuspect(1);
  const std::vector<StartRunCommand> starts = PlanStarts(*scheduler, kClaimed);
  REQUIRE(starts.size() == 1);
  scheduler->OnStarted(starts[0], kClaimed + milliseconds(10));
  scheduler->OnUnreachable(starts[0].worker.id, kClaimed + seconds(1));
  CHECK(PlanStarts(*scheduler, kLapsed).empty());

  SECTION("or is given up, although nothing proves that it crashes workers") {
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(19)).empty());
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(21)).size() == 1);
    CHECK(scheduler->StateOf(kJob) == JobState::kActive);
  }
  SECTION("or waits on, although its worker was only partitioned") {
    Answer(*scheduler, starts[0].worker.id, 1, kLapsed + seconds(3));
    CHECK(PlanStarts(*scheduler, kLapsed + seconds(3)).size() == 1);
    CHECK(scheduler->StateOf(kJob) == JobState::kActive);
  }
}

StepSpec MakeBestEffortStep(int64_t cores, const char* image) {
  StepSpec step = MakeStep(1, cores, 1000, 0.8);
  step.best_effort = true;
  step.image = ImageId(image);
  return step;
}

// The worker's address is silent from now on.
void LoseWorkerOf(Scheduler& scheduler, const StartRunCommand& start) {
  scheduler.OnStarted(start, kClaimed + milliseconds(10));
  scheduler.OnUnreachable(start.worker.id, kClaimed + seconds(1));
}

// Late, if submitted after the leases.
void Submit(Scheduler& scheduler,
            const std::string& id,
            const std::string& queue,
            const StepSpec& step,
            TimePoint now) {
  JobDefinition job = MakeJob(id, queue, {step});
  job.accepted = WallTime(kClaimed.time_since_epoch());
  scheduler.AddJob(job, now, WallTime(now.time_since_epoch()));
}

std::vector<std::string> JobsOf(const std::vector<StartRunCommand>& starts) {
  std::vector<std::string> jobs(starts.size());
  std::transform(
      starts.begin(), starts.end(), jobs.begin(),
      [](const StartRunCommand& start) { return start.task.job.value(); });
  return jobs;
}

TEST_CASE("other work waits with a task that is held back", "[sched][lost]") {
  auto scheduler = MakeSchedulerWithSuspect(2);
  const std::vector<StartRunCommand> starts = PlanStarts(*scheduler, kClaimed);
  REQUIRE(starts.size() == 1);
  LoseWorkerOf(*scheduler, starts[0]);
  CHECK(PlanStarts(*scheduler, kLapsed).empty());

  SECTION("and needs as much") {
    Submit(*scheduler, "other", "urgent", MakeStep(1, 2, 1000, 0.8), kLapsed);
  }
  SECTION("and needs more") {
    Submit(*scheduler, "other", "urgent", MakeStep(1, 4, 2000, 0.8), kLapsed);
  }
  SECTION("and is less urgent") {
    Submit(*scheduler, "other", "batch", MakeStep(1, 2, 1000, 0.8), kLapsed);
  }
  CHECK(JobsOf(PlanStarts(*scheduler, kLapsed + milliseconds(10))) ==
        std::vector<std::string>{"other"});
}

TEST_CASE("other work waits with a step of which one task is held back",
          "[sched][lost]") {
  // The other task may only go where no run has failed of late.
  auto scheduler =
      MakeScheduler(MakeStep(2, 2, 1000, 0.8),
                    {MakeWaitingTask(0, 4, 2), MakeWaitingTask(3, 0, 0)});
  Submit(*scheduler, "failing", "batch", MakeStep(1, 2, 1000, 60), kClaimed);
  const std::vector<StartRunCommand> starts = PlanStarts(*scheduler, kClaimed);
  REQUIRE(starts.size() == 3);
  REQUIRE(starts[0].task.index == 0);
  const WorkerId lost = starts[0].worker.id;
  const WorkerId other = starts[1].worker.id;
  REQUIRE(lost != other);
  REQUIRE(starts[2].worker.id == other);
  for (const StartRunCommand& start : starts)
    scheduler->OnStarted(start, kClaimed + milliseconds(10));
  LoseWorkerOf(*scheduler, starts[0]);
  scheduler->OnListing(other,
                       {.clock = WorkerClock(5),
                        .start_time_ms = 1,
                        .running = {},
                        .ended = {{.number = 1,
                                   .task = starts[2].task,
                                   .run = starts[2].run,
                                   .outcome = RunOutcome::kFailed,
                                   .checkpoint = ""}}},
                       kLapsed, kLapsed);
  CHECK(JobsOf(PlanStarts(*scheduler, kLapsed)) ==
        std::vector<std::string>{"failing"});
}

TEST_CASE("a job without a run waits with one whose task is held back",
          "[sched][lost]") {
  auto scheduler =
      MakeScheduler(MakeBestEffortStep(2, "image"), {MakeWaitingTask(0, 4, 2)});
  const std::vector<StartRunCommand> starts = PlanStarts(*scheduler, kClaimed);
  REQUIRE(starts.size() == 1);
  LoseWorkerOf(*scheduler, starts[0]);
  // Leaves no headroom to best-effort tasks.
  StepSpec step = MakeLongRunningStep(1, 3);
  step.image = ImageId("critical");
  step.latency_target = milliseconds(18);
  Submit(*scheduler, "critical", "urgent", step, kLapsed);
  const std::vector<StartRunCommand> critical = PlanStarts(*scheduler, kLapsed);
  REQUIRE(JobsOf(critical) == std::vector<std::string>{"critical"});
  scheduler->OnStarted(critical[0], kLapsed);
  TimePoint now = kLapsed;
  for (; now < kLapsed + seconds(1); now += milliseconds(100))
    scheduler->OnListing(critical[0].worker.id,
                         {.clock = WorkerClock(5),
                          .start_time_ms = 1,
                          .running = {{.task = critical[0].task,
                                       .run = critical[0].run,
                                       .checkpoint = "",
                                       .percent = 100,
                                       .load = 60}},
                          .ended = {}},
                         now, now);
  Submit(*scheduler, "other", "urgent", MakeBestEffortStep(2, "image"), now);
  CHECK(PlanStarts(*scheduler, now).empty());
  CHECK(JobsOf(PlanStarts(*scheduler, now + milliseconds(2100))) ==
        std::vector<std::string>{"other"});
}

}  // namespace
}  // namespace cowslipmast::sched
