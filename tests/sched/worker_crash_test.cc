// Guards against a task that crashes one worker after the other, and against
// jobs that fail only because the workers under them ended.

#include <catch2/catch.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "tests/sched/crash_log.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulatedCell MakeCell(int workers) {
  SimulatedCell cell;
  cell.AddWorkers(workers, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.SetQueue("batch", MakePolicy(2, 4));
  cell.crashes_worker = [](const TaskName& task) {
    return task.job.value().starts_with("deadly");
  };
  cell.Run(milliseconds(100));
  return cell;
}

int MaxCrashes(const SimulatedCell& cell) {
  int crashes = 0;
  for (const auto& [task, count] : cell.observations().crashes)
    crashes = std::max(crashes, count);
  return crashes;
}

TEST_CASE("a task that crashes each worker that starts it", "[sched]") {
  SimulatedCell cell = MakeCell(12);
  const TaskName deadly{JobId("deadly"), 0, 0, 0};

  SECTION("is given up after at most three workers, and its job fails") {
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 0.8)}));
    cell.Run(seconds(60));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(cell.observations().crashes.at(deadly) <= 3);
    CHECK(cell.observations().crashes.at(deadly) >= 2);
    CHECK(cell.scheduler().counters().jobs_given_up == 1);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("is given up although each owner sees only one crash") {
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 0.8)}));
    for (int i = 0; i < 14; ++i) {
      const int crashes = MaxCrashes(cell);
      for (int k = 0; k < 1500 && MaxCrashes(cell) == crashes; ++k)
        cell.Run(milliseconds(10));
      cell.ReplaceOwner();
    }
    cell.Run(seconds(20));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
  }
  SECTION("is given up although its workers stay down beyond their leases") {
    cell.restart_delay = seconds(12);
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 0.8)}));
    cell.Run(seconds(120));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
  }
  SECTION(
      "is given up although its workers are off the list until they return") {
    cell.restart_delay = seconds(12);
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 0.8)}));
    for (int i = 0; i < 100; ++i) {
      cell.Run(seconds(1));
      for (size_t w = 0; w < cell.worker_count(); ++w) {
        if (!cell.worker(w).up)
          cell.RemoveFromList(w);
      }
    }
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
  }
  SECTION("is given up although it crashes them late") {
    cell.crash_delay = seconds(3);
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 6)}));
    cell.Run(seconds(120));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
  }
  SECTION("does not make the jobs beside it fail") {
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(4, 2, 1000, 0.8)}));
    for (int i = 0; i < 60; ++i) {
      cell.Submit(MakeJob("j" + std::to_string(i), "urgent",
                          {MakeStep(4, 2, 1000, 0.8)}));
      if (i % 10 == 5)
        cell.Submit(MakeJob("deadly" + std::to_string(i), "urgent",
                            {MakeStep(3, 2, 1000, 0.8)}));
      cell.Run(milliseconds(300));
    }
    cell.Run(seconds(30));
    for (int i = 0; i < 60; ++i)
      CHECK(cell.StateOf("j" + std::to_string(i)) == JobState::kCompleted);
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(cell.StateOf("deadly55") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("is not shown as failed before that is stored") {
    cell.Submit(MakeJob("deadly", "urgent", {MakeStep(1, 2, 1000, 0.8)}));
    while (cell.scheduler().counters().jobs_given_up == 0 &&
           MaxCrashes(cell) <= kMaxCrashesOfTask) {
      // Guards against a failure that callers are told and that is then lost
      // with the owner.
      REQUIRE(cell.StateOf("deadly") != JobState::kFailed);
      cell.Run(milliseconds(10));
      cell.append_latency = MaxCrashes(cell) >= 2 ? seconds(3) : seconds(0);
    }
    cell.Run(seconds(1));
    CHECK(cell.StateOf("deadly") == JobState::kActive);
    cell.Run(seconds(8));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
  }
  SECTION("that runs until it is cancelled is given up as well") {
    cell.Submit(MakeJob("deadly", "urgent", {MakeLongRunningStep(1, 2)}));
    cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(20, 2)}));
    cell.Run(seconds(120));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
    CHECK(cell.CountRunning("service") == 20);
  }
  SECTION("is given up with its gang") {
    cell.crashes_worker = [](const TaskName& task) {
      return task.job == JobId("deadly") && task.index == 1;
    };
    StepSpec gang = MakeStep(4, 10, 1000, 1);
    gang.gang = true;
    cell.Submit(MakeJob("deadly", "urgent", {gang}));
    cell.Run(seconds(40));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(MaxCrashes(cell) <= kMaxCrashesOfTask);
    CHECK(cell.CountRunning("deadly") == 0);
  }
}

