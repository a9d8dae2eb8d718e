// Replays of the loads that the decisions of src/sched answer.

#include <catch2/catch.hpp>

#include <cmath>
#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueuePolicy MakePolicy(uint32_t priority, double stretch, Duration target) {
  QueuePolicy policy;
  policy.service = ServiceId("desk");
  policy.priority = priority;
  policy.attempts = 4;
  policy.stretch = stretch;
  policy.target_latency = target;
  return policy;
}

StepSpec MakeServingStep(uint32_t count, int64_t cores, const char* image) {
  StepSpec step = MakeStep(count, cores, 8000, 0);
  step.lasting = true;
  step.image = ImageId(image);
  step.latency_target = milliseconds(18);
  return step;
}

StepSpec MakeFillingStep(uint32_t count, int64_t cores, const char* image) {
  StepSpec step = MakeStep(count, cores, 4000, 2);
  step.fills = true;
  step.image = ImageId(image);
  return step;
}

// Twelve workers filled to 80% with lasting tasks of two images whose load
// moves in waves; one filling image presses hard on one of them.
FakeCell MakeSharedCell() {
  FakeCell cell;
  cell.AddWorkers(12, 64, 256000);
  cell.SetQueue("serve", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("fill", MakePolicy(2, 2, seconds(1)));
  cell.pressure_of = [](const std::string& filling,
                        const std::string& serving) {
    return filling == "heavy" && serving == "tender" ? 3.0 : 0.1;
  };
  cell.own_load_of = [](const TaskName& task, double t) {
    const double phase = static_cast<double>(task.index) * 1.3 +
                         static_cast<double>(task.job.value().size());
    return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 10 + phase);
  };
  cell.Run(milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    cell.Submit(MakeJob("tender" + std::to_string(i), "serve",
                        {MakeServingStep(6, 12, "tender")}));
    cell.Submit(MakeJob("tough" + std::to_string(i), "serve",
                        {MakeServingStep(6, 12, "tough")}));
  }
  cell.Run(seconds(1));
  return cell;
}

TEST_CASE("filling work beside serving tasks that it disturbs", "[sched]") {
  FakeCell cell = MakeSharedCell();

  SECTION("a stream of heavy filling work") {
    int submitted = 0;
    for (int i = 0; i < 120; ++i) {
      if (i % 2 == 0) {
        cell.Submit(MakeJob("f" + std::to_string(submitted++), "fill",
                            {MakeFillingStep(4, 7, "heavy")}));
      } else {
        cell.Submit(MakeJob("f" + std::to_string(submitted++), "fill",
                            {MakeFillingStep(4, 7, "light")}));
      }
      cell.Run(milliseconds(250));
    }
    cell.Run(seconds(10));
    // No serving task may be over its target for 4 s because of what fills.
    CHECK(cell.verdict().longest_over_target_s < 4.0);
    // With 24 serving tasks of each image for 40 s, a twentieth of the time.
    CHECK(cell.verdict().tail_over_target_s < 48 * 40.0 / 20);
    int in_time = 0;
    for (int i = 0; i < submitted; ++i) {
      in_time +=
          cell.StateOf("f" + std::to_string(i)) == JobState::kCompleted ? 1 : 0;
    }
    // Guards against one pace a worker, which slowed the light work as well.
    CHECK(in_time >= submitted * 9 / 10);
  }
  SECTION("a later owner knows which work disturbs which") {
    // Guards against learning at the cost of the serving tasks after each
    // change of owner.
    const auto submit = [&cell](int i) {
      cell.Submit(MakeJob("f" + std::to_string(i), "fill",
                          {MakeFillingStep(6, 9, "heavy")}));
      cell.Run(milliseconds(250));
    };
    for (int i = 0; i < 60; ++i)
      submit(i);
    const double before = cell.verdict().tail_over_target_s;
    cell.TakeOver();
    for (int i = 60; i < 80; ++i)
      submit(i);
    INFO("before " << before);
    CHECK(cell.verdict().tail_over_target_s - before < 1.0);
  }
}

TEST_CASE("filling work that disturbs every serving image", "[sched]") {
  // Guards against serving tasks spread over all workers: batch work then had
  // no worker where it disturbs nobody (rangamanch quiet-1, half of the batch
  // jobs were over their objective).
  FakeCell cell;
  cell.AddWorkers(10, 64, 256000);
  cell.SetQueue("serve", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("fill", MakePolicy(2, 2, seconds(1)));
  cell.pressure_of = [](const std::string&, const std::string&) { return 3.0; };
  cell.own_load_of = [](const TaskName& task, double t) {
    return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 10 + task.index * 1.3);
  };
  cell.Run(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    cell.Submit(MakeJob("watch" + std::to_string(i), "serve",
                        {MakeServingStep(5, 12, i % 2 == 0 ? "a" : "b")}));
    cell.Run(milliseconds(100));
  }

  SECTION("runs at full pace on workers that carry no serving task") {
    // 30 serving tasks take six or seven of ten workers. The batch work needs
    // 112 of the 192 cores that three workers have.
    for (int i = 0; i < 40; ++i) {
      cell.Submit(MakeJob("f" + std::to_string(i), "fill",
                          {MakeFillingStep(4, 7, "heavy")}));
      cell.Run(milliseconds(500));
    }
    cell.Run(seconds(3));
    int in_time = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "f" + std::to_string(i);
      in_time += cell.StateOf(id) == JobState::kCompleted ? 1 : 0;
    }
    CHECK(in_time == 40);
    CHECK(cell.verdict().tail_over_target_s < 1.0);
  }
}

