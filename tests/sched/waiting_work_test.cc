// Guards against accepted work that waits while the service has capacity for it
// twice over (LOST). Each test is one way in which that can happen.

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "tests/sched/waiting_work_checker.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workers have 16 cores.
std::unique_ptr<SimulatedCells> MakeCells(uint32_t cells, int workers) {
  auto system = std::make_unique<SimulatedCells>(cells, workers, 16);
  system->SetQueue("urgent", MakePolicy(0, 2));
  system->SetQueue("batch", MakePolicy(2, 3));
  system->Run(milliseconds(800));
  return system;
}

std::string SubmitTo(SimulatedCells& system,
                     size_t cell,
                     const std::string& queue,
                     std::vector<StepSpec> steps) {
  std::string id = system.MakeIdFor(cell, "j");
  system.Submit(MakeJob(id, queue, std::move(steps)));
  return id;
}

TaskName Task(const std::string& job, uint32_t index, uint32_t step = 0) {
  return {JobId(job), 0, step, index};
}

void SetDraining(SimulatedCells& system,
                 size_t cell,
                 size_t worker,
                 bool draining) {
  system.cell(cell).worker(worker).info.draining = draining;
  system.cell(cell).UpdateWorkerInfo(worker);
}

// Long-running tasks fill all 16 cores of that many workers but `hole` on each.
void FillWorkers(SimulatedCells& system,
                 size_t cell,
                 uint32_t workers,
                 int64_t hole) {
  StepSpec large = MakeLongRunningStep(workers, 8);
  large.max_per_worker = 1;
  const auto small_tasks = static_cast<uint32_t>(8 - hole);
  StepSpec small = MakeLongRunningStep(workers * small_tasks, 1);
  small.max_per_worker = small_tasks;
  SubmitTo(system, cell, "urgent", {large, small});
}

// As many runs fail as the cell has workers, the later ones do not.
void FailFirstRuns(SimulatedCells& system, size_t cell) {
  auto left = std::make_shared<size_t>(system.cell(cell).worker_count());
  system.cell(cell).run_fails = [left](const TaskName&) {
    return *left > 0 && (*left)-- > 0;
  };
}

TEST_CASE("a long-running task waits behind tasks of its step that end later",
          "[sched][lost]") {
  // 80 tasks of 4 cores for 320 cores; one waits, as there is capacity for only
  // one. Then others end, one every 1.2 s, and must wait for 1.5 s until they
  // may use the capacity that is kept for short work.
  const auto system = MakeCells(1, 20);
  WaitingWorkChecker checker(*system);
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(80, 4)});
  checker.Run(seconds(4));
  REQUIRE(system->CountRunning(job) >= 79);
  uint32_t next = 0;
  for (int i = 0; i < 6; ++i) {
    while (!system->cell(0).WorkerOf(Task(job, next)))
      ++next;
    system->cell(0).EndRunOf(Task(job, next), RunOutcome::kFailed);
    ++next;
    checker.Run(milliseconds(1200));
  }
  checker.Run(seconds(3));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
}

TEST_CASE("a step that fits waits behind 24 long-running steps that do not",
          "[sched][lost]") {
  // Over its share a long-running task waits for 1.5 s, and is then one of many
  // overdue ones.
  const auto system = MakeCells(1, 4);
  WaitingWorkChecker checker(*system);
  FillWorkers(*system, 0, 4, 1);
  checker.Run(seconds(3));
  for (int i = 0; i < 24; ++i) {
    StepSpec large = MakeLongRunningStep(1, 4);
    large.max_per_worker = 1;
    SubmitTo(*system, 0, "urgent", {large});
  }
  const std::string small =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(1, 1)});
  checker.Run(seconds(6));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(small) == 1);
}

TEST_CASE("a short job waits behind 24 steps whose label no worker has",
          "[sched][lost]") {
  const auto system = MakeCells(1, 4);
  QueuePolicy patient = MakePolicy(2, 3);
  patient.objective_offset = seconds(60);
  system->SetQueue("patient", patient);
  WaitingWorkChecker checker(*system);
  for (int i = 0; i < 24; ++i) {
    StepSpec labelled = MakeStep(2, 4, 1000, 1);
    labelled.label = "gpu";
    SubmitTo(*system, 0, "patient", {labelled});
  }
  const std::string job =
      SubmitTo(*system, 0, "patient", {MakeStep(2, 1, 1000, 1)});
  checker.NoteEndOfLoad();
  checker.Run(seconds(20));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->StateOf(job) == JobState::kCompleted);
}

