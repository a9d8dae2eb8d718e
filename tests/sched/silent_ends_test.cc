// Guards against an owner that does not know of a worker that fell silent under
// the owner before it: a crash that it could prove is not counted, or a worker
// that was only partitioned counts as crashed.

#include <catch2/catch.hpp>

#include "src/core/cbor.h"
#include "tests/sched/crash_log.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLapse = seconds(8);

struct Scenario {
  SimulatedCell cell;
  CrashLog log;
  TaskName task{JobId("a"), 0, 0, 0};
  size_t worker = 0;
};

// The job's worker fell silent just after it had confirmed the start.
void Begin(Scenario& scenario, bool is_long_running) {
  SimulatedCell& cell = scenario.cell;
  cell.AddWorkers(6, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.run_time_s_of = [](const TaskName&) { return 100.0; };
  cell.Run(seconds(1));
  cell.Submit(MakeJob("a", "urgent",
                      {is_long_running ? MakeLongRunningStep(1, 2)
                                       : MakeStep(1, 2, 1000, 0.8)}));
  for (int i = 0; i < 200 && !cell.WorkerOf(scenario.task); ++i)
    cell.Advance();
  const auto worker = cell.WorkerOf(scenario.task);
  REQUIRE(worker);
  scenario.worker = *worker;
  cell.worker(*worker).reachable = false;
}

void ReplaceOwner(Scenario& scenario) {
  ReadDecisions(scenario.cell, scenario.log);
  scenario.cell.ReplaceOwner();
}

// Another instance answers.
void Restart(Scenario& scenario) {
  SimulatedWorker& worker = scenario.cell.worker(scenario.worker);
  scenario.cell.StopWorker(scenario.worker);
  scenario.cell.RestartWorker(scenario.worker);
  worker.reachable = true;
  worker.next_listing = scenario.cell.now();
  scenario.cell.Run(seconds(1));
}

// The same instance answers.
void Heal(Scenario& scenario) {
  SimulatedWorker& worker = scenario.cell.worker(scenario.worker);
  worker.reachable = true;
  worker.next_listing = scenario.cell.now();
  scenario.cell.Run(seconds(1));
}

void Check(Scenario& scenario, int proven) {
  ReadDecisions(scenario.cell, scenario.log);
  INFO(scenario.log.lines);
  CHECK(scenario.log.proven == proven);
  CHECK(scenario.log.unproven == 0);
  CHECK(scenario.cell.StateOf("a") == JobState::kActive);
}

TEST_CASE("a silent end is forgotten with the owner that noticed it",
          "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  INFO("long-running " << is_long_running);
  Scenario scenario;
  SimulatedCell& cell = scenario.cell;
  Begin(scenario, is_long_running);

  SECTION("which was replaced after the lease had expired") {
    cell.Run(kLapse);
    ReplaceOwner(scenario);
    cell.Run(seconds(1));
    Restart(scenario);
    Check(scenario, 1);
    SECTION("and is counted once, also by a third one") {
      ReplaceOwner(scenario);
      cell.Run(seconds(1));
      Restart(scenario);
      Check(scenario, 1);
    }
  }
  SECTION("which was replaced before the lease expired") {
    cell.Run(seconds(3));
    ReplaceOwner(scenario);
    cell.Run(seconds(9));
    Restart(scenario);
    Check(scenario, 1);
  }
  SECTION("which was replaced twice") {
    cell.Run(seconds(3));
    ReplaceOwner(scenario);
    cell.Run(seconds(9));
    ReplaceOwner(scenario);
    cell.Run(milliseconds(300));
    Restart(scenario);
    Check(scenario, 1);
  }
}

TEST_CASE(
    "a worker that was only partitioned counts as crashed for the next "
    "owner",
    "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  INFO("long-running " << is_long_running);
  Scenario scenario;
  SimulatedCell& cell = scenario.cell;
  Begin(scenario, is_long_running);

  SECTION("after its lease, as it answers the next owner and restarts then") {
    cell.Run(kLapse);
    ReplaceOwner(scenario);
    cell.Run(seconds(1));
    Heal(scenario);
    ReplaceOwner(scenario);
    cell.Run(seconds(1));
    Restart(scenario);
    Check(scenario, 0);
  }
  SECTION("after its lease, as it answers the owner and restarts then") {
    cell.Run(kLapse);
    Heal(scenario);
    ReplaceOwner(scenario);
    cell.Run(seconds(1));
    Restart(scenario);
    Check(scenario, 0);
  }
  SECTION("although it was heard again, and lapses later") {
    cell.Run(seconds(3));
    Heal(scenario);
    REQUIRE(cell.WorkerOf(scenario.task) == scenario.worker);
    cell.worker(scenario.worker).reachable = false;
    ReplaceOwner(scenario);
    cell.Run(seconds(9));
    Restart(scenario);
    ReadDecisions(cell, scenario.log);
    INFO(scenario.log.lines);
    CHECK(scenario.log.proven == 0);
    CHECK(cell.StateOf("a") == JobState::kActive);
  }
  SECTION("although it never returns") {
    cell.Run(kLapse);
    ReplaceOwner(scenario);
    cell.RemoveFromList(scenario.worker);
    cell.Run(seconds(30));
    Check(scenario, 0);
    CHECK(cell.CountRunning("a") >= 1);
  }
}

TEST_CASE("the record of a job that lost all its workers", "[sched]") {
  constexpr uint32_t task_count = 2000;
  size_t record_bytes = 0;
  SimulatedCell cell;
  cell.AddWorkers(140, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.Run(seconds(1));
  cell.Submit(MakeJob("a", "urgent", {MakeLongRunningStep(task_count, 1)}));
  for (int i = 0; i < 200 && cell.CountRunning("a") < task_count; ++i)
    cell.Advance();
  REQUIRE(cell.CountRunning("a") == task_count);
  for (size_t w = 0; w < cell.worker_count(); ++w)
    cell.worker(w).reachable = false;
  cell.Run(kLapse);
  cell.rewrite_stored_value = [&](const std::string& value) {
    const nlohmann::json stored = ParseCbor(value);
    if (stored.contains("q")) {
      record_bytes = value.size();
      CHECK(stored.at("q").size() <= 256);
    }
    return value;
  };
  cell.ReplaceOwner();
  CHECK(record_bytes > 0);
  CHECK(record_bytes < 262144);
}

}  // namespace
}  // namespace cowslipmast::sched