TEST_CASE("a burst beyond capacity", "[sched]") {
  FakeCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("quotes", MakePolicy(0, 1.5, milliseconds(400)));
  cell.SetQueue("batch", MakePolicy(2, 2, seconds(1)));
  cell.Run(milliseconds(100));

  SECTION("urgent work does not wait behind batch work") {
    for (int i = 0; i < 30; ++i)
      cell.Submit(
          MakeJob("b" + std::to_string(i), "batch", {MakeStep(8, 4, 1000, 2)}));
    cell.Run(seconds(1));
    cell.Submit(MakeJob("q", "quotes", {MakeStep(4, 2, 1000, 0.5)}));
    cell.RunUntilEnd("q", seconds(10));
    REQUIRE(cell.EndOf("q"));
    CHECK(cell.StateOf("q") == JobState::kCompleted);
  }
  SECTION("some jobs are late instead of all of them") {
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
    int in_time = 0;
    for (const auto& [id, at] : submitted) {
      REQUIRE(cell.StateOf(id) == JobState::kCompleted);
      in_time += *cell.EndOf(id) - at <= seconds(5) ? 1 : 0;
    }
    // 16 tasks run at once, each for 2 s: a job takes 1.5 s of the capacity, so
    // 7 at most end within the 11 s until the last objective. Half of that is
    // asked for; in the order of arrival only the first two are in time.
    CHECK(in_time * 2 >= 7);
  }
}

TEST_CASE("lasting tasks when capacity is short", "[sched]") {
  FakeCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("serve", MakePolicy(0, 2, seconds(2)));
  cell.SetQueue("hurried", MakePolicy(0, 0.5, milliseconds(1)));
  cell.Run(milliseconds(100));

  SECTION("take the part that is kept for short work after a while") {
    // Guards against a task that lasts and stays without a place while there
    // is room for it twice over (rangamanch mix seed 1033480764078).
    StepSpec step = MakeStep(16, 4, 1000, 0);
    step.lasting = true;
    cell.Submit(MakeJob("watch", "serve", {step}));
    cell.Run(seconds(1));
    // Eight percent of 64 cores are kept for short work, which leaves 14
    // places.
    CHECK(cell.CountRunning("watch") == 14);
    cell.Run(seconds(2));
    // The last place is kept: the rule asks for room for two.
    CHECK(cell.CountRunning("watch") >= 15);
  }
  SECTION("come before short work once they are overdue") {
    // Guards against lasting tasks that find no place for 3 s while short work
    // takes all room that becomes free (rangamanch-grown scale-1: LOST).
    for (int i = 0; i < 12; ++i) {
      cell.Submit(MakeJob("short" + std::to_string(i), "serve",
                          {MakeStep(16, 4, 1000, 1)}));
    }
    cell.Run(seconds(1));
    StepSpec step = MakeStep(2, 4, 1000, 0);
    step.lasting = true;
    cell.Submit(MakeJob("watch", "serve", {step}));
    cell.Run(seconds(3));
    CHECK(cell.CountRunning("watch") == 2);
  }
  SECTION("do not keep short work from its place") {
    // Guards against lasting tasks that do not fit at the head of the line
    // (kapuno scale-1: a second step waited for 48 s).
    for (int i = 0; i < 60; ++i) {
      StepSpec step = MakeStep(2, 13, 1000, 0);
      step.lasting = true;
      step.max_per_worker = 1;
      cell.Submit(MakeJob("large" + std::to_string(i), "serve", {step}));
    }
    cell.Run(seconds(3));
    // Its objective is over from the start.
    StepSpec step = MakeStep(2, 2, 1000, 0.5);
    step.estimate = seconds(60);
    cell.work_of = [](const TaskName&) { return 0.5; };
    cell.Submit(MakeJob("late", "hurried", {step}));
    cell.Submit(MakeJob("short", "serve", {MakeStep(2, 2, 1000, 0.5)}));
    cell.Run(seconds(2));
    CHECK(cell.StateOf("short") == JobState::kCompleted);
    CHECK(cell.StateOf("late") == JobState::kCompleted);
  }
  SECTION("a small one is placed behind many large ones that do not fit") {
    for (int i = 0; i < 100; ++i) {
      StepSpec step = MakeStep(1, 14, 1000, 0);
      step.lasting = true;
      cell.Submit(MakeJob("large" + std::to_string(i), "serve", {step}));
    }
    StepSpec small = MakeStep(1, 1, 1000, 0);
    small.lasting = true;
    cell.Submit(MakeJob("small", "serve", {small}));
    cell.Run(seconds(3));
    CHECK(cell.CountRunning("small") == 1);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
