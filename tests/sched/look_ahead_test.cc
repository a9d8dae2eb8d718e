// Replays a pool that small tasks keep full: their gaps never fit a large task,
// which waits although each worker's tasks end within a second or two.

#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "src/sched/run_estimates.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Run times of small tasks: 0.6 s to 1.4 s, so that their ends are spread out.
double SpreadRunTime(const TaskName& task) {
  return 0.6 + 0.1 * static_cast<double>(task.job.value().back() - '0');
}

// Four workers of 16 cores on one rack.
std::unique_ptr<SimulatedCell> MakeCell(bool look_ahead) {
  SchedulerOptions options;
  options.features.look_ahead = look_ahead;
  auto cell = std::make_unique<SimulatedCell>(options);
  cell->AddWorkers(4, 16, 64000);
  cell->SetQueue("all", MakePolicy(0, 2));
  cell->run_time_s_of = SpreadRunTime;
  cell->Run(milliseconds(100));
  return cell;
}

// Submits small tasks of 4 cores at a bit more than the pool's capacity of 16 a
// second.
struct SmallTasks {
  int submitted = 0;

  void Run(SimulatedCell& cell, Duration duration) {
    for (Duration t(0); t < duration; t += milliseconds(50)) {
      cell.Submit(MakeJob("small" + std::to_string(submitted++), "all",
                          {MakeStep(1, 4, 1000, 1)}));
      cell.Run(milliseconds(50));
    }
  }

  int CountDone(const SimulatedCell& cell) const {
    int done = 0;
    for (int i = 0; i < submitted; ++i) {
      done += cell.StateOf("small" + std::to_string(i)) == JobState::kCompleted
                  ? 1
                  : 0;
    }
    return done;
  }
};

// The worker of the first reservation in the decision log, or empty.
std::string ReservedWorker(SimulatedCell& cell) {
  for (const Decision& decision : cell.scheduler().TakeDecisions()) {
    if (decision.event == "reservation_made")
      return decision.detail.substr(0, decision.detail.find(' '));
  }
  return {};
}

TEST_CASE("a large task among small ones that keep a pool full", "[sched]") {
  const auto without = MakeCell(false);
  const auto with = MakeCell(true);
  SmallTasks small_without;
  SmallTasks small_with;
  small_without.Run(*without, seconds(3));
  small_with.Run(*with, seconds(3));

  SECTION("starts when the tasks of one worker have ended") {
    for (SimulatedCell* cell : {without.get(), with.get()})
      cell->Submit(MakeJob("large0", "all", {MakeStep(1, 14, 1000, 1)}));
    small_without.Run(*without, seconds(3));
    small_with.Run(*with, seconds(3));
    CHECK(without->StateOf("large0") == JobState::kQueued);
    CHECK(with->StateOf("large0") != JobState::kQueued);
    CHECK(with->scheduler().counters().reservations_made >= 1);
    CHECK(with->scheduler().counters().reservations_kept >= 1);

    SECTION("at the cost of few of the small ones") {
      // The large task itself takes the place of four of them for 0.6 s.
      small_without.Run(*without, seconds(5));
      small_with.Run(*with, seconds(5));
      CHECK(small_with.CountDone(*with) >=
            small_without.CountDone(*without) * 9 / 10);
    }
  }
  SECTION("lets those pass that end before it starts") {
    with->run_time_s_of = [](const TaskName& task) {
      return task.job.value().starts_with("brief") ? 0.05 : SpreadRunTime(task);
    };
    with->SetQueue("brief", MakePolicy(0, 2));
    with->Submit(MakeJob("large0", "all", {MakeStep(1, 14, 1000, 1)}));
    for (int i = 0; i < 20; ++i) {
      with->Submit(MakeJob("brief" + std::to_string(i), "brief",
                           {MakeStep(1, 4, 1000, 0.05)}));
      small_with.Run(*with, milliseconds(100));
    }
    CHECK(with->scheduler().counters().tasks_backfilled > 0);
    small_with.Run(*with, seconds(1));
    CHECK(with->StateOf("large0") != JobState::kQueued);
  }
  SECTION("gets no reservation where it would not be allowed to start") {
    for (size_t i = 0; i < 4; ++i) {
      with->worker(i).info.draining = true;
      with->UpdateWorkerInfo(i);
    }
    with->Run(milliseconds(100));
    with->Submit(MakeJob("large0", "all", {MakeStep(1, 14, 1000, 1)}));
    with->Run(seconds(2));
    CHECK(with->scheduler().counters().reservations_made == 0);
  }
  SECTION("gets another worker when the reserved one is to be emptied") {
    with->scheduler().TakeDecisions();
    with->Submit(MakeJob("large0", "all", {MakeStep(1, 14, 1000, 1)}));
    std::string reserved;
    // The small ones that were there before come first.
    for (int i = 0; i < 30 && reserved.empty(); ++i) {
      small_with.Run(*with, milliseconds(100));
      reserved = ReservedWorker(*with);
    }
    REQUIRE(!reserved.empty());
    for (size_t i = 0; i < with->worker_count(); ++i) {
      with->worker(i).info.draining =
          with->worker(i).info.id.value() == reserved;
      with->UpdateWorkerInfo(i);
    }
    small_with.Run(*with, seconds(3));
    CHECK(with->scheduler().counters().reservations_failed >= 1);
    CHECK(with->StateOf("large0") != JobState::kQueued);
  }
  SECTION("passes as a gang that needs most of a rack") {
    StepSpec gang = MakeStep(3, 12, 1000, 1);
    gang.gang = true;
    gang.same_rack = true;
    for (SimulatedCell* cell : {without.get(), with.get()})
      cell->Submit(MakeJob("gang0", "all", {gang}));
    small_without.Run(*without, seconds(4));
    small_with.Run(*with, seconds(4));
    CHECK(without->StateOf("gang0") == JobState::kQueued);
    CHECK(with->StateOf("gang0") != JobState::kQueued);
  }
  CHECK(with->observations().violations.empty());
  CHECK(without->observations().violations.empty());
}

