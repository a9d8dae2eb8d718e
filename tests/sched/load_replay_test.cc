// Replays loads that the decisions of src/sched have to cope with.

#include <catch2/catch.hpp>

#include <cmath>
#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueuePolicy MakePolicy(uint32_t priority,
                       double critical_path_factor,
                       Duration target) {
  QueuePolicy policy;
  policy.service = ServiceId("pool");
  policy.priority = priority;
  policy.max_attempts = 4;
  policy.critical_path_factor = critical_path_factor;
  policy.objective_offset = target;
  return policy;
}

StepSpec MakeLatencyCriticalStep(uint32_t count,
                                 int64_t cores,
                                 const char* image) {
  StepSpec step = MakeStep(count, cores, 8000, 0);
  step.long_running = true;
  step.image = ImageId(image);
  step.latency_target = milliseconds(18);
  return step;
}

StepSpec MakeBestEffortStep(uint32_t count, int64_t cores, const char* image) {
  StepSpec step = MakeStep(count, cores, 4000, 2);
  step.best_effort = true;
  step.image = ImageId(image);
  return step;
}

// Twelve workers, 80% reserved by long-running latency-critical tasks of two
// images, whose own utilisation changes in waves. One best-effort image
// interferes strongly with one of the images. The length of a job id sets the
// phase of the waves.
SimulatedCell MakeCellWithSensitiveTasks() {
  SimulatedCell cell;
  cell.AddWorkers(12, 64, 256000);
  cell.SetQueue("critical", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("best-effort", MakePolicy(2, 2, seconds(1)));
  cell.interference_of = [](const std::string& best_effort,
                            const std::string& latency_critical) {
    return best_effort == "disturbing" && latency_critical == "sensitive" ? 3.0
                                                                          : 0.1;
  };
  cell.own_utilisation_of = [](const TaskName& task, double t) {
    const double phase = static_cast<double>(task.index) * 1.3 +
                         static_cast<double>(task.job.value().size());
    return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 10 + phase);
  };
  cell.Run(milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    cell.Submit(MakeJob("prone-" + std::to_string(i), "critical",
                        {MakeLatencyCriticalStep(6, 12, "sensitive")}));
    cell.Submit(MakeJob("solid" + std::to_string(i), "critical",
                        {MakeLatencyCriticalStep(6, 12, "unaffected")}));
  }
  cell.Run(seconds(1));
  return cell;
}

TEST_CASE("best-effort tasks that interfere with latency-critical tasks",
          "[sched]") {
  SimulatedCell cell = MakeCellWithSensitiveTasks();

  SECTION("are slowed down only as far as the latency targets require") {
    int submitted = 0;
    for (int i = 0; i < 120; ++i) {
      if (i % 2 == 0) {
        cell.Submit(MakeJob("f" + std::to_string(submitted++), "best-effort",
                            {MakeBestEffortStep(4, 7, "disturbing")}));
      } else {
        cell.Submit(MakeJob("f" + std::to_string(submitted++), "best-effort",
                            {MakeBestEffortStep(4, 7, "harmless")}));
      }
      cell.Run(milliseconds(250));
    }
    cell.Run(seconds(10));
    // Best-effort tasks may not put a task over its target for 4 s.
    CHECK(cell.observations().longest_over_target_s < 4.0);
    // A twentieth of the time of 24 tasks of each image that run for 40 s.
    CHECK(cell.observations().total_over_target_s < 48 * 40.0 / 20);
    int jobs_in_time = 0;
    for (int i = 0; i < submitted; ++i) {
      jobs_in_time +=
          cell.StateOf("f" + std::to_string(i)) == JobState::kCompleted ? 1 : 0;
    }
    // Guards against one common pace per worker, which also slows down the
    // best-effort image that does not interfere.
    CHECK(jobs_in_time >= submitted * 9 / 10);
  }
  SECTION("are known to the next owner") {
    // Guards against a new owner that has to learn the interference again,
    // which puts latency-critical tasks over their targets after each change of
    // owner.
    const auto submit = [&cell](int i) {
      cell.Submit(MakeJob("f" + std::to_string(i), "best-effort",
                          {MakeBestEffortStep(6, 9, "disturbing")}));
      cell.Run(milliseconds(250));
    };
    for (int i = 0; i < 60; ++i)
      submit(i);
    const double before = cell.observations().total_over_target_s;
    cell.ReplaceOwner();
    for (int i = 60; i < 80; ++i)
      submit(i);
    INFO("before " << before);
    CHECK(cell.observations().total_over_target_s - before < 1.0);
  }
}

TEST_CASE("best-effort tasks that interfere with every latency-critical image",
          "[sched]") {
  // Guards against latency-critical tasks spread over all workers: best-effort
  // tasks then have no worker where they interfere with none (in run quiet-1 of
  // rangamanch half of the batch jobs missed their objective).
  SimulatedCell cell;
  cell.AddWorkers(10, 64, 256000);
  cell.SetQueue("critical", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("best-effort", MakePolicy(2, 2, seconds(1)));
  cell.interference_of = [](const std::string&, const std::string&) {
    return 3.0;
  };
  cell.own_utilisation_of = [](const TaskName& task, double t) {
    return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 10 + task.index * 1.3);
  };
  cell.Run(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    cell.Submit(
        MakeJob("service" + std::to_string(i), "critical",
                {MakeLatencyCriticalStep(5, 12, i % 2 == 0 ? "a" : "b")}));
    cell.Run(milliseconds(100));
  }

  SECTION("run at full pace on workers without latency-critical tasks") {
    // 30 latency-critical tasks take six or seven of ten workers. The
    // best-effort tasks need 112 of the 192 cores that three workers have.
    for (int i = 0; i < 40; ++i) {
      cell.Submit(MakeJob("f" + std::to_string(i), "best-effort",
                          {MakeBestEffortStep(4, 7, "disturbing")}));
      cell.Run(milliseconds(500));
    }
    cell.Run(seconds(3));
    int jobs_in_time = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "f" + std::to_string(i);
      jobs_in_time += cell.StateOf(id) == JobState::kCompleted ? 1 : 0;
    }
    CHECK(jobs_in_time == 40);
    CHECK(cell.observations().total_over_target_s < 1.0);
  }
}

