#include <catch2/catch.hpp>

#include "tests/placement/placement_simulation.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job runs from submission to its recorded end", "[placement]") {
  PlacementSimulation simulation(2, 1);
  simulation.ChangeOwner(seconds(0), false);
  simulation.Submit("fill", 3, seconds(4));
  simulation.Run(seconds(2));
  // Guards against an owner that begins without fencing the workers.
  CHECK(simulation.worker(0).max_epoch == Epoch(1));
  CHECK(simulation.CountRunning() == 3);
  CHECK(simulation.control.jobs.at(JobId("fill")).data_centre ==
        DataCentreId("bulacan"));

  SECTION("each task ends once and is then acknowledged") {
    simulation.RunUntilDone(seconds(20));
    simulation.Run(seconds(6));
    CHECK(simulation.ProgressOfTask("fill", 2).finished);
    CHECK(simulation.ProgressOfTask("fill", 2).attempt == Attempt(1));
    CHECK(simulation.worker(0).finished.empty());
    CHECK(simulation.MostStartsOfOneAttempt() == 1);

    SECTION("and is not started again by the next owner") {
      simulation.ChangeOwner(seconds(3), false);
      simulation.Run(seconds(30));
      CHECK(simulation.CountRunning() == 0);
      CHECK(simulation.MostStartsOfOneAttempt() == 1);
    }
  }
  SECTION("a cancellation stops its tasks for good") {
    simulation.Cancel("fill");
    simulation.Run(seconds(2));
    CHECK(simulation.CountRunning() == 0);
    simulation.Run(seconds(20));
    CHECK(simulation.MostStartsOfOneAttempt() == 1);
  }
  SECTION("a new owner takes over the running tasks") {
    // Guards against a second start of a task that the worker lists.
    simulation.ChangeOwner(seconds(5), false);
    simulation.RunUntilDone(seconds(40));
    CHECK(simulation.AllDone());
    CHECK(simulation.ProgressOfTask("fill", 0).attempt == Attempt(1));
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("a job that has ended is removed from the state", "[placement]") {
  PlacementSimulation simulation(2, 7);
  simulation.ChangeOwner(seconds(0), false);
  const JobId fill("fill");
  simulation.Submit("fill", 3, seconds(4));
  simulation.Run(seconds(2));
  REQUIRE(simulation.CountRunning() == 3);

  SECTION("once every outcome was read back") {
    simulation.Run(seconds(10));
    // Guards against state that grows with every job.
    CHECK(simulation.control.jobs.empty());
    CHECK(simulation.data_centre.tasks.empty());
    CHECK(simulation.owner().placement.jobs.empty());
    REQUIRE(simulation.control.ended_jobs.size() == 1);
    CHECK(simulation.control.ended_jobs[0] == EndedJob{fill, 3, 0, false});

    SECTION("and a resubmission of a recently ended job does not run") {
      simulation.Submit("fill", 3, seconds(4));
      simulation.Run(seconds(10));
      CHECK(simulation.worker(0).starts.size() +
                simulation.worker(1).starts.size() ==
            3);
    }
  }
  SECTION("but not before every outcome was read back") {
    // Guards against an end based on results that the log may not have.
    simulation.StopStore(seconds(12));
    simulation.Run(seconds(10));
    CHECK(simulation.CountRunning() == 0);
    REQUIRE(simulation.owner().placement.jobs.contains(fill));
    CHECK_FALSE(simulation.owner().placement.jobs.at(fill).end_sent_at);
    CHECK(simulation.control.jobs.contains(fill));
    simulation.Run(seconds(20));
    CHECK(simulation.control.jobs.empty());
  }
  SECTION("with its failed tasks counted") {
    simulation.worker(0).fails_all = true;
    simulation.worker(1).fails_all = true;
    simulation.Submit("bad", 1, milliseconds(100));
    simulation.vms.push_back(simulation.vms[0]);
    simulation.vms.back().id = VmId("w2");
    simulation.workers[VmId("w2")].capacity =
        simulation.workers[VmId("w0")].capacity;
    simulation.workers[VmId("w2")].fails_all = true;
    simulation.Run(seconds(60));
    const EndedJob* bad = FindEndedJob(simulation.control, JobId("bad"));
    REQUIRE(bad);
    CHECK(*bad == EndedJob{JobId("bad"), 0, 1, false});
  }
  SECTION("if cancelled, only when none of its tasks can still run") {
    simulation.Partition(0, seconds(100));
    simulation.Cancel("fill");
    simulation.Run(seconds(8));
    CHECK(simulation.control.jobs.contains(fill));
    simulation.Run(seconds(14));
    CHECK(simulation.control.jobs.empty());
    REQUIRE(simulation.control.ended_jobs.size() == 1);
    CHECK(simulation.control.ended_jobs[0].cancelled);
  }
  SECTION("even if its owner dies before the tasks are dropped") {
    for (int i = 0; i < 200 && !simulation.control.jobs.empty(); ++i)
      simulation.Run(milliseconds(50));
    REQUIRE(simulation.control.jobs.empty());
    REQUIRE(simulation.data_centre.tasks.size() == 3);
    simulation.ChangeOwner(seconds(3), false);
    simulation.Run(seconds(10));
    CHECK(simulation.data_centre.tasks.empty());
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("a task on an unreachable worker restarts only after its lease",
          "[placement]") {
  PlacementSimulation simulation(2, 2);
  simulation.ChangeOwner(seconds(0), false);
  simulation.Submit("long", 1, seconds(60));
  simulation.Run(seconds(2));
  REQUIRE(simulation.worker(0).runs.size() == 1);
  simulation.Partition(0, seconds(100));

  SECTION("by the same owner") {
    simulation.Run(seconds(9));
    CHECK(simulation.worker(1).runs.empty());
    simulation.Run(seconds(10));
    REQUIRE(simulation.worker(1).runs.size() == 1);
    CHECK(simulation.worker(1).starts.back().attempt == Attempt(2));
  }
  SECTION("by the next owner, which does not know the worker") {
    simulation.ChangeOwner(seconds(3), false);
    simulation.Run(seconds(18));
    CHECK(simulation.worker(1).runs.empty());

    SECTION("while a new job does not wait") {
      simulation.Submit("new", 1, seconds(60));
      simulation.Run(milliseconds(1100));
      CHECK(simulation.worker(1).runs.contains(TaskId{JobId("new"), 0}));
    }
    simulation.Run(seconds(3));
    CHECK(simulation.worker(1).runs.contains(TaskId{JobId("long"), 0}));
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("a command that arrives late cannot make a task run twice",
          "[placement]") {
  PlacementSimulation simulation(2, 5);
  simulation.ChangeOwner(seconds(0), false);

  SECTION("a start whose reply is lost may still arrive") {
    simulation.start_delay = milliseconds(1500);
    simulation.Submit("late", 1, seconds(60));
    simulation.Run(milliseconds(1900));
    // A list read in the meantime does not contain the task.
    CHECK(simulation.owner().placement.counters.start_replies_lost == 1);
    CHECK(simulation.owner().placement.counters.starts_sent == 1);
    simulation.Run(seconds(2));
    CHECK(simulation.CountRunning() == 1);
    CHECK(simulation.owner().placement.counters.starts_sent == 1);
  }
  SECTION("a delayed renewal does not extend a lease too far") {
    simulation.Submit("long", 1, seconds(60));
    simulation.Run(seconds(1));
    REQUIRE(simulation.worker(0).runs.size() == 1);
    simulation.renewal_delay = seconds(6);
    simulation.Run(seconds(6));
    simulation.Partition(0, seconds(100));
    simulation.Run(seconds(30));
    CHECK(simulation.worker(1).runs.size() == 1);
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("a data centre taken out of service releases its jobs",
          "[placement]") {
  PlacementSimulation simulation(2, 3);
  simulation.ChangeOwner(seconds(0), false);
  simulation.Submit("move", 4, seconds(30));
  simulation.Run(seconds(2));
  REQUIRE(simulation.CountRunning() == 4);
  simulation.SetIn(false);
  simulation.Run(seconds(5));
  const JobEntry& job = simulation.control.jobs.at(JobId("move"));
  CHECK(simulation.CountRunning() == 0);
  CHECK_FALSE(job.data_centre);
  REQUIRE(job.progress.size() == 4);
  CHECK(job.progress[0].checkpoint == "after 1");

  SECTION("and takes them again gradually when it returns") {
    simulation.SetIn(true);
    simulation.Run(milliseconds(700));
    // Guards against a returning data centre that starts all tasks at once.
    CHECK(simulation.CountRunning() <= 2);
    simulation.Run(seconds(20));
    CHECK(simulation.CountRunning() == 4);
    CHECK(simulation.worker(0).starts.back().attempt == Attempt(2));
    CHECK(simulation.worker(0).starts.back().checkpoint == "after 1");
    CHECK(simulation.MostStartsOfOneAttempt() == 1);
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("batch tasks are throttled for a latency-critical task",
          "[placement]") {
  PlacementSimulation simulation(1, 6);
  simulation.ChangeOwner(seconds(0), false);
  JobSpec desk;
  desk.id = JobId("desk");
  desk.team = TeamId("pillows");
  desk.task_count = 1;
  desk.resources = {MilliCores(1000), Mebibytes(1000), Accelerators(0)};
  desk.run_time = seconds(600);
  desk.latency_critical = true;
  simulation.SubmitSpec(desk);
  simulation.Submit("batch", 1, seconds(600));
  simulation.Run(seconds(2));
  FakeWorker& worker = simulation.worker(0);
  REQUIRE(worker.runs.size() == 2);
  worker.usage.cpu = MilliCores(2500);
  simulation.Run(milliseconds(1300));
  const TaskId batch{JobId("batch"), 0};
  // Throttling comes first, because an eviction takes the batch task off its
  // worker.
  REQUIRE(worker.runs.contains(batch));
  CHECK(worker.runs[batch].lease.throttle_percent == 50);

  SECTION("the batch task is evicted if throttling does not help") {
    simulation.Run(seconds(4));
    CHECK_FALSE(worker.runs.contains(batch));
    CHECK(worker.runs.contains(TaskId{JobId("desk"), 0}));
  }
  SECTION("the batch task is unthrottled when the load drops") {
    worker.usage.cpu = MilliCores(500);
    simulation.Run(seconds(3));
    CHECK(worker.runs[batch].lease.throttle_percent == 100);
  }
  CHECK(simulation.violation.empty());
}

TEST_CASE("failing workers and failing jobs are distinguished", "[placement]") {
  PlacementSimulation simulation(4, 4);
  simulation.ChangeOwner(seconds(0), false);

  SECTION("a worker that fails every task is quarantined") {
    simulation.worker(0).fails_all = true;
    simulation.Submit("a", 12, milliseconds(100));
    simulation.RunUntilDone(seconds(60));
    REQUIRE(simulation.AllDone());
    REQUIRE(simulation.control.vm_states.contains(simulation.vms[0].id));
    CHECK_FALSE(simulation.ProgressOfTask("a", 0).failed);
    const size_t before = simulation.worker(0).starts.size();

    SECTION("and probed after a minute with one task") {
      simulation.Submit("b", 8, milliseconds(100));
      simulation.RunUntilDone(seconds(30));
      CHECK(simulation.worker(0).starts.size() == before);
      simulation.worker(0).fails_all = false;
      simulation.Run(seconds(60));
      simulation.Submit("c", 8, seconds(2));
      simulation.Run(milliseconds(1500));
      CHECK(simulation.worker(0).starts.size() == before + 1);
      simulation.Run(seconds(10));
      CHECK(simulation.control.vm_states.empty());
    }
  }
  SECTION("a task that fails on three workers fails for good") {
    for (auto& [id, worker] : simulation.workers)
      worker.fails_all = true;
    simulation.Submit("bad", 1, milliseconds(100));
    simulation.Run(seconds(30));
    CHECK(simulation.ProgressOfTask("bad", 0).failed);
    CHECK(simulation.ProgressOfTask("bad", 0).attempt == Attempt(3));
    // A failing job must not get its workers quarantined.
    CHECK(simulation.control.vm_states.empty());
    for (size_t i = 0; i < 4; ++i)
      CHECK(simulation.worker(i).starts.size() <= 1);
  }
  CHECK(simulation.violation.empty());
}

}  // namespace
}  // namespace cowslipmast