TEST_CASE("workers that end without a task's fault", "[sched]") {
  SimulatedCell cell = MakeCell(16);
  const auto submit_batch = [&cell](int number, double run_time) {
    cell.Submit(MakeJob("b" + std::to_string(number), "batch",
                        {MakeStep(6, 2, 1000, run_time)}));
  };
  const auto count_failed = [&cell](int jobs) {
    int failed = 0;
    for (int i = 0; i < jobs; ++i)
      failed += cell.StateOf("b" + std::to_string(i)) == JobState::kFailed;
    return failed;
  };

  SECTION("many at once, three times: no job fails") {
    for (int i = 0; i < 12; ++i)
      submit_batch(i, 8);
    for (int i = 0; i < 3; ++i) {
      cell.Run(seconds(5));
      for (size_t w = 0; w < 10; ++w)
        cell.CrashWorker((static_cast<size_t>(i) * 3 + w) % 16);
    }
    cell.Run(seconds(60));
    CHECK(count_failed(12) == 0);
    CHECK(cell.StateOf("b11") == JobState::kCompleted);
  }
  SECTION("by turns: no job fails") {
    for (int i = 0; i < 60; ++i) {
      if (i % 3 == 0)
        submit_batch(i / 3, 5);
      cell.CrashWorker(static_cast<size_t>(i) % 16);
      cell.Run(milliseconds(500));
    }
    cell.Run(seconds(60));
    CHECK(count_failed(20) == 0);
    CHECK(cell.StateOf("b19") == JobState::kCompleted);
  }
  SECTION("by turns: long-running tasks are restarted each time") {
    cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(30, 4)}));
    for (int i = 0; i < 100; ++i) {
      cell.CrashWorker(static_cast<size_t>(i) % 16);
      cell.Run(milliseconds(500));
    }
    cell.Run(seconds(10));
    CHECK(cell.StateOf("service") == JobState::kActive);
    CHECK(cell.CountRunning("service") == 30);
  }
  SECTION("but are partitioned beyond their leases: no job fails") {
    submit_batch(0, 40);
    for (int i = 0; i < 8; ++i) {
      cell.Run(seconds(2));
      const auto worker = cell.WorkerOf({JobId("b0"), 0, 0, 0});
      REQUIRE(worker);
      cell.worker(*worker).reachable = false;
      cell.Run(seconds(9));
      cell.worker(*worker).reachable = true;
    }
    cell.Run(seconds(60));
    CHECK(cell.StateOf("b0") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("just before a start reaches them: no job fails") {
    SimulatedCell small = MakeCell(1);
    small.Submit(MakeJob("a", "batch", {MakeStep(1, 2, 1000, 1)}));
    for (int crashes = 0; crashes < 4;) {
      small.Run(kTimeStep);
      for (const Decision& decision : small.scheduler().TakeDecisions()) {
        if (decision.event != "run_planned")
          continue;
        small.CrashWorker(0);
        ++crashes;
      }
      REQUIRE(small.StateOf("a") != JobState::kFailed);
    }
    small.Run(seconds(20));
    CHECK(small.StateOf("a") == JobState::kCompleted);
  }
  SECTION("but the starts do not reach them: no job fails") {
    submit_batch(0, 2);
    for (int i = 0; i < 8; ++i) {
      for (size_t w = 0; w < 16; ++w)
        cell.RestartWorker(w);
      cell.ReplaceOwner();
    }
    cell.Run(seconds(30));
    CHECK(cell.StateOf("b0") == JobState::kCompleted);
  }
}

TEST_CASE("a deadly task whose cell moved it", "[sched]") {
  SimulatedCells system(2, 8, 16);
  system.SetQueue("urgent", MakePolicy(0, 4));
  system.Run(milliseconds(200));
  const std::string id = system.MakeIdFor(0, "deadly");
  for (size_t i = 0; i < system.size(); ++i) {
    system.cell(i).crashes_worker = [&id](const TaskName& task) {
      return task.job == JobId(id) && task.index == 0;
    };
  }
  system.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(3, 4)}));
  system.Run(seconds(1));

  SECTION("is given up in both cells") {
    // Cell 0 has no worker for it any more, so it moves to cell 1.
    const size_t first = system.cell(0).CountRunning(id) > 0 ? 0 : 1;
    for (size_t w = 0; w < 8; ++w) {
      if (system.cell(first).worker(w).running.empty())
        system.cell(first).RemoveFromList(w);
    }
    system.Run(seconds(90));
    CHECK(system.StateOf(id) == JobState::kFailed);
    CHECK(system.CountRunning(id) == 0);
    const TaskName task{JobId(id), 0, 0, 0};
    int crashes = 0;
    for (size_t i = 0; i < system.size(); ++i) {
      const auto& counts = system.cell(i).observations().crashes;
      crashes += counts.count(task) > 0 ? counts.at(task) : 0;
    }
    CHECK(crashes <= kMaxCrashesOfTask);
  }
}