// Tasks that were declared to take half a second run on and on in 13 of 16
// places, and a large one waits. Returns the small ones done in 10 s.
int CountDoneBesideStuckTasks(SimulatedCell& cell) {
  cell.run_time_s_of = [](const TaskName& task) {
    return task.job.value().starts_with("stuck") ? 60.0 : 0.5;
  };
  for (int i = 0; i < 13; ++i) {
    cell.Submit(MakeJob("stuck" + std::to_string(i), "all",
                        {MakeStep(1, 4, 1000, 0.5)}));
  }
  cell.Run(milliseconds(300));
  cell.Submit(MakeJob("large0", "all", {MakeStep(1, 15, 1000, 0.5)}));
  SmallTasks small;
  small.Run(cell, seconds(10));
  return small.CountDone(cell);
}

TEST_CASE("a reservation whose expectation fails", "[sched]") {
  const auto without = MakeCell(false);
  const auto with = MakeCell(true);
  const int done_without = CountDoneBesideStuckTasks(*without);
  const int done_with = CountDoneBesideStuckTasks(*with);

  SECTION("is dropped, and does not keep capacity from other work") {
    CHECK(with->scheduler().counters().reservations_failed >= 1);
    // A reservation may idle the worker until it fails, for less than the two
    // seconds that follow without one.
    CHECK(done_with * 2 >= done_without);
    CHECK(done_without > 0);
  }
  CHECK(with->observations().violations.empty());
  CHECK(without->observations().violations.empty());
}

TEST_CASE("run times that callers declare wrongly", "[sched]") {
  RunEstimates estimates;
  const QueueId queue("all");
  StepSpec step = MakeStep(1, 1, 100, 1);
  step.image = ImageId("a");

  SECTION("are believed before any run has ended") {
    CHECK(EstimateRunTime(estimates, queue, step).expected == seconds(1));
    CHECK(EstimateRunTime(estimates, queue, step).upper == seconds(2));
  }
  SECTION("are corrected by a constant factor") {
    for (int i = 1; i <= 8; ++i) {
      step.estimate = milliseconds(200 * i);
      ObserveRunTime(estimates, queue, step, milliseconds(600 * i));
    }
    step.estimate = seconds(2);
    const RunTime run_time = EstimateRunTime(estimates, queue, step);
    CHECK(run_time.expected > milliseconds(5900));
    CHECK(run_time.upper < milliseconds(6100));
  }
  SECTION("do not count where runs of an image take equally long") {
    for (int i = 1; i <= 8; ++i) {
      step.estimate = milliseconds(300 * i);
      ObserveRunTime(estimates, queue, step, milliseconds(700));
    }
    const RunTime run_time = EstimateRunTime(estimates, queue, step);
    CHECK(run_time.expected > milliseconds(690));
    CHECK(run_time.upper < milliseconds(710));
  }
  SECTION("of a new image follow its queue") {
    for (int i = 0; i < 8; ++i)
      ObserveRunTime(estimates, queue, step, milliseconds(400));
    step.image = ImageId("new");
    CHECK(EstimateRunTime(estimates, queue, step).expected < milliseconds(410));
    CHECK(EstimateRunTime(estimates, QueueId("other"), step).expected ==
          seconds(1));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
