// Guards against accepted best-effort work that never gets a worker although
// most of the capacity is free: once every worker has latency-critical tasks,
// a task that interferes with all of them fits beside none at full pace.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxTimeWithoutRun = seconds(3);
constexpr double kMaxTimeOverTargetS = 4;

StepSpec MakeLatencyCriticalStep(uint32_t count, const char* image) {
  StepSpec step = MakeLongRunningStep(count, 3);
  step.image = ImageId(image);
  step.latency_target = milliseconds(18);
  return step;
}

StepSpec MakeBestEffortStep(uint32_t count, const char* image) {
  StepSpec step = MakeStep(count, 3, 2000, 2);
  step.best_effort = true;
  step.checkpointing = true;
  step.image = ImageId(image);
  return step;
}

// Twelve workers of 16 cores. Latency-critical tasks reserve 45% of the
// processors, or 19% more for each further job of twelve, use less than half of
// that, and leave no worker free.
class LoadedCell {
 public:
  explicit LoadedCell(int further_jobs = 0) {
    m_cell.AddWorkers(12, 16, 64000);
    m_cell.SetQueue("critical", MakePolicy(0, 2));
    m_cell.SetQueue("batch", MakePolicy(2, 3));
    m_cell.interference_of = [](const std::string& best_effort,
                                const std::string&) {
      return best_effort == "heavy" ? 3.0 : 0.1;
    };
    m_cell.own_utilisation_of = [](const TaskName& task, double t) {
      return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 14 + task.index * 1.3);
    };
    m_cell.Run(milliseconds(200));
    StepSpec spread = MakeLatencyCriticalStep(12, "seats");
    spread.max_per_worker = 1;
    m_cell.Submit(MakeJob("seats", "critical", {spread}));
    spread.image = ImageId("quotes");
    m_cell.Submit(MakeJob("quotes", "critical", {spread}));
    m_cell.Submit(
        MakeJob("more", "critical", {MakeLatencyCriticalStep(4, "seats")}));
    for (int i = 0; i < further_jobs; ++i)
      m_cell.Submit(MakeJob("further" + std::to_string(i), "critical",
                            {MakeLatencyCriticalStep(12, "quotes")}));
    m_cell.Run(seconds(2));
  }

  SimulatedCell& cell() { return m_cell; }

  void Submit(const char* image, uint32_t tasks) {
    const std::string id = image + std::to_string(m_submitted.size());
    m_submitted.push_back(id);
    m_submitted_at.emplace(id, m_cell.now());
    m_cell.Submit(MakeJob(id, "batch", {MakeBestEffortStep(tasks, image)}));
  }

  // A job a second, every second one heavy.
  void RunLoad(Duration duration) {
    const TimePoint end = m_cell.now() + duration;
    while (m_cell.now() < end) {
      Submit(m_submitted.size() % 2 == 0 ? "heavy" : "light", 4);
      Run(seconds(1));
    }
  }

  void Run(Duration duration) {
    const TimePoint end = m_cell.now() + duration;
    while (m_cell.now() < end) {
      m_cell.Run(milliseconds(50));
      for (const std::string& id : m_submitted)
        Observe(id);
    }
  }

  /** Jobs that had no run from the submission of another job of their kind
   * until the first run of that one. */
  const std::set<std::string>& overtaken() const { return m_overtaken; }

  // Forgets what was observed before.
  void StartObservation() {
    m_longest_without_run = Duration(0);
    m_overtaken.clear();
  }
  Duration longest_without_run() const { return m_longest_without_run; }

  size_t CountJobsWithRun() const { return m_has_run.size(); }
  size_t submitted() const { return m_submitted.size(); }

  size_t CountUnfinished() const {
    return static_cast<size_t>(std::count_if(
        m_submitted.begin(), m_submitted.end(), [this](const std::string& id) {
          return m_cell.StateOf(id) != JobState::kCompleted;
        }));
  }

 private:
  void Observe(const std::string& id) {
    TimePoint& since = m_last_run.try_emplace(id, m_cell.now()).first->second;
    if (m_cell.CountRunning(id) > 0 && m_has_run.insert(id).second)
      NoteFirstRun(id);
    if (m_cell.CountRunning(id) > 0 ||
        m_cell.StateOf(id) == JobState::kCompleted)
      since = m_cell.now();
    m_longest_without_run =
        std::max(m_longest_without_run, m_cell.now() - since);
  }

  // Of the jobs that were submitted before.
  void NoteFirstRun(const std::string& id) {
    for (const std::string& other : m_submitted) {
      if (other == id)
        return;
      if (other.front() == id.front() &&
          m_cell.StateOf(other) != JobState::kCompleted &&
          m_last_run.at(other) < m_submitted_at.at(id))
        m_overtaken.insert(other);
    }
  }

  SimulatedCell m_cell;
  std::vector<std::string> m_submitted;
  std::map<std::string, TimePoint> m_submitted_at;
  std::set<std::string> m_overtaken;
  std::map<std::string, TimePoint> m_last_run;
  std::set<std::string> m_has_run;
  Duration m_longest_without_run{0};
};

