// Guards against tasks that wait for a worker although the service has
// capacity for them.

#include <catch2/catch.hpp>

#include "src/sched/choose_cell.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Cells of eight workers with 16 cores each.
std::unique_ptr<SimulatedCells> MakeCells(uint32_t cells) {
  auto system = std::make_unique<SimulatedCells>(cells, 8, 16);
  system->SetQueue("urgent", MakePolicy(0, 2));
  system->SetQueue("batch", MakePolicy(2, 2));
  system->Run(milliseconds(200));
  return system;
}

// Submits long-running tasks of 4 cores that the cell accepts.
std::string SubmitLongRunning(SimulatedCells& system,
                              size_t cell,
                              uint32_t count,
                              int64_t cores = 4) {
  std::string job = system.MakeIdFor(cell, "s");
  system.Submit(MakeJob(job, "urgent", {MakeLongRunningStep(count, cores)}));
  return job;
}

TEST_CASE("an overdue task waits although each cell has capacity for one",
          "[sched]") {
  const auto system = MakeCells(2);
  // 31 of the 32 tasks that each cell can run: 97% of its processors.
  for (size_t cell = 0; cell < system->size(); ++cell)
    SubmitLongRunning(*system, cell, 31);
  system->Run(seconds(4));
  const std::string job = SubmitLongRunning(*system, 0, 1);
  system->Run(seconds(3));
  CHECK(system->CountRunning(job) == 1);
  CHECK(system->Violations().empty());
}