// Shortens the arrays of the tasks to their fields before crashes were stored.
void RemoveCrashes(nlohmann::json& tasks, size_t fields) {
  for (nlohmann::json& task : tasks) {
    while (task.is_array() && task.size() > fields)
      task.erase(task.size() - 1);
  }
}

TEST_CASE("progress stored by a version that counts no crashes", "[sched]") {
  SimulatedCell cell = MakeCell(4);
  cell.rewrite_stored_value = [](const std::string& value) {
    auto record = nlohmann::json::from_cbor(value, true, false);
    if (!record.is_object() || !record.contains("t"))
      return value;
    for (nlohmann::json& step : record["t"])
      RemoveCrashes(step, 5);
    return AsBytes(record);
  };
  cell.Submit(MakeJob("a", "batch", {MakeStep(4, 2, 1000, 3)}));
  cell.Submit(MakeJob("deadly", "batch", {MakeStep(1, 2, 1000, 3)}));
  cell.Run(seconds(1));
  cell.ReplaceOwner();

  SECTION("is restored") {
    cell.Run(seconds(30));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(cell.observations().violations.empty());
  }
}

TEST_CASE("records of moved tasks", "[sched]") {
  JobTransfer transfer;
  transfer.job = MakeJob("a", "urgent", {MakeLongRunningStep(2, 1)});
  transfer.from = CellId(3);
  transfer.hop = 1;
  MovedTask& task = transfer.tasks.emplace_back();
  task.index = 1;
  task.run = RunNumber(7);
  task.crashes = {2, 1};

  SECTION("keep the crashes") {
    CHECK(DecodeTransfer(EncodeTransfer(transfer)) == transfer);
  }
  SECTION("are read without them") {
    auto record = nlohmann::json::from_cbor(EncodeTransfer(transfer));
    RemoveCrashes(record["t"], 5);
    transfer.tasks[0].crashes = {};
    CHECK(DecodeTransfer(AsBytes(record)) == transfer);
  }
}

TEST_CASE("two tasks under which as many workers have crashed", "[sched]") {
  // Neither stands out, and an earlier owner has not seen two of their starts
  // confirmed.
  const TimePoint now{seconds(100)};
  const WallTime wall{seconds(100)};
  auto scheduler = Scheduler::Make(SchedulerOptions(), now);
  Policy policy;
  policy.queues[QueueId("urgent")] = MakePolicy(0, 4);
  scheduler->SetPolicy(policy, now);
  scheduler->AddJob(MakeJob("deadly", "urgent", {MakeStep(2, 2, 1000, 0.8)}),
                    now, wall);
  // Placed, run 4, no failure; ends and blamed ones before this run; start time
  // of the worker's instance; proven ends; the start is not confirmed.
  const nlohmann::json task = {1, 4, 0, "", "w0", 3, 1, 1, 1, false};
  const std::vector<uint8_t> bytes =
      nlohmann::json::to_cbor({{"s", 1}, {"t", {{task, task}}}});
  REQUIRE(scheduler->RestoreProgress(
      {"deadly.0", std::string(bytes.begin(), bytes.end())}));
  scheduler->FinishRestore(now);
  WorkerInfo info;
  info.id = WorkerId("w0");
  info.service = ServiceId("pool");
  info.capacity = MakeStep(1, 16, 64000, 0).need;
  const auto restart = [&](int64_t start_time_ms) {
    info.start_time_ms = start_time_ms;
    scheduler->UpsertWorker(info, now);
    scheduler->OnListing(info.id,
                         {.clock = WorkerClock(5),
                          .start_time_ms = start_time_ms,
                          .running = {},
                          .ended = {}},
                         now, now);
    const Plan plan = scheduler->MakePlan(now, wall);
    scheduler->OnStored(now);
    for (const StartRunCommand& start : plan.starts)
      scheduler->OnStarted(start, now);
    return plan.starts.size();
  };

  SECTION("are given up before a sixth start") {
    // The fourth crash, and the fifth.
    restart(2);
    CHECK(restart(3) == 0);
    CHECK(scheduler->StateOf(JobId("deadly")) == JobState::kFailed);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
