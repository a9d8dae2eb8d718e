#include "tests/sched/ends_without_fault.h"

#include <catch2/catch.hpp>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TaskName kTask{JobId("service"), 0, 0, 0};

// A worker that does not tell the start time of its instance.
void HideStartTime(EndsScenario& scenario, size_t worker) {
  if (scenario.tells_start_time)
    return;
  scenario.cell.worker(worker).start_time_ms = 0;
  scenario.cell.worker(worker).info.start_time_ms = 0;
}

}  // namespace

const TaskName& TaskOfScenario() {
  return kTask;
}

std::string NameOf(const EndsScenario& scenario) {
  return std::string(scenario.is_long_running ? "long-running" : "short") +
         (scenario.tells_start_time ? "" : ", without start times");
}

EndsScenario MakeEndsScenario(int workers,
                              bool is_long_running,
                              bool tells_start_time) {
  EndsScenario scenario;
  scenario.is_long_running = is_long_running;
  scenario.tells_start_time = tells_start_time;
  SimulatedCell& cell = scenario.cell;
  cell.AddWorkers(workers, 16, 64000);
  for (size_t w = 0; w < cell.worker_count(); ++w) {
    HideStartTime(scenario, w);
    cell.UpdateWorkerInfo(w);
  }
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.run_time_s_of = [](const TaskName&) { return 100.0; };
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("service", "urgent",
                      {is_long_running ? MakeLongRunningStep(1, 2)
                                       : MakeStep(1, 2, 1000, 0.8)}));
  return scenario;
}

size_t WorkerOfTask(EndsScenario& scenario) {
  SimulatedCell& cell = scenario.cell;
  for (int i = 0; i < 3000 && !cell.WorkerOf(kTask); ++i)
    cell.Run(kTimeStep);
  ReadDecisions(cell, scenario.log);
  INFO(scenario.log.lines);
  REQUIRE(cell.StateOf("service") == JobState::kActive);
  const auto worker = cell.WorkerOf(kTask);
  REQUIRE(worker);
  cell.Run(milliseconds(50));
  return *worker;
}

void Restart(EndsScenario& scenario, size_t worker) {
  scenario.cell.StopWorker(worker);
  scenario.cell.worker(worker).info.draining = false;
  scenario.cell.RestartWorker(worker);
  HideStartTime(scenario, worker);
  scenario.cell.worker(worker).next_listing = scenario.cell.now();
}

void Connect(EndsScenario& scenario, size_t worker) {
  scenario.cell.worker(worker).reachable = true;
  scenario.cell.worker(worker).next_listing = scenario.cell.now();
}

void ReplaceOwner(EndsScenario& scenario) {
  ReadDecisions(scenario.cell, scenario.log);
  scenario.cell.ReplaceOwner();
}

void Repeat(EndsScenario& scenario, const std::function<void(size_t)>& end) {
  for (int i = 0; i < kEnds; ++i) {
    end(WorkerOfTask(scenario));
    scenario.cell.Run(seconds(1));
  }
}

void RepeatBeforeStart(EndsScenario& scenario,
                       const std::function<void(size_t)>& end) {
  int ends = 0;
  for (int i = 0; i < 6000 && ends < kEnds; ++i) {
    scenario.cell.Run(kTimeStep);
    ReadDecisions(scenario.cell, scenario.log);
    INFO(scenario.log.lines);
    REQUIRE(scenario.cell.StateOf("service") != JobState::kFailed);
    if (!scenario.log.has_plan)
      continue;
    ++ends;
    end(0);
  }
  // Without start times the next instance carries out the start.
  CHECK((ends == kEnds || !scenario.tells_start_time));
}

void CheckThatJobGoesOn(EndsScenario& scenario) {
  SimulatedCell& cell = scenario.cell;
  cell.Run(seconds(110));
  ReadDecisions(cell, scenario.log);
  INFO(scenario.log.lines);
  CHECK(scenario.log.proven == 0);
  if (scenario.is_long_running) {
    CHECK(cell.StateOf("service") == JobState::kActive);
    CHECK(cell.CountRunning("service") == 1);
  } else {
    CHECK(cell.StateOf("service") == JobState::kCompleted);
  }
  CHECK(cell.scheduler().counters().jobs_given_up == 0);
  CHECK(cell.observations().violations.empty());
}

}  // namespace cowslipmast::sched
