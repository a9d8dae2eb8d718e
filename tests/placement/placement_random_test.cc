#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <tuple>
#include <vector>

#include "tests/placement/placement_simulation.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The kind of event, milliseconds since the previous event, and a parameter.
using Event = std::tuple<int, int, int>;

rc::Gen<std::vector<Event>> Schedule(int kinds) {
  return rc::gen::container<std::vector<Event>>(
      rc::gen::tuple(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 8000),
                     rc::gen::inRange(0, 30)));
}

void Submit(PlacementSimulation& simulation, int parameter) {
  const std::string id = "job" + std::to_string(simulation.submitted.size());
  simulation.Submit(id, 1 + parameter % 5, milliseconds(500 + parameter * 700));
}

// The first three kinds leave every worker reachable.
void Apply(PlacementSimulation& simulation, int kind, int parameter) {
  switch (kind) {
    case 0:
      Submit(simulation, parameter);
      return;
    case 1:
      simulation.SetIn(parameter % 2 == 0);
      return;
    case 2:  // a planned change of owner
      simulation.ChangeOwner(seconds(1), false);
      return;
    case 3:  // the owner crashes
      simulation.ChangeOwner(milliseconds(5300), false);
      return;
    case 4:  // the owner is paused, and another takes over
      simulation.PauseOwner(seconds(1 + parameter));
      simulation.ChangeOwner(milliseconds(5300), true);
      return;
    case 5:
      simulation.PauseOwner(milliseconds(200 * parameter));
      return;
    case 6:
      simulation.Partition(parameter % 3, seconds(parameter));
      return;
    case 7:
      simulation.Restart(parameter % 3);
      return;
    case 8:
      simulation.StopStore(seconds(parameter % 10));
      return;
    default:
      if (!simulation.control.jobs.empty())
        simulation.Cancel(simulation.control.jobs.begin()->first.value());
  }
}

void RunSchedule(PlacementSimulation& simulation,
                 const std::vector<Event>& events) {
  simulation.ChangeOwner(seconds(0), false);
  Submit(simulation, 7);
  for (const auto& [kind, after, parameter] : events) {
    simulation.Run(milliseconds(after));
    Apply(simulation, kind, parameter);
  }
}

// Without further failures, all jobs must end.
void RunToCompletion(PlacementSimulation& simulation) {
  simulation.lost_share = 0;
  simulation.late_share = 0;
  simulation.SetIn(true);
  simulation.RunUntilDone(seconds(400));
}

TEST_CASE("no sequence of failures breaks a guarantee", "[placement]") {
  // Guards against a task that runs twice, a worker over its capacity, a start
  // in a data centre that is out of service, and tasks that never end.
  CHECK(rc::check([](uint64_t seed) {
    const auto events = *Schedule(10);
    PlacementSimulation simulation(3, seed);
    simulation.lost_share = *rc::gen::element(0.0, 0.05, 0.3);
    simulation.late_share = *rc::gen::element(0.0, 0.1, 0.4);
    RunSchedule(simulation, events);
    RC_ASSERT(simulation.violation == "");
    RunToCompletion(simulation);
    RC_ASSERT(simulation.violation == "");
    RC_ASSERT(simulation.AllDone());
  }));
}

// Checks that a start after an eviction resumes from that eviction's
// checkpoint. After an expired lease there may be no checkpoint: two changes of
// owner within one lease and a lost renewal cause that (seed 1).
void CheckResumed(const PlacementSimulation& simulation,
                  const StartCommand& start) {
  const Attempt before(start.attempt.value() - 1);
  for (const auto& [id, worker] : simulation.workers) {
    const auto end = worker.ends.find({start.task, before});
    if (end == worker.ends.end())
      continue;
    if (end->second.result == TaskResult::kLost)
      return;
    RC_ASSERT(end->second.result == TaskResult::kEvicted);
    RC_ASSERT(!start.checkpoint.empty());
    RC_ASSERT(start.checkpoint == end->second.checkpoint);
    return;
  }
  RC_FAIL("the previous attempt never ended");
}

TEST_CASE("evicted work resumes exactly once", "[placement]") {
  // Guards against two starts from one checkpoint, or none, when replies are
  // lost and the data centre goes out of service and returns.
  CHECK(rc::check([](uint64_t seed) {
    const auto events = *Schedule(3);
    PlacementSimulation simulation(3, seed);
    simulation.lost_share = *rc::gen::element(0.0, 0.1);
    RunSchedule(simulation, events);
    RunToCompletion(simulation);
    RC_ASSERT(simulation.violation == "");
    RC_ASSERT(simulation.AllDone());
    RC_ASSERT(simulation.MostStartsOfOneAttempt() == 1);
    for (const auto& [id, worker] : simulation.workers) {
      for (const StartCommand& start : worker.starts) {
        if (start.attempt == Attempt(1))
          RC_ASSERT(start.checkpoint.empty());
        else
          CheckResumed(simulation, start);
      }
    }
  }));
}

}  // namespace
}  // namespace cowslipmast
