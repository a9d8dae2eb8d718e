// Replays loads that several cells share unevenly. Guards against work that
// waits in a full cell while others have capacity, and against a job that is
// lost, run twice or runs on after its cancellation because it moved.

#include <catch2/catch.hpp>

#include <map>

#include "src/sched/choose_cell.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::unique_ptr<SimulatedCells> MakeCells(uint32_t cells, int workers) {
  auto system = std::make_unique<SimulatedCells>(cells, workers, 16);
  system->SetQueue("urgent", MakePolicy(0, 4));
  system->SetQueue("batch", MakePolicy(2, 4));
  system->Run(milliseconds(200));
  return system;
}

TEST_CASE("racks and jobs are spread over cells", "[sched]") {
  const CellLayout layout{kLayoutVersion, 11};
  SECTION("with almost as many racks in each cell") {
    // Guards against a hash, which gives some cells twice as many as others.
    std::vector<int> racks(layout.cells);
    for (const char* zone : {"r1-", "r2-", "r3-", "r4-", "r5-", "r6-"}) {
      for (int i = 0; i < 23; ++i)
        ++racks[CellOfRack(layout, RackId(zone + std::to_string(i))).value()];
    }
    for (const int count : racks) {
      CHECK(count >= 10);
      CHECK(count <= 16);
    }
  }
  SECTION("with a cell of its own for each worker without a rack") {
    WorkerInfo info;
    info.id = WorkerId("i-7");
    CHECK(CellOfWorker(layout, info).value() < layout.cells);
  }
  SECTION("with one cell for a small system") {
    CHECK(ChooseCellCount(0, 100) == 1);
    CHECK(ChooseCellCount(100, 100) == 1);
    CHECK(ChooseCellCount(101, 100) == 2);
    CHECK(ChooseCellCount(1100, 100) == 11);
  }
}

TEST_CASE("long-running jobs that one cell accepts", "[sched]") {
  // Each of four cells can run 32 tasks of 4 cores on its 8 workers.
  const auto system = MakeCells(4, 8);
  std::vector<std::string> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(system->MakeIdFor(0, "s"));
    system->Submit(MakeJob(jobs.back(), "urgent", {MakeLongRunningStep(8, 4)}));
    system->Run(milliseconds(100));
  }
  system->Run(seconds(3));

  SECTION("all run, in several cells") {
    for (const std::string& job : jobs) {
      CHECK(system->CountRunning(job) == 8);
      CHECK(system->StateOf(job) == JobState::kActive);
    }
    CHECK(system->cell(0).scheduler().counters().moved_jobs > 0);
    CHECK(system->Violations().empty());
  }
  SECTION("end everywhere when they are cancelled") {
    for (const std::string& job : jobs)
      system->Cancel(job);
    system->Run(milliseconds(500));
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 0);
    system->Run(seconds(1));
    for (const std::string& job : jobs)
      CHECK(system->StateOf(job) == JobState::kCancelled);
    CHECK(system->Violations().empty());
  }
  SECTION("run once although messages arrive again later") {
    system->repeats_messages = true;
    for (int i = 0; i < 4; ++i) {
      jobs.push_back(system->MakeIdFor(1, "t"));
      system->Submit(
          MakeJob(jobs.back(), "urgent", {MakeLongRunningStep(4, 4)}));
    }
    system->Run(seconds(8));
    CHECK(system->Violations().empty());
  }
  SECTION("go on when the owners of all cells are replaced") {
    for (size_t i = 0; i < system->size(); ++i)
      system->cell(i).ReplaceOwner();
    system->Run(seconds(3));
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 8);
    for (const std::string& job : jobs)
      system->Cancel(job);
    system->Run(seconds(1));
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 0);
    CHECK(system->Violations().empty());
  }
}

TEST_CASE("long-running tasks whose workers fail", "[sched]") {
  // Guards against tasks that wait for a worker in a full cell while others
  // have capacity: they must have one after 3 s.
  const auto system = MakeCells(3, 8);
  // 72 of the 128 cores of each cell; cell 0 then loses 64.
  std::vector<std::string> jobs;
  for (size_t cell = 0; cell < system->size(); ++cell) {
    for (int i = 0; i < 3; ++i) {
      jobs.push_back(system->MakeIdFor(cell, "s"));
      system->Submit(
          MakeJob(jobs.back(), "urgent", {MakeLongRunningStep(6, 4)}));
    }
  }
  system->Run(seconds(1));
  for (size_t i = 0; i < 3; ++i)
    REQUIRE(system->cell(0).CountRunning(jobs[i]) == 6);
  for (size_t i = 0; i < 4; ++i)
    system->cell(0).worker(i).up = false;
  // The leases of the failed workers, and the wait before a task moves.
  system->Run(seconds(10));

  SECTION("run in another cell, once each") {
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 6);
    CHECK(system->cell(0).scheduler().counters().moved_tasks > 0);
    CHECK(system->Violations().empty());
  }
  SECTION("are stopped there when their job is cancelled") {
    system->cell(0).ReplaceOwner();
    system->Run(seconds(1));
    for (const std::string& job : jobs)
      system->Cancel(job);
    system->Run(seconds(1));
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 0);
    CHECK(system->Violations().empty());
  }
  SECTION("are not run twice when the owner that moved them is replaced") {
    system->repeats_messages = true;
    for (size_t i = 0; i < system->size(); ++i) {
      system->cell(i).ReplaceOwner();
      system->Run(seconds(2));
    }
    system->Run(seconds(8));
    for (const std::string& job : jobs)
      CHECK(system->CountRunning(job) == 6);
    CHECK(system->Violations().empty());
  }
}

