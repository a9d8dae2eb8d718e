// Checks that the checker of the random hunts notices what it is made for:
// otherwise they pass on any code.

#include <catch2/catch.hpp>

#include "tests/sched/waiting_work_checker.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec MakeBestEffortStep(int64_t cores, int64_t memory_mb) {
  StepSpec step = MakeStep(3, cores, memory_mb, 2);
  step.best_effort = true;
  step.image = ImageId("batch");
  return step;
}

TEST_CASE("a best-effort job that gets no worker is not noticed", "[sched]") {
  SimulatedCells system(1, 4, 16);
  system.SetQueue("batch", MakePolicy(2, 3));
  WaitingWorkChecker checker(system);
  checker.Run(seconds(1));
  // No worker has as many cores, so the scheduler never starts the second step.
  StepSpec waiting = MakeBestEffortStep(64, 1000);
  waiting.depends_on = {0};

  SECTION("although only its memory counts against the capacity") {
    system.Submit(
        MakeJob("waits", "batch", {MakeBestEffortStep(2, 1000), waiting}));
    checker.Run(seconds(5));
    checker.NoteEndOfLoad();
    checker.Run(seconds(16));
    CHECK(checker.found().empty());
    checker.Run(seconds(2));
    REQUIRE(checker.found().size() == 1);
    CHECK(checker.found()[0].task == TaskName{JobId("waits"), 0, 1, 0});
    CHECK(checker.found()[0].tasks == 3);
  }
  SECTION("in a later iteration") {
    JobDefinition job =
        MakeJob("waits", "batch", {MakeBestEffortStep(2, 1000), waiting});
    job.iterations = 2;
    job.interval = seconds(4);
    job.first_due = WallTime(system.now().time_since_epoch());
    system.Submit(job);
    checker.NoteEndOfLoad();
    checker.Run(seconds(20));
    REQUIRE(checker.found().size() == 2);
    CHECK(checker.found()[1].task == TaskName{JobId("waits"), 1, 1, 0});
  }
  SECTION("while one without memory for it is taken for waiting") {
    waiting.need.memory = Mebibytes(200000);
    StepSpec large = MakeLongRunningStep(4, 1);
    large.need.memory = Mebibytes(100000);
    large.max_per_worker = 1;
    system.Submit(MakeJob("large", "batch", {large}));
    system.Submit(
        MakeJob("waits", "batch", {MakeBestEffortStep(2, 1000), waiting}));
    checker.NoteEndOfLoad();
    checker.Run(seconds(20));
    CHECK(checker.found().empty());
  }
}

TEST_CASE("a task that best-effort work keeps over its target is not noticed",
          "[sched]") {
  SimulatedCells system(1, 1, 16);
  system.SetQueue("batch", MakePolicy(2, 3));
  double interference = 0;
  system.cell(0).interference_of = [&](const std::string&, const std::string&) {
    return interference;
  };
  system.cell(0).own_utilisation_of = [](const TaskName&, double) {
    return 0.4;
  };
  WaitingWorkChecker checker(system);
  StepSpec critical = MakeLongRunningStep(1, 2);
  critical.image = ImageId("serving");
  critical.latency_target = milliseconds(18);
  system.Submit(MakeJob("critical", "batch", {critical}));
  StepSpec disturbing = MakeBestEffortStep(4, 1000);
  disturbing.estimate = seconds(60);
  system.Submit(MakeJob("disturbing", "batch", {disturbing}));
  checker.Run(seconds(2));
  // Nobody changes the paces any more.
  system.cell(0).RemoveOwner(false);
  interference = 1;
  checker.Run(milliseconds(3900));
  CHECK(checker.found().empty());
  checker.Run(milliseconds(300));
  REQUIRE(checker.found().size() == 1);
  CHECK(checker.found()[0].rule == "over its target");
  CHECK(checker.found()[0].task == TaskName{JobId("critical"), 0, 0, 0});
}

TEST_CASE("what waits at the end of a day beside room", "[sched]") {
  SimulatedCells system(2, 2, 16);
  system.SetQueue("batch", MakePolicy(2, 3));
  WaitingWorkChecker checker(system);
  const std::string id = system.MakeIdFor(0, "l");
  system.Submit(MakeJob(id, "batch", {MakeLongRunningStep(1, 2)}));
  checker.Run(seconds(5));
  REQUIRE(system.CountRunning(id) == 1);
  checker.NoteEndOfLoad();
  // Without an owner of its cell nothing starts it again.
  system.cell(0).RemoveOwner(true);
  system.cell(0).StopWorker(*system.cell(0).WorkerOf({JobId(id), 0, 0, 0}));

  SECTION("is found with the workers that have room") {
    for (int i = 0; i < 15; ++i) {
      checker.Run(seconds(1));
      checker.NoteFault();
    }
    CHECK(checker.found().empty());
    checker.CheckEnd();
    REQUIRE(checker.found().size() == 1);
    CHECK(checker.found()[0].task == TaskName{JobId(id), 0, 0, 0});
    CHECK(checker.found()[0].rule.find(" w8000") != std::string::npos);
  }
  SECTION("is not taken for forgotten after a short time") {
    checker.Run(seconds(6));
    checker.CheckEnd();
    CHECK(checker.found().empty());
  }
  SECTION("is not found if no worker has room") {
    for (size_t i = 0; i < system.size(); ++i) {
      for (size_t k = 0; k < 2; ++k)
        system.cell(i).worker(k).reachable = false;
    }
    checker.Run(seconds(15));
    checker.CheckEnd();
    CHECK(checker.found().empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