TEST_CASE("a burst of more work than capacity", "[sched]") {
  SimulatedCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 1.5, milliseconds(400)));
  cell.SetQueue("batch", MakePolicy(2, 2, seconds(1)));
  cell.Run(milliseconds(100));

  SECTION("does not make urgent jobs wait behind batch jobs") {
    for (int i = 0; i < 30; ++i)
      cell.Submit(
          MakeJob("b" + std::to_string(i), "batch", {MakeStep(8, 4, 1000, 2)}));
    cell.Run(seconds(1));
    cell.Submit(MakeJob("q", "urgent", {MakeStep(4, 2, 1000, 0.5)}));
    cell.RunUntilEnd("q", seconds(10));
    REQUIRE(cell.EndTimeOf("q"));
    CHECK(cell.StateOf("q") == JobState::kCompleted);
  }
  SECTION("makes some jobs late instead of all of them") {
    // Three times the capacity for 6 s; the objective is 5 s.
    int jobs = 0;
    std::map<std::string, TimePoint> submitted;
    for (int i = 0; i < 24; ++i) {
      const std::string id = "b" + std::to_string(jobs++);
      submitted[id] = cell.now();
      cell.Submit(MakeJob(id, "batch", {MakeStep(12, 4, 1000, 2)}));
      cell.Run(milliseconds(250));
    }
    cell.Run(seconds(60));
    int jobs_in_time = 0;
    for (const auto& [id, at] : submitted) {
      REQUIRE(cell.StateOf(id) == JobState::kCompleted);
      jobs_in_time += *cell.EndTimeOf(id) - at <= seconds(5) ? 1 : 0;
    }
    // 16 tasks run at once, each for 2 s: a job takes 1.5 s of the capacity, so
    // at most 7 end within the 11 s until the last objective. The test requires
    // half of that; in order of arrival only the first two jobs are in time.
    CHECK(jobs_in_time * 2 >= 7);
  }
}

TEST_CASE("long-running tasks when capacity is short", "[sched]") {
  SimulatedCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("tight-objective", MakePolicy(0, 0.5, milliseconds(1)));
  cell.Run(milliseconds(100));

  SECTION("use the capacity kept for short work once they are overdue") {
    // Guards against a long-running task without a worker while there is
    // capacity for two such tasks (load mix of rangamanch, seed 1033480764078).
    StepSpec step = MakeStep(16, 4, 1000, 0);
    step.long_running = true;
    cell.Submit(MakeJob("service", "critical", {step}));
    cell.Run(seconds(1));
    // Eight percent of 64 cores are kept for short work, which leaves capacity
    // for 14 tasks.
    CHECK(cell.CountRunning("service") == 14);
    cell.Run(seconds(2));
    // The last task waits: the rule requires capacity for two.
    CHECK(cell.CountRunning("service") >= 15);
  }
  SECTION("are placed before short work once they are overdue") {
    // Guards against long-running tasks without a worker for 3 s because short
    // work takes all capacity that becomes free (in run scale-1 of
    // rangamanch-grown they were reported as LOST).
    for (int i = 0; i < 12; ++i) {
      cell.Submit(MakeJob("short" + std::to_string(i), "critical",
                          {MakeStep(16, 4, 1000, 1)}));
    }
    cell.Run(seconds(1));
    StepSpec step = MakeStep(2, 4, 1000, 0);
    step.long_running = true;
    cell.Submit(MakeJob("service", "critical", {step}));
    cell.Run(seconds(3));
    CHECK(cell.CountRunning("service") == 2);
  }
  SECTION("do not block short work if they do not fit") {
    // Guards against long-running tasks that do not fit and block the head of
    // the queue (in run scale-1 of kapuno a job's second step waited for 48 s).
    for (int i = 0; i < 60; ++i) {
      StepSpec step = MakeStep(2, 13, 1000, 0);
      step.long_running = true;
      step.max_per_worker = 1;
      cell.Submit(MakeJob("large" + std::to_string(i), "critical", {step}));
    }
    cell.Run(seconds(3));
    // This job has missed its objective from the start.
    StepSpec step = MakeStep(2, 2, 1000, 0.5);
    step.estimate = seconds(60);
    cell.run_time_s_of = [](const TaskName&) { return 0.5; };
    cell.Submit(MakeJob("late", "tight-objective", {step}));
    cell.Submit(MakeJob("short", "critical", {MakeStep(2, 2, 1000, 0.5)}));
    cell.Run(seconds(2));
    CHECK(cell.StateOf("short") == JobState::kCompleted);
    CHECK(cell.StateOf("late") == JobState::kCompleted);
  }
  SECTION(
      "are placed if they are small, behind many large ones that do not fit") {
    for (int i = 0; i < 100; ++i) {
      StepSpec step = MakeStep(1, 14, 1000, 0);
      step.long_running = true;
      cell.Submit(MakeJob("large" + std::to_string(i), "critical", {step}));
    }
    StepSpec small = MakeStep(1, 1, 1000, 0);
    small.long_running = true;
    cell.Submit(MakeJob("small", "critical", {small}));
    cell.Run(seconds(3));
    CHECK(cell.CountRunning("small") == 1);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
