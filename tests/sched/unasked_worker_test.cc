// Guards against a task that runs again although it has ended: an owner that
// takes longer to read its state than the leases last must ask the workers
// before it takes their runs for gone. Their answers show what has ended.

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "cowslipmast/sched/scheduler.h"
#include "tests/sched/job_builders.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kClaimed{seconds(100)};
// Later than all leases that the owner before may have granted.
constexpr TimePoint kRestored = kClaimed + seconds(30);
constexpr RunNumber kRun{1};
const WorkerId kHolder("w0");
const WorkerId kOther("w1");
const JobId kJob("job");

void AddWorker(Scheduler& scheduler, const WorkerId& id) {
  WorkerInfo info;
  info.id = id;
  info.service = ServiceId("pool");
  info.capacity = MakeStep(1, 16, 64000, 0).need;
  info.start_time_ms = 1;
  scheduler.UpsertWorker(info, kRestored);
}

size_t CountStarts(Scheduler& scheduler, TimePoint now) {
  const Plan plan = scheduler.MakePlan(now, WallTime(now.time_since_epoch()));
  scheduler.OnStored(now);
  return plan.starts.size();
}

void Answer(Scheduler& scheduler,
            const WorkerId& worker,
            const std::vector<EndedRun>& ended,
            TimePoint now) {
  scheduler.OnListing(worker,
                      {.clock = WorkerClock(40000),
                       .start_time_ms = 1,
                       .running = {},
                       .ended = ended},
                      now, now);
}

TEST_CASE("an owner that reads its state for longer than leases last",
          "[sched]") {
  auto scheduler = Scheduler::Make(SchedulerOptions(), kClaimed);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
  scheduler->SetPolicy(policy, kClaimed);
  scheduler->AddJob(MakeJob("job", "urgent", {MakeStep(1, 2, 1000, 800)}),
                    kClaimed, WallTime(kClaimed.time_since_epoch()));
  const nlohmann::json task = {1, 1, 0, "", "w0", 0, 0, 1};
  REQUIRE(scheduler->RestoreProgress(
      {"job.0", AsBytes({{"s", 1}, {"t", {{task}}}})}));
  scheduler->FinishRestore(kRestored);
  AddWorker(*scheduler, kHolder);
  AddWorker(*scheduler, kOther);
  Answer(*scheduler, kOther, {}, kRestored);

  SECTION("starts nothing again before it has asked the worker") {
    CHECK(CountStarts(*scheduler, kRestored + milliseconds(10)) == 0);

    SECTION("and learns that the run has ended") {
      Answer(*scheduler, kHolder,
             {{.number = 1,
               .task = {kJob, 0, 0, 0},
               .run = kRun,
               .outcome = RunOutcome::kDone,
               .checkpoint = ""}},
             kRestored + milliseconds(50));
      CHECK(CountStarts(*scheduler, kRestored + milliseconds(60)) == 0);
      CHECK(scheduler->StatusOf(kJob)->state == JobState::kCompleted);
    }
    SECTION("and starts it elsewhere once the worker has not answered twice") {
      scheduler->OnUnreachable(kHolder, kRestored + milliseconds(600));
      CHECK(CountStarts(*scheduler, kRestored + milliseconds(610)) == 0);
      scheduler->OnUnreachable(kHolder, kRestored + milliseconds(1900));
      CHECK(CountStarts(*scheduler, kRestored + milliseconds(1910)) == 1);
    }
    SECTION("and starts it elsewhere once the worker is gone from the list") {
      scheduler->RemoveWorker(kHolder, kRestored + milliseconds(600));
      CHECK(CountStarts(*scheduler, kRestored + milliseconds(610)) == 1);
    }
  }
}

}  // namespace
}  // namespace cowslipmast::sched