TEST_CASE("a task that has just ended hides overdue tasks of its step",
          "[sched]") {
  // Each worker can run one task; two of the eight are lost.
  SimulatedCell cell;
  cell.AddWorkers(8, 4, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.Run(milliseconds(200));
  cell.Submit(MakeJob("s", "urgent", {MakeLongRunningStep(8, 4)}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("s") == 8);
  for (const size_t lost : {6, 7}) {
    cell.worker(lost).up = false;
    cell.RemoveFromList(lost);
  }
  cell.Run(seconds(12));
  REQUIRE(cell.CountRunning("s") == 6);
  // From now on one more task ends each second.
  for (size_t restarted = 0; restarted < 6; ++restarted) {
    cell.RestartWorker(restarted);
    cell.Run(seconds(1));
    CHECK(cell.CountRunning("s") == 6);
  }
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("short work waits behind a task that leaves capacity to short work",
          "[sched]") {
  const auto system = MakeCells(1);
  SubmitLongRunning(*system, 0, 30);
  system->Run(seconds(4));
  SubmitLongRunning(*system, 0, 1);
  const std::string job = system->MakeIdFor(0, "b");
  system->Submit(MakeJob(job, "batch", {MakeStep(1, 4, 1000, 0.5)}));
  system->Run(milliseconds(700));
  CHECK(system->StateOf(job) == JobState::kCompleted);
}

TEST_CASE("an overdue task waits in a full cell although another one has room",
          "[sched]") {
  SECTION("that tasks which need more wait for") {
    const auto system = MakeCells(2);
    // Cell 1 is left with two cores on each worker, and with tasks that need
    // more.
    SubmitLongRunning(*system, 0, 32);
    for (int i = 0; i < 3; ++i)
      SubmitLongRunning(*system, 1, 8, i == 0 ? 14 : 4);
    system->Run(seconds(6));
    const std::string job = SubmitLongRunning(*system, 0, 4, 2);
    system->Run(seconds(4));
    CHECK(system->CountRunning(job) == 4);
    CHECK(system->Violations().empty());
  }
  SECTION("and a third one only pieces that are too small") {
    const auto load = [](uint64_t cell, int64_t pieces, int64_t cores) {
      ServiceLoad service;
      service.service = ServiceId("pool");
      service.workers = 8;
      service.capacity = MilliCores(128000);
      service.long_running = MilliCores(128000 - pieces * cores * 1000);
      service.free_pieces.resize(
          static_cast<size_t>(pieces),
          {MilliCores(cores * 1000), Mebibytes(1000), Accelerators(0)});
      return CellLoad{
          .cell = CellId(cell), .services = {service}, .waiting = {}};
    };
    WaitingWork work{.service = ServiceId("pool"),
                     .kind = WorkKind::kOverdueLongRunning,
                     .need = MilliCores(4000),
                     .task_need = MakeStep(1, 4, 1000, 0).need,
                     .label = "",
                     .waited = seconds(2),
                     .hop = 0,
                     .random = 0};
    for (; work.random < 1000000; work.random += 99730)
      CHECK(ChooseCell(work, load(0, 0, 0), {load(1, 8, 3), load(2, 1, 4)}) ==
            CellId(2));
  }
  SECTION("and the cell that has moved it here seems to have more") {
    const auto load = [](uint64_t cell, size_t pieces) {
      ServiceLoad service;
      service.service = ServiceId("pool");
      service.workers = 8;
      service.capacity = MilliCores(128000);
      service.free_pieces.resize(
          pieces, {MilliCores(4000), Mebibytes(1000), Accelerators(0)});
      return CellLoad{
          .cell = CellId(cell), .services = {service}, .waiting = {}};
    };
    // Its workers run as many tasks of the step as they may.
    WaitingWork work{.service = ServiceId("pool"),
                     .kind = WorkKind::kOverdueLongRunning,
                     .need = MilliCores(4000),
                     .task_need = MakeStep(1, 4, 1000, 0).need,
                     .max_per_worker = 1,
                     .label = "",
                     .waited = seconds(2),
                     .hop = 0,
                     .came_from = CellId(1),
                     .random = 0};
    for (; work.random < 1000000; work.random += 99730)
      CHECK(ChooseCell(work, load(0, 0), {load(1, 8), load(2, 1)}) ==
            CellId(2));
    CHECK(ChooseCell(work, load(0, 0), {load(1, 8), load(2, 0)}) == CellId(1));
  }
  SECTION("and takes no other waiting tasks along than fit there") {
    const auto system = MakeCells(2);
    std::vector<std::string> jobs;
    for (uint32_t i = 0; i < 8; ++i) {
      jobs.push_back(SubmitLongRunning(*system, 0, 4));
      jobs.push_back(SubmitLongRunning(*system, 1, i == 0 ? 2 : 4));
      system->Run(milliseconds(100));
    }
    system->Run(seconds(4));
    const auto count_running = [&] {
      size_t count = 0;
      for (const std::string& job : jobs)
        count += system->CountRunning(job);
      return count;
    };
    REQUIRE(count_running() == 62);
    // Four tasks lose their worker; there is room for two of them.
    system->cell(0).worker(0).up = false;
    system->Run(seconds(12));
    CHECK(count_running() == 60);
    uint64_t moved_tasks = 0;
    for (size_t cell = 0; cell < system->size(); ++cell)
      moved_tasks += system->cell(cell).scheduler().counters().moved_tasks;
    CHECK(moved_tasks <= 2);
    CHECK(system->Violations().empty());
  }
}

TEST_CASE("a job without any run is not seen in logs and metrics", "[sched]") {
  const auto system = MakeCells(1);
  StepSpec step = MakeStep(2, 1, 1000, 1);
  step.best_effort = true;
  step.label = "unknown";
  system->Submit(MakeJob("starved", "batch", {step}));
  SimulatedCell& cell = system->cell(0);
  cell.Run(seconds(2));
  CHECK(cell.scheduler().Waiting(cell.now()).starved_jobs == 0);
  cell.Run(seconds(3));
  const WaitingSummary waiting = cell.scheduler().Waiting(cell.now());
  CHECK(waiting.starved_jobs == 1);
  CHECK(waiting.longest_starvation > seconds(4));
  std::string last_line;
  for (const Decision& decision : cell.scheduler().TakeDecisions()) {
    if (decision.event == "run_waits")
      last_line = decision.detail;
  }
  CHECK_THAT(last_line, Catch::Contains("ruled_out=0 examined_ms_ago=0"));
  CHECK_THAT(last_line, Catch::Contains("with_idle_time=0 with_headroom=0"));
}

}  // namespace
}  // namespace cowslipmast::sched