TEST_CASE("a burst of urgent jobs for one cell", "[sched]") {
  // Guards against jobs that wait for seconds in one cell while another one is
  // idle.
  const auto system = MakeCells(4, 4);
  std::vector<std::string> jobs;
  for (int i = 0; i < 24; ++i) {
    jobs.push_back(system->MakeIdFor(2, "u"));
    system->Submit(MakeJob(jobs.back(), "urgent", {MakeStep(8, 2, 1000, 1)}));
  }
  // 24 jobs of 16 core-seconds on 256 cores take 1.5 s; one cell needs 6 s.
  system->Run(milliseconds(3500));
  int completed = 0;
  for (const std::string& job : jobs)
    completed += system->StateOf(job) == JobState::kCompleted ? 1 : 0;
  CHECK(completed >= 22);
  system->Run(seconds(4));
  for (const std::string& job : jobs)
    CHECK(system->StateOf(job) == JobState::kCompleted);
  CHECK(system->Violations().empty());
}

TEST_CASE("a cell without a usable worker", "[sched]") {
  // Guards against jobs that wait in a cell whose workers are all drained or
  // evacuated.
  const auto system = MakeCells(2, 4);
  for (size_t i = 0; i < 4; ++i) {
    system->cell(0).worker(i).info.draining = true;
    system->cell(0).UpdateWorkerInfo(i);
  }
  system->Run(seconds(1));
  const std::string job = system->MakeIdFor(0, "b");
  system->Submit(MakeJob(job, "batch", {MakeStep(4, 2, 1000, 0.5)}));
  system->Run(seconds(3));
  CHECK(system->StateOf(job) == JobState::kCompleted);
  CHECK(system->Violations().empty());
}

TEST_CASE("a job that has moved through a cell twice", "[sched]") {
  // Guards against an earlier transfer that is sent again by a new owner: in
  // run trouble-1 of the large deployment it hid the later one from the next
  // owner of the cell, which ran the job a second time.
  const TimePoint now{seconds(100)};
  const WallTime wall{seconds(100)};
  SchedulerOptions options;
  options.cell = CellId(0);
  options.layout = {kLayoutVersion, 3};
  ServiceLoad service;
  service.service = ServiceId("pool");
  service.workers = 1;
  service.capacity = MilliCores(64000);
  service.idle = MilliCores(64000);
  const std::vector<CellLoad> others = {
      {.cell = CellId(1), .services = {service}, .waiting = {}}};
  const auto make = [&] {
    auto scheduler = Scheduler::Make(options, now);
    Policy policy;
    policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
    scheduler->SetPolicy(policy, now);
    return scheduler;
  };
  const auto transfer = [](uint32_t hop) {
    return JobTransfer{.job = MakeJob("j", "urgent", {MakeStep(2, 2, 100, 1)}),
                       .from = CellId(1),
                       .hop = hop,
                       .tasks = {}};
  };
  // The cell has no worker, so the job moves on each time.
  auto first = make();
  first->FinishRestore(now);
  std::map<std::string, std::string> stored;
  for (const uint32_t hop : {1U, 3U}) {
    first->AddTransfer(transfer(hop), now, wall);
    first->SetCellLoads(others, now);
    const Plan plan = first->MakePlan(now, wall);
    for (const ProgressRecord& record : plan.records)
      stored[record.key] = record.value;
    first->OnStored(now);
    REQUIRE(first->StatusOf(JobId("j"))->moved_to == CellId(1));
  }
  const auto restore = [&](const std::vector<uint32_t>& hops) {
    auto next = make();
    for (const uint32_t hop : hops)
      next->AddTransfer(transfer(hop), now, wall);
    for (const auto& [key, value] : stored)
      next->RestoreProgress({key, value});
    next->FinishRestore(now);
    return next;
  };

  SECTION("runs a task of it that comes back alone") {
    // Guards against a task that is lost because the job, but not the task, is
    // known to have left (LOST on five days of the large deployment).
    WorkerInfo info;
    info.id = WorkerId("w");
    info.service = ServiceId("pool");
    info.capacity = {MilliCores(64000), Mebibytes(64000), Accelerators(0)};
    JobTransfer part = transfer(9);
    part.tasks = {{.step = 0,
                   .index = 1,
                   .run = RunNumber(12),
                   .failures = 0,
                   .checkpoint = ""}};
    const auto expect_one_start = [&](Scheduler& scheduler) {
      scheduler.UpsertWorker(info, now);
      scheduler.OnListing(info.id,
                          {.clock = WorkerClock(5),
                           .start_time_ms = 1,
                           .running = {},
                           .ended = {}},
                          now, now);
      const Plan plan = scheduler.MakePlan(now, wall);
      REQUIRE(plan.starts.size() == 1);
      CHECK(plan.starts[0].task.index == 1);
      CHECK(plan.starts[0].run == RunNumber(13));
    };
    SECTION("at once") {
      first->AddTransfer(part, now, wall);
      expect_one_start(*first);
    }
    SECTION("when the owner is replaced before it runs") {
      auto next = make();
      next->AddTransfer(transfer(3), now, wall);
      next->AddTransfer(part, now, wall);
      for (const auto& [key, value] : stored)
        next->RestoreProgress({key, value});
      next->FinishRestore(now);
      expect_one_start(*next);
    }
  }
  SECTION("stays away when the first transfer is read after the second") {
    const auto next = restore({3, 1});
    CHECK(next->StatusOf(JobId("j"))->moved_to == CellId(1));
  }
  SECTION("stays away when only the first transfer was kept") {
    const auto next = restore({1});
    next->AddTransfer(transfer(3), now, wall);
    CHECK(next->StatusOf(JobId("j"))->moved_to == CellId(1));
  }
  SECTION("comes back with a later transfer") {
    const auto next = restore({1, 3});
    next->AddTransfer(transfer(5), now, wall);
    CHECK_FALSE(next->StatusOf(JobId("j"))->moved_to);
  }
}

