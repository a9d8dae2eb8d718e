// Guards against a task that is started once too often before it is known that
// it has crashed its last worker, and against one that then never runs again.

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
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

// Four ends under the task, `proven` of them proven crashes.
std::unique_ptr<Scheduler> MakeSchedulerWithSuspect(int proven) {
  auto scheduler = Scheduler::Make(SchedulerOptions(), kClaimed);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
  scheduler->SetPolicy(policy, kClaimed);
  scheduler->AddJob(MakeJob("job", "urgent", {MakeStep(1, 2, 1000, 0.8)}),
                    kClaimed, WallTime(kClaimed.time_since_epoch()));
  const nlohmann::json task = {0, 4, 0, "", nullptr, 4, 1, 0, proven, false};
  REQUIRE(scheduler->RestoreProgress(
      {"job.0", AsBytes({{"s", 1}, {"t", {{task}}}})}));
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

}  // namespace
}  // namespace cowslipmast::sched