TEST_CASE("a last attempt waits while every worker has failed once",
          "[sched][lost]") {
  const auto system = MakeCells(1, 2);
  WaitingWorkChecker checker(*system);
  FailFirstRuns(*system, 0);
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeStep(2, 9, 1000, 0.5)});
  checker.NoteEndOfLoad();
  checker.Run(seconds(20));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->StateOf(job) == JobState::kCompleted);
}

TEST_CASE("a batch job waits behind a last attempt without a trusted worker",
          "[sched][lost]") {
  const auto system = MakeCells(1, 2);
  WaitingWorkChecker checker(*system);
  FailFirstRuns(*system, 0);
  SubmitTo(*system, 0, "urgent", {MakeStep(2, 9, 1000, 0.5)});
  // It is late by now, so that its rank no longer changes.
  checker.Run(seconds(4));
  const std::string batch =
      SubmitTo(*system, 0, "batch", {MakeStep(2, 10, 1000, 0.5)});
  checker.NoteEndOfLoad();
  checker.Run(seconds(20));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->StateOf(batch) == JobState::kCompleted);
}

TEST_CASE("a last attempt without a worker keeps back its step's other tasks",
          "[sched][lost]") {
  const auto system = MakeCells(1, 2);
  WaitingWorkChecker checker(*system);
  FailFirstRuns(*system, 0);
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeStep(4, 9, 1000, 0.5)});
  checker.Run(seconds(8));
  // The tasks that failed may wait; the others may not.
  CHECK(system->cell(0).observations().starts.size() == 4);
}

TEST_CASE("a long-running task waits although two cells have capacity for one",
          "[sched][lost]") {
  // Four of 16 cores are free in each cell, and kept for short work.
  const auto system = MakeCells(2, 1);
  WaitingWorkChecker checker(*system);
  for (size_t cell = 0; cell < 2; ++cell)
    SubmitTo(*system, cell, "urgent", {MakeLongRunningStep(1, 12)});
  checker.Run(seconds(2));
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(1, 4)});
  checker.Run(seconds(10));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(job) == 1);
}

TEST_CASE("a long-running task that moves waits again in its next cell",
          "[sched][lost]") {
  // Cell 0 loses its only usable worker. The workers of cell 1 have holes of
  // one core, which are kept for short work.
  const auto system = MakeCells(2, 8);
  WaitingWorkChecker checker(*system);
  for (size_t i = 1; i < 8; ++i)
    SetDraining(*system, 0, i, true);
  FillWorkers(*system, 1, 8, 1);
  checker.Run(seconds(4));
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(2, 1)});
  checker.Run(seconds(2));
  REQUIRE(system->cell(0).CountRunning(job) == 2);
  REQUIRE(checker.found().empty());
  system->cell(0).StopWorker(0);
  checker.NoteFault();
  checker.Run(seconds(14));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(job) == 2);
}

TEST_CASE("a long-running task moves to cells where it does not fit",
          "[sched][lost]") {
  // Cell 0 loses its only usable worker. Cells 1 and 2 have free capacity in
  // pieces that are too small; in cell 3 they are large enough.
  for (int i = 0; i < 4; ++i) {
    const auto system = MakeCells(4, 8);
    WaitingWorkChecker checker(*system);
    for (size_t k = 1; k < 8; ++k)
      SetDraining(*system, 0, k, true);
    for (size_t k = 2; k < 8; ++k)
      SetDraining(*system, 3, k, true);
    for (int skipped = 0; skipped < i; ++skipped)
      system->MakeIdFor(0, "j");
    const std::string job =
        SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(1, 5)});
    checker.Run(seconds(1));
    REQUIRE(system->cell(0).CountRunning(job) == 1);
    for (size_t cell = 1; cell < 3; ++cell) {
      FillWorkers(*system, cell, 8, 3);
      checker.Run(milliseconds(600));
    }
    checker.Run(seconds(2));
    system->cell(0).StopWorker(0);
    checker.NoteFault();
    checker.Run(seconds(16));
    INFO("job " << job << "\n" << checker.Describe());
    CHECK(checker.found().empty());
    CHECK(system->CountRunning(job) == 1);
  }
}

TEST_CASE("a long-running step for more workers than its cell has",
          "[sched][lost]") {
  // All waiting tasks of a step move to one cell, where only some of them fit.
  const auto system = MakeCells(3, 7);
  WaitingWorkChecker checker(*system);
  StepSpec step = MakeLongRunningStep(21, 2);
  step.max_per_worker = 1;
  const std::string job = SubmitTo(*system, 0, "urgent", {step});
  checker.Run(seconds(20));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(job) == 21);
}

