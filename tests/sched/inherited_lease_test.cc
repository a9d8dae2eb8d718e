// Guards against two runs of a task at once: a new owner, which may not extend
// the lease of a worker yet, must not take it for expired before it has.

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
constexpr RunNumber kRun{4};
const WorkerId kHolder("w0");
const JobId kJob("job");

void AddWorker(Scheduler& scheduler, const WorkerId& id) {
  WorkerInfo info;
  info.id = id;
  info.service = ServiceId("pool");
  info.capacity = MakeStep(1, 16, 64000, 0).need;
  info.start_time_ms = 1;
  scheduler.UpsertWorker(info, kClaimed);
}

// The worker that holds the lease lists its run; no lease end was sent to it.
void ListRun(Scheduler& scheduler, int64_t clock_ms, TimePoint now) {
  const ActiveRun run{.task = {kJob, 0, 0, 0},
                      .run = kRun,
                      .checkpoint = "",
                      .percent = 100,
                      .load = std::nullopt};
  scheduler.OnListing(kHolder,
                      {.clock = WorkerClock(clock_ms),
                       .start_time_ms = 1,
                       .running = {run},
                       .ended = {}},
                      now, now);
}

size_t CountStarts(Scheduler& scheduler, TimePoint now) {
  const Plan plan = scheduler.MakePlan(now, WallTime(now.time_since_epoch()));
  return plan.starts.size();
}

TEST_CASE("a task starts elsewhere while its worker holds an inherited lease",
          "[sched]") {
  auto scheduler = Scheduler::Make(SchedulerOptions(), kClaimed);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
  scheduler->SetPolicy(policy, kClaimed);
  scheduler->AddJob(MakeJob("job", "urgent", {MakeLongRunningStep(1, 2)}),
                    kClaimed, WallTime(kClaimed.time_since_epoch()));
  const nlohmann::json task = {1, 4, 0, "", "w0", 0, 0, 1};
  REQUIRE(scheduler->RestoreProgress(
      {"job.0", AsBytes({{"s", 1}, {"t", {{task}}}})}));
  // The owner before stored that the lease lasts 5 s at most.
  REQUIRE(scheduler->RestoreProgress({"leases", AsBytes({{"w0", 5000}})}));
  scheduler->FinishRestore(kClaimed);
  AddWorker(*scheduler, kHolder);
  AddWorker(*scheduler, WorkerId("w1"));
  scheduler->OnListing(
      WorkerId("w1"),
      {.clock = WorkerClock(5), .start_time_ms = 1, .running = {}, .ended = {}},
      kClaimed, kClaimed);

  SECTION("since the worker has answered twice before it fell silent") {
    ListRun(*scheduler, 1000, kClaimed + milliseconds(100));
    ListRun(*scheduler, 1200, kClaimed + milliseconds(300));
    CHECK(!scheduler->LeaseEnd({kHolder, 1}, kClaimed + milliseconds(300)));
    scheduler->OnUnreachable(kHolder, kClaimed + milliseconds(600));
    CHECK(CountStarts(*scheduler, kClaimed + seconds(1)) == 0);
    scheduler->OnStored(kClaimed + seconds(1));
    CHECK(CountStarts(*scheduler, kClaimed + milliseconds(4900)) == 0);
    scheduler->OnStored(kClaimed + milliseconds(4900));
    CHECK(CountStarts(*scheduler, kClaimed + milliseconds(5100)) == 1);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