TEST_CASE(
    "best-effort work starves beside latency-critical tasks on every worker",
    "[sched][lost]") {
  LoadedCell loaded;
  // The scheduler learns how much the heavy image interferes.
  loaded.RunLoad(seconds(40));

  SECTION("after the load, with most of the capacity free") {
    loaded.Run(seconds(14));
    loaded.StartObservation();
    loaded.Run(seconds(30));
    CHECK(loaded.longest_without_run() < kMaxTimeWithoutRun);
    CHECK(loaded.CountUnfinished() == 0);
  }
  SECTION("when its worker drains") {
    loaded.Run(seconds(30));
    loaded.Submit("heavy", 1);
    loaded.Run(kMaxTimeWithoutRun);
    const auto worker = loaded.cell().WorkerOf({JobId("heavy40"), 0, 0, 0});
    REQUIRE(worker);
    loaded.cell().worker(*worker).info.draining = true;
    loaded.cell().UpdateWorkerInfo(*worker);
    loaded.Run(seconds(1));
    loaded.cell().StopWorker(*worker);
    loaded.cell().RemoveFromList(*worker);
    loaded.Run(seconds(30));
    CHECK(loaded.CountUnfinished() == 0);
  }
  SECTION("under the next owner") {
    loaded.cell().ReplaceOwner();
    loaded.Run(seconds(14));
    loaded.StartObservation();
    loaded.Run(seconds(30));
    CHECK(loaded.longest_without_run() < kMaxTimeWithoutRun);
    CHECK(loaded.CountUnfinished() == 0);
  }
  // Best-effort work may not keep a task over its target for this long.
  CHECK(loaded.cell().observations().longest_over_target_s <
        kMaxTimeOverTargetS);
  CHECK(loaded.cell().observations().violations.empty());
}

TEST_CASE("late best-effort work waits for as long as new work comes",
          "[sched][lost]") {
  // Heavy tasks find headroom nowhere, and one is started in 2 s.
  LoadedCell loaded(1);
  loaded.RunLoad(seconds(40));
  loaded.StartObservation();
  loaded.RunLoad(seconds(60));
  CHECK(loaded.overtaken().empty());
  CHECK(loaded.cell().observations().violations.empty());
}

TEST_CASE("a job has no run while others use all idle processors",
          "[sched][lost]") {
  LoadedCell loaded;
  // Each has work for all workers for a minute.
  for (int i = 0; i < 4; ++i)
    loaded.Submit("light", 900);
  loaded.Run(seconds(10));
  for (int i = 0; i < 12; ++i)
    loaded.Submit(i % 2 == 0 ? "light" : "heavy", 2);

  SECTION("of the same owner") {
    loaded.Run(seconds(5));
  }
  SECTION("of the owner before") {
    loaded.cell().ReplaceOwner();
    loaded.Run(seconds(14));
  }
  loaded.StartObservation();
  loaded.Run(seconds(10));
  CHECK(loaded.longest_without_run() < kMaxTimeWithoutRun);
  CHECK(loaded.cell().observations().longest_over_target_s <
        kMaxTimeOverTargetS);
  CHECK(loaded.cell().observations().violations.empty());
}

TEST_CASE("jobs that had a run go first again under each owner",
          "[sched][lost]") {
  LoadedCell loaded(1);
  loaded.RunLoad(seconds(60));
  const size_t had_run = loaded.CountJobsWithRun();
  REQUIRE(had_run < loaded.submitted());
  for (int i = 0; i < 2; ++i) {
    loaded.cell().ReplaceOwner();
    loaded.Run(seconds(14));
  }
  // Two starts at least under each owner.
  CHECK(loaded.CountJobsWithRun() >= had_run + 4);
}