TEST_CASE("tasks for which no cell has a worker move on and on",
          "[sched][lost]") {
  // Four of twelve tasks find no worker that runs none of them.
  const auto system = MakeCells(2, 4);
  StepSpec step = MakeLongRunningStep(12, 1);
  step.max_per_worker = 1;
  SubmitTo(*system, 0, "urgent", {step});
  system->Run(seconds(60));
  uint64_t moves = 0;
  for (size_t cell = 0; cell < system->size(); ++cell)
    moves += system->cell(cell).scheduler().counters().moved_tasks;
  // Each of the four may move every 2 s, and every 0.5 s in its first 8 s.
  CHECK(moves <= 4 * (60 / 2 + 8 * 2));
}

TEST_CASE("steps wait for more workers in two cells that could help each other",
          "[sched][lost]") {
  // In each cell more work waits than is free, but no worker there may run a
  // second task of the step.
  const auto system = MakeCells(2, 4);
  WaitingWorkChecker checker(*system);
  system->load_arrives = [](size_t, size_t) { return false; };
  checker.Run(seconds(1));
  std::vector<std::string> jobs;
  for (size_t cell = 0; cell < 2; ++cell) {
    StepSpec wide = MakeLongRunningStep(26, 3);
    wide.max_per_worker = 1;
    jobs.push_back(SubmitTo(*system, cell, "urgent", {wide}));
  }
  checker.Run(milliseconds(300));
  checker.NoteFault();
  system->load_arrives = nullptr;
  checker.Run(seconds(12));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(jobs[0]) == 8);
  CHECK(system->CountRunning(jobs[1]) == 8);
}

TEST_CASE("a job that has started waits in a cell that lost its workers",
          "[sched][lost]") {
  const auto system = MakeCells(2, 4);
  WaitingWorkChecker checker(*system);
  std::vector<StepSpec> steps = {MakeStep(2, 2, 1000, 0.3),
                                 MakeStep(2, 2, 1000, 0.3)};
  steps[1].depends_on = {0};
  const std::string job = SubmitTo(*system, 0, "batch", steps);
  checker.Run(milliseconds(500));
  for (size_t i = 0; i < 4; ++i)
    system->cell(0).StopWorker(i);
  checker.NoteFault();
  checker.NoteEndOfLoad();
  checker.Run(seconds(30));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->StateOf(job) == JobState::kCompleted);
}

TEST_CASE("a long-running task waits for its lost worker at a change of owner",
          "[sched][lost]") {
  const auto system = MakeCells(1, 4);
  WaitingWorkChecker checker(*system);
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(4, 4)});
  checker.Run(seconds(2));
  system->cell(0).StopWorker(*system->cell(0).WorkerOf(Task(job, 0)));
  checker.NoteFault();
  SECTION("once") {
    checker.Run(seconds(5));
    system->cell(0).ReplaceOwner();
    checker.NoteFault();
    checker.Run(seconds(14));
    INFO(checker.Describe());
    CHECK(checker.found().empty());
  }
  SECTION("several times") {
    for (int i = 0; i < 3; ++i) {
      checker.Run(seconds(5));
      system->cell(0).ReplaceOwner();
      checker.NoteFault();
    }
    checker.Run(seconds(14));
    INFO(checker.Describe());
    CHECK(checker.found().empty());
  }
}

TEST_CASE("a job that comes back to a cell whose owner was replaced",
          "[sched][lost]") {
  // The only worker of cell 0 is drained, so that the job moves to cell 1, and
  // back when that of cell 1 is drained instead.
  const auto system = MakeCells(2, 1);
  WaitingWorkChecker checker(*system);
  SetDraining(*system, 0, 0, true);
  // Another job keeps the worker of cell 1 busy.
  SubmitTo(*system, 1, "urgent", {MakeStep(1, 16, 1000, 60)});
  checker.Run(seconds(1));
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(2, 4)});
  checker.Run(seconds(1));
  REQUIRE(system->cell(0).scheduler().StatusOf(JobId(job))->moved_to ==
          CellId(1));
  system->cell(0).ReplaceOwner();
  checker.Run(milliseconds(800));
  SetDraining(*system, 1, 0, true);
  SetDraining(*system, 0, 0, false);
  checker.Run(seconds(10));
  INFO(checker.Describe());
  CHECK(checker.found().empty());
  CHECK(system->CountRunning(job) == 2);
}