TEST_CASE("a job between two steps whose owner is replaced", "[sched]") {
  // Guards against a job that is taken for one that never started because its
  // first step is done and its second one waits: it moved to another cell and
  // ran again from the start (run trouble-1 of the large deployment). It goes
  // on there with its second step.
  const auto system = MakeCells(2, 1);
  std::vector<StepSpec> steps = {MakeStep(2, 2, 1000, 0.3),
                                 MakeStep(2, 2, 1000, 0.3)};
  steps[1].depends_on = {0};
  const std::string job = system->MakeIdFor(0, "j");
  system->Submit(MakeJob(job, "urgent", steps));
  system->Run(milliseconds(200));
  REQUIRE(system->CountRunning(job) == 2);
  // The second step finds no worker in its cell.
  system->cell(0).worker(0).info.draining = true;
  system->cell(0).UpdateWorkerInfo(0);
  system->Run(milliseconds(600));
  system->cell(0).ReplaceOwner();
  system->Run(seconds(2));
  CHECK(system->Violations().empty());
  system->cell(0).worker(0).info.draining = false;
  system->cell(0).UpdateWorkerInfo(0);
  system->Run(seconds(2));
  CHECK(system->StateOf(job) == JobState::kCompleted);
  CHECK(system->Violations().empty());
  // Each task has run once, in one of the cells.
  std::map<TaskName, int> starts;
  for (size_t i = 0; i < system->size(); ++i) {
    for (const auto& [task, count] : system->cell(i).observations().starts)
      starts[task] += count;
  }
  CHECK(starts.size() == 4);
  for (const auto& [task, count] : starts)
    CHECK(count == 1);
}

TEST_CASE("choosing a cell for long-running work", "[sched]") {
  const auto load = [](uint64_t cell, int64_t long_running) {
    ServiceLoad service;
    service.service = ServiceId("pool");
    service.workers = 10;
    service.capacity = MilliCores(1000000);
    service.reserved = MilliCores(long_running);
    service.long_running = MilliCores(long_running);
    return CellLoad{.cell = CellId(cell), .services = {service}, .waiting = {}};
  };
  WaitingWork work{.service = ServiceId("pool"),
                   .kind = WorkKind::kLongRunning,
                   .need = MilliCores(20000),
                   .label = "",
                   .waited = Duration(0),
                   .hop = 0,
                   .random = 5};
  SECTION("leaves it in a cell that is used like the others") {
    CHECK_FALSE(ChooseCell(work, load(0, 800000), {load(1, 790000)}));
  }
  SECTION("moves it from a cell that is used more than the others") {
    CHECK(ChooseCell(work, load(0, 900000), {load(1, 700000)}) == CellId(1));
  }
  SECTION("leaves it in a cell that is nearly empty") {
    CHECK_FALSE(ChooseCell(work, load(0, 300000), {load(1, 0)}));
  }
  SECTION("moves nothing to a cell without workers of the service") {
    work.service = ServiceId("other");
    CHECK_FALSE(ChooseCell(work, load(0, 900000), {load(1, 0)}));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
