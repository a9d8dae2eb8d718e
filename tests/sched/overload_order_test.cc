// Replays bursts of more work than capacity for the order of waiting steps.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "src/sched/overload_order.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobs = 28;

SimulatedCell MakeCell(bool overload_order) {
  SchedulerOptions options;
  options.features.overload_order = overload_order;
  SimulatedCell cell(options);
  cell.AddWorkers(4, 16, 64000);
  QueuePolicy policy = MakePolicy(2, 4);
  policy.critical_path_factor = 2;
  policy.objective_offset = seconds(1);
  cell.SetQueue("batch", policy);
  cell.Run(milliseconds(100));
  return cell;
}

// A job whose steps follow each other, of six tasks of 4 cores.
JobDefinition MakeChain(const std::string& id, uint32_t steps, double run_s) {
  std::vector<StepSpec> chain;
  for (uint32_t i = 0; i < steps; ++i) {
    chain.push_back(MakeStep(6, 4, 1000, run_s));
    if (i > 0)
      chain.back().depends_on = {i - 1};
  }
  return MakeJob(id, "batch", std::move(chain));
}

uint32_t StepsOf(int job) {
  return 1 + static_cast<uint32_t>(job * 7 % 3);
}

int EstimateOf(int job) {
  return 1 + job * 5 % 3;
}

// Run time of a job's tasks where estimates are off by up to a half.
double RunTimeOf(int job) {
  return EstimateOf(job) * (0.5 + static_cast<double>(job * 11 % 21) / 20);
}

// Jobs of one to three steps that arrive at an interval; a job takes 1.5 s of
// the capacity. Returns the share of their work that ends within its objective.
double ShareOfWorkInTime(bool overload_order,
                         Duration interval,
                         bool estimates_are_right) {
  SimulatedCell cell = MakeCell(overload_order);
  if (!estimates_are_right) {
    cell.run_time_s_of = [](const TaskName& task) {
      return RunTimeOf(std::stoi(task.job.value()));
    };
  }
  std::map<int, TimePoint> submitted;
  for (int i = 0; i < kJobs; ++i) {
    submitted[i] = cell.now();
    cell.Submit(MakeChain(std::to_string(i), StepsOf(i), EstimateOf(i)));
    cell.Run(interval);
  }
  cell.Run(seconds(90));
  double in_time = 0;
  double total = 0;
  for (const auto& [job, at] : submitted) {
    const std::string id = std::to_string(job);
    REQUIRE(cell.StateOf(id) == JobState::kCompleted);
    const int path_s = EstimateOf(job) * static_cast<int>(StepsOf(job));
    total += path_s;
    if (*cell.EndTimeOf(id) - at <= seconds(2 * path_s + 1))
      in_time += path_s;
  }
  CHECK(cell.observations().violations.empty());
  return in_time / total;
}

TEST_CASE("more work than capacity by jobs of several steps",
          "[sched][overload]") {
  for (const bool estimates_are_right : {true, false}) {
    // Four times, twice and 1.4 times the capacity.
    for (const int interval_ms : {360, 750, 1100}) {
      const Duration interval = milliseconds(interval_ms);
      const double by_arrival =
          ShareOfWorkInTime(false, interval, estimates_are_right);
      const double share =
          ShareOfWorkInTime(true, interval, estimates_are_right);
      INFO("interval " << interval_ms << " ms, estimates right "
                       << estimates_are_right << ", by arrival " << by_arrival);
      CHECK(share > by_arrival);
    }
  }
}

TEST_CASE("late work under an overload that does not end",
          "[sched][overload]") {
  SimulatedCell cell = MakeCell(true);
  for (int i = 0; i < 6; ++i)
    cell.Submit(MakeChain("old" + std::to_string(i), 1, 2));
  // New jobs that can meet their objective take all capacity for 40 s.
  for (int i = 0; i < 160; ++i) {
    cell.Submit(MakeChain("new" + std::to_string(i), 1, 1));
    cell.Run(milliseconds(250));
  }

  SECTION("has a turn after three times the span of its objective") {
    // The objective is 5 s; one late job has a turn each second.
    for (int i = 0; i < 6; ++i) {
      const std::string id = "old" + std::to_string(i);
      INFO(id);
      CHECK(cell.StateOf(id) == JobState::kCompleted);
    }
  }
}

TEST_CASE("the class of a step under overload", "[sched][overload]") {
  StepOutlook outlook{.remaining_path = seconds(2),
                      .remaining_steps = 2,
                      .until_objective = seconds(3),
                      .is_started = false};
  SECTION("is on time while the objective leaves time for all starts") {
    CHECK(ClassifyStep(outlook) == OverloadClass::kOnTime);
    CHECK(Laxity(outlook) < seconds(1));
  }
  SECTION("is before other work once the job has started") {
    outlook.is_started = true;
    CHECK(ClassifyStep(outlook) == OverloadClass::kStarted);
  }
  SECTION("is late if the job would end just after its objective") {
    outlook.until_objective = milliseconds(2100);
    outlook.is_started = true;
    CHECK(ClassifyStep(outlook) == OverloadClass::kLate);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