TEST_CASE("a long-running task that moves is lost at a change of owner",
          "[sched][lost]") {
  // All of cell 0 is lost; its tasks move to cell 1, after about 8.5 s, while
  // the owners change.
  for (const bool stored : {false, true}) {
    for (int offset_ms = 7600; offset_ms < 9000; offset_ms += 10) {
      const auto system = MakeCells(2, 4);
      WaitingWorkChecker checker(*system);
      const std::string job =
          SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(4, 4)});
      checker.Run(seconds(2));
      const size_t from = system->cell(0).CountRunning(job) > 0 ? 0 : 1;
      for (size_t i = 0; i < 4; ++i)
        system->cell(from).StopWorker(i);
      checker.NoteFault();
      checker.Run(milliseconds(offset_ms));
      for (size_t i = 0; i < 2; ++i)
        system->cell(i).RemoveOwner(stored);
      checker.Run(seconds(1));
      for (size_t i = 0; i < 2; ++i)
        system->cell(i).ReplaceOwner();
      checker.NoteFault();
      checker.Run(seconds(15));
      INFO("offset " << offset_ms << " stored " << stored << "\n"
                     << checker.Describe());
      CHECK(system->CountRunning(job) == 4);
    }
  }
}

TEST_CASE("a task that has moved alone runs also where its job moves",
          "[sched][lost]") {
  // Cells 0 and 2 are full, cell 1 has 8 free cores; work waits in all.
  const auto system = MakeCells(3, 1);
  system->load_arrives = [](size_t, size_t) { return false; };
  system->Run(seconds(1));
  SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(1, 16)});
  SubmitTo(*system, 1, "urgent", {MakeLongRunningStep(1, 8)});
  SubmitTo(*system, 2, "urgent", {MakeLongRunningStep(1, 16)});
  system->Run(seconds(3));
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(2, 8)});
  SubmitTo(*system, 1, "urgent", {MakeLongRunningStep(2, 12)});
  SubmitTo(*system, 2, "urgent", {MakeLongRunningStep(2, 12)});
  system->Run(milliseconds(1800));
  system->load_arrives = nullptr;
  for (int i = 0; i < 100 && system->cell(1).CountRunning(job) == 0; ++i)
    system->Run(milliseconds(10));
  REQUIRE(system->cell(1).CountRunning(job) == 1);
  // The owner of cell 1 tells the others nothing for a time, cell 2 grows, and
  // no worker of cell 0 may get tasks any more.
  system->load_arrives = [](size_t from, size_t) { return from != 1; };
  system->cell(2).worker(0).info.capacity.cpu = MilliCores(160000);
  system->cell(2).UpdateWorkerInfo(0);
  system->Run(milliseconds(600));
  SetDraining(*system, 0, 0, true);
  system->Run(seconds(8));
  CHECK(system->Violations().empty());
  CHECK(system->CountRunning(job) == 2);
}

TEST_CASE("a moved task of a later step is not queued after a change of owner",
          "[sched][lost]") {
  for (int owner_ms = 0; owner_ms < 3000; owner_ms += 500) {
    const auto system = MakeCells(2, 1);
    StepSpec second = MakeLongRunningStep(2, 8);
    second.depends_on = {0};
    const std::string job =
        SubmitTo(*system, 0, "urgent", {MakeStep(1, 1, 1000, 0.2), second});
    system->Run(seconds(4));
    REQUIRE(system->cell(0).CountRunning(job) == 2);
    // Cell 1 has too little capacity at first.
    SubmitTo(*system, 1, "urgent", {MakeLongRunningStep(1, 4)});
    system->Run(seconds(1));
    SetDraining(*system, 0, 0, true);
    system->cell(0).StopWorker(0);
    system->Run(milliseconds(8000 + owner_ms));
    system->cell(1).ReplaceOwner();
    system->Run(seconds(2));
    system->cell(1).worker(0).info.capacity.cpu = MilliCores(64000);
    system->cell(1).UpdateWorkerInfo(0);
    system->Run(seconds(14));
    INFO("owner " << owner_ms);
    CHECK(system->CountRunning(job) == 2);
  }
}

TEST_CASE("draining stops more long-running tasks than fit elsewhere",
          "[sched][lost]") {
  const auto system = MakeCells(1, 2);
  const std::string job =
      SubmitTo(*system, 0, "urgent", {MakeLongRunningStep(7, 4)});
  system->Run(seconds(4));
  REQUIRE(system->CountRunning(job) == 7);
  SetDraining(*system, 0, system->cell(0).WorkerOf(Task(job, 0)).value(), true);
  for (int i = 0; i < 60; ++i) {
    system->Run(milliseconds(50));
    // One of the tasks fits on the other worker.
    CHECK(system->CountRunning(job) >= 6);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
