// Guards against capacity of an ended long-running run that stays unused longer
// than it must while another long-running task waits for it.

#include <catch2/catch.hpp>

#include "cowslipmast/sched/scheduler.h"
#include "tests/sched/job_builders.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCores = 6;  // two tasks do not fit on a worker

// One worker of 10 cores, in virtual time.
class OneWorker {
 public:
  OneWorker() {
    m_scheduler = Scheduler::Make(SchedulerOptions(), m_now);
    Policy policy;
    policy.queues[QueueId("q")] = QueuePolicy{.service = ServiceId("pool")};
    m_scheduler->SetPolicy(policy, m_now);
    m_scheduler->FinishRestore(m_now);
    m_info.id = WorkerId("w");
    m_info.service = ServiceId("pool");
    m_info.capacity.cpu = MilliCores(10000);
    m_info.capacity.memory = Mebibytes(64000);
    m_scheduler->UpsertWorker(m_info, m_now);
    for (int i = 0; i < 2; ++i) {
      List();
      Plan();
    }
  }

  Scheduler& scheduler() { return *m_scheduler; }

  void Submit(const std::string& id, bool long_running) {
    JobDefinition job;
    job.id = JobId(id);
    job.queue = QueueId("q");
    StepSpec step;
    step.count = 1;
    step.need.cpu = MilliCores(kCores * 1000);
    step.long_running = long_running;
    job.steps.push_back(step);
    m_scheduler->AddJob(job, m_now, WallTime(m_now.time_since_epoch()));
  }

  /** Returns the number of starts; they are carried out. */
  size_t Plan() {
    m_now += milliseconds(20);
    const auto plan =
        m_scheduler->MakePlan(m_now, WallTime(m_now.time_since_epoch()));
    m_scheduler->OnStored(m_now);
    for (const StartRunCommand& start : plan.starts) {
      m_scheduler->OnStarted(start, m_now);
      m_running.push_back({.task = start.task,
                           .run = start.run,
                           .checkpoint = "",
                           .percent = 0,
                           .load = std::nullopt});
    }
    return plan.starts.size();
  }

  void List() {
    WorkerListing listing;
    listing.clock = WorkerClock(m_now.time_since_epoch() / milliseconds(1));
    listing.start_time_ms = 1;
    listing.running = m_running;
    listing.ended = m_ended;
    m_now += milliseconds(1);
    m_scheduler->OnListing(m_info.id, listing, m_now, m_now);
  }

  void EndRun() {
    REQUIRE(m_running.size() == 1);
    m_ended.push_back({.number = m_ended.size() + 1,
                       .task = m_running[0].task,
                       .run = m_running[0].run,
                       .outcome = RunOutcome::kDone,
                       .checkpoint = ""});
    m_running.clear();
    List();
  }

 private:
  TimePoint m_now = TimePoint(seconds(1000));
  std::unique_ptr<Scheduler> m_scheduler;
  WorkerInfo m_info;
  std::vector<ActiveRun> m_running;
  std::vector<EndedRun> m_ended;
};

TEST_CASE("capacity of a long-running run that ends", "[sched]") {
  OneWorker worker;
  worker.Submit("first", true);
  REQUIRE(worker.Plan() == 1);

  SECTION("is awaited while another long-running task waits") {
    worker.Submit("second", true);
    REQUIRE(worker.Plan() == 0);
    CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
    worker.EndRun();
    CHECK(worker.scheduler().HasAwaitedCapacity());
    SECTION("until the next plan") {
      CHECK(worker.Plan() == 1);
      CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
      SECTION("also if the end is listed again") {
        worker.List();
        CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
      }
    }
  }
  SECTION("is not awaited if nothing waits") {
    worker.Plan();
    worker.EndRun();
    CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
  }
  SECTION("is not awaited by short work alone") {
    worker.Submit("second", false);
    REQUIRE(worker.Plan() == 0);
    worker.EndRun();
    CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
  }
}

TEST_CASE("capacity of a short run that ends", "[sched]") {
  OneWorker worker;
  worker.Submit("first", false);
  REQUIRE(worker.Plan() == 1);
  worker.Submit("second", true);
  REQUIRE(worker.Plan() == 0);
  worker.EndRun();
  CHECK_FALSE(worker.scheduler().HasAwaitedCapacity());
}

}  // namespace
}  // namespace cowslipmast::sched