// One worker, whose latency-critical tasks slow a best-effort one down.
SimulatedCell MakeCellWithSlowedRun() {
  SimulatedCell cell;
  cell.AddWorkers(1, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 2));
  cell.SetQueue("batch", MakePolicy(2, 3));
  cell.interference_of = [](const std::string&, const std::string&) {
    return 3.0;
  };
  cell.own_utilisation_of = [](const TaskName&, double) { return 0.6; };
  cell.run_time_s_of = [](const TaskName&) { return 20.0; };
  cell.Run(milliseconds(200));
  cell.Submit(
      MakeJob("seats", "critical", {MakeLatencyCriticalStep(2, "seats")}));
  cell.Run(milliseconds(500));
  StepSpec step = MakeBestEffortStep(1, "heavy");
  step.checkpointing = false;
  cell.Submit(MakeJob("heavy", "batch", {step}));
  cell.Run(seconds(5));
  return cell;
}

TEST_CASE("a slowed run stays slow beside no other task", "[sched]") {
  SimulatedCell cell = MakeCellWithSlowedRun();
  const TaskName task{JobId("heavy"), 0, 0, 0};
  REQUIRE(cell.WorkerOf(task));
  REQUIRE(cell.worker(0).running.at(task).pace_percent < 50);

  SECTION("since the next owner takes it for one at full pace") {
    cell.RemoveOwner(true);
    cell.Cancel("seats");
    for (uint32_t index = 0; index < 2; ++index)
      cell.EndRunOf({JobId("seats"), 0, 0, index}, RunOutcome::kFailed);
    cell.Run(milliseconds(500));
    cell.ReplaceOwner();
  }
  SECTION("since the command that ended it was lost") {
    cell.Cancel("seats");
    cell.loses_paces = true;
    cell.Run(seconds(2));
    cell.loses_paces = false;
  }
  cell.RunUntilEnd("heavy", seconds(23));
  CHECK(cell.StateOf("heavy") == JobState::kCompleted);
  CHECK(cell.observations().starts.at(task) == 1);
}

TEST_CASE("a paused run never goes on beside tasks that use all processors",
          "[sched]") {
  SimulatedCell cell;
  cell.AddWorkers(1, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 2));
  cell.SetQueue("batch", MakePolicy(2, 3));
  cell.interference_of = [](const std::string& best_effort,
                            const std::string&) {
    return best_effort == "heavy" ? 3.0 : 0.0;
  };
  double own_utilisation = 0.45;
  cell.own_utilisation_of = [&](const TaskName&, double) {
    return own_utilisation;
  };
  cell.run_time_s_of = [](const TaskName& task) {
    return task.job.value() == "light" ? 60.0 : 5.0;
  };
  cell.Run(milliseconds(200));
  cell.Submit(
      MakeJob("seats", "critical", {MakeLatencyCriticalStep(1, "seats")}));
  cell.Run(seconds(3));
  cell.Submit(MakeJob("light", "batch", {MakeBestEffortStep(100, "light")}));
  cell.Run(seconds(2));
  cell.Submit(MakeJob("heavy", "batch", {MakeBestEffortStep(1, "heavy")}));
  cell.Run(seconds(4));
  const TaskName task{JobId("heavy"), 0, 0, 0};
  REQUIRE(cell.WorkerOf(task));

  own_utilisation = 0.75;
  cell.Run(seconds(10));
  REQUIRE(cell.worker(0).running.at(task).pace_percent == 0);
  own_utilisation = 0.45;
  cell.Run(seconds(20));
  const auto run = cell.worker(0).running.find(task);
  CHECK((run == cell.worker(0).running.end() || run->second.pace_percent > 0));
}

TEST_CASE("a run that goes on after a pause is taken for a stalled one",
          "[sched]") {
  SimulatedCell cell = MakeCellWithSlowedRun();
  const TaskName task{JobId("heavy"), 0, 0, 0};
  cell.own_utilisation_of = [](const TaskName&, double) { return 0.8; };
  cell.Run(seconds(6));
  REQUIRE(cell.WorkerOf(task));
  REQUIRE(cell.worker(0).running.at(task).pace_percent == 0);
  cell.Cancel("seats");
  // Each task that ends brings a listing, also just after the pace command.
  cell.run_time_s_of = [](const TaskName&) { return 0.03; };
  cell.Submit(MakeJob("short", "critical", {MakeStep(200, 2, 1000, 0.03)}));
  cell.RunUntilEnd("heavy", seconds(30));
  CHECK(cell.StateOf("heavy") == JobState::kCompleted);
  CHECK(cell.observations().starts.at(task) == 1);
}

}  // namespace
}  // namespace cowslipmast::sched
