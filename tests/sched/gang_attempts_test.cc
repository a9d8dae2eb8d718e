// Guards against a job that fails before its gang has failed as often as its
// queue allows, since several members failed in one run.

#include <catch2/catch.hpp>

#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "tests/sched/job_builders.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a gang uses up its attempts as two members fail in one run",
          "[sched]") {
  TimePoint now{seconds(100)};
  auto scheduler = Scheduler::Make(SchedulerOptions(), now);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 2);
  scheduler->SetPolicy(policy, now);
  StepSpec gang = MakeStep(2, 2, 1000, 5);
  gang.gang = true;
  scheduler->AddJob(MakeJob("g", "urgent", {gang}), now,
                    WallTime(now.time_since_epoch()));
  scheduler->FinishRestore(now);
  WorkerInfo info;
  info.id = WorkerId("w0");
  info.service = ServiceId("pool");
  info.capacity = MakeStep(1, 16, 64000, 0).need;
  info.start_time_ms = 1;
  scheduler->UpsertWorker(info, now);
  const auto list = [&](std::vector<EndedRun> ended) {
    now += milliseconds(100);
    scheduler->OnListing(
        info.id,
        {.clock = WorkerClock(now.time_since_epoch() / milliseconds(1)),
         .start_time_ms = 1,
         .running = {},
         .ended = std::move(ended)},
        now, now);
  };
  list({});
  const Plan plan = scheduler->MakePlan(now, WallTime(now.time_since_epoch()));
  scheduler->OnStored(now);
  REQUIRE(plan.starts.size() == 2);
  REQUIRE(plan.starts[0].run == plan.starts[1].run);
  for (const StartRunCommand& start : plan.starts)
    scheduler->OnStarted(start, now);
  std::vector<EndedRun> ended;
  for (const StartRunCommand& start : plan.starts)
    ended.push_back({.number = ended.size() + 1,
                     .task = start.task,
                     .run = start.run,
                     .outcome = RunOutcome::kFailed,
                     .checkpoint = ""});
  list(ended);
  scheduler->MakePlan(now, WallTime(now.time_since_epoch()));
  scheduler->OnStored(now);
  CHECK(scheduler->StateOf(JobId("g")) == JobState::kActive);
}

}  // namespace
}  // namespace cowslipmast::sched
