#include <catch2/catch.hpp>

#include "tests/placement/fake_world.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job runs from submission to its recorded end", "[placement]") {
  FakeWorld world(2, 1);
  world.ChangeOwner(seconds(0), false);
  world.Submit("fill", 3, seconds(4));
  world.Run(seconds(2));
  // Guards against a takeover that begins with anything but a fence.
  CHECK(world.worker(0).max_epoch == Epoch(1));
  CHECK(world.CountRunning() == 3);
  CHECK(world.control.jobs.at(JobId("fill")).data_centre ==
        DataCentreId("bulacan"));

  SECTION("each task ends once and is acknowledged after the read-back") {
    world.RunUntilDone(seconds(20));
    world.Run(seconds(6));
    CHECK(world.ProgressOfTask("fill", 2).finished);
    CHECK(world.ProgressOfTask("fill", 2).attempt == Attempt(1));
    CHECK(world.worker(0).finished.empty());
    CHECK(world.MostStartsOfOneAttempt() == 1);

    SECTION("and is not started again by the next owner") {
      world.ChangeOwner(seconds(3), false);
      world.Run(seconds(30));
      CHECK(world.CountRunning() == 0);
      CHECK(world.MostStartsOfOneAttempt() == 1);
    }
  }
  SECTION("a cancellation stops its tasks, and they stay stopped") {
    world.Cancel("fill");
    world.Run(seconds(2));
    CHECK(world.CountRunning() == 0);
    world.Run(seconds(20));
    CHECK(world.MostStartsOfOneAttempt() == 1);
  }
  SECTION("a new owner takes the running tasks over") {
    // Guards against a second start of what the worker lists.
    world.ChangeOwner(seconds(5), false);
    world.RunUntilDone(seconds(40));
    CHECK(world.AllDone());
    CHECK(world.ProgressOfTask("fill", 0).attempt == Attempt(1));
  }
  CHECK(world.violation.empty());
}

TEST_CASE("a job that has ended leaves the state", "[placement]") {
  FakeWorld world(2, 7);
  world.ChangeOwner(seconds(0), false);
  const JobId fill("fill");
  world.Submit("fill", 3, seconds(4));
  world.Run(seconds(2));
  REQUIRE(world.CountRunning() == 3);

  SECTION("once every outcome was read back") {
    world.Run(seconds(10));
    // Guards against state that grows with every job.
    CHECK(world.control.jobs.empty());
    CHECK(world.data_centre.tasks.empty());
    CHECK(world.owner().placement.jobs.empty());
    REQUIRE(world.control.ended_jobs.size() == 1);
    CHECK(world.control.ended_jobs[0] == EndedJob{fill, 3, 0, false});

    SECTION("and a resubmission while it is kept does not run") {
      world.Submit("fill", 3, seconds(4));
      world.Run(seconds(10));
      CHECK(world.worker(0).starts.size() + world.worker(1).starts.size() == 3);
    }
  }
  SECTION("not while an outcome is not read back") {
    // Guards against an end that counts on results the log may not have.
    world.StopStore(seconds(12));
    world.Run(seconds(10));
    CHECK(world.CountRunning() == 0);
    REQUIRE(world.owner().placement.jobs.contains(fill));
    CHECK_FALSE(world.owner().placement.jobs.at(fill).end_sent);
    CHECK(world.control.jobs.contains(fill));
    world.Run(seconds(20));
    CHECK(world.control.jobs.empty());
  }
  SECTION("with its failed tasks counted") {
    world.worker(0).fails_all = true;
    world.worker(1).fails_all = true;
    world.Submit("bad", 1, milliseconds(100));
    world.vms.push_back(world.vms[0]);
    world.vms.back().id = VmId("w2");
    world.workers[VmId("w2")].capacity = world.workers[VmId("w0")].capacity;
    world.workers[VmId("w2")].fails_all = true;
    world.Run(seconds(60));
    const EndedJob* bad = FindEndedJob(world.control, JobId("bad"));
    REQUIRE(bad);
    CHECK(*bad == EndedJob{JobId("bad"), 0, 1, false});
  }
  SECTION("a cancelled one only when none of its tasks can run any more") {
    world.Partition(0, seconds(100));
    world.Cancel("fill");
    world.Run(seconds(8));
    CHECK(world.control.jobs.contains(fill));
    world.Run(seconds(14));
    CHECK(world.control.jobs.empty());
    REQUIRE(world.control.ended_jobs.size() == 1);
    CHECK(world.control.ended_jobs[0].cancelled);
  }
  SECTION("also when its owner dies before the data centre's stream has it") {
    for (int i = 0; i < 200 && !world.control.jobs.empty(); ++i)
      world.Run(milliseconds(50));
    REQUIRE(world.control.jobs.empty());
    REQUIRE(world.data_centre.tasks.size() == 3);
    world.ChangeOwner(seconds(3), false);
    world.Run(seconds(10));
    CHECK(world.data_centre.tasks.empty());
  }
  CHECK(world.violation.empty());
}

TEST_CASE("a task on a silent worker is started again only after its lease",
          "[placement]") {
  FakeWorld world(2, 2);
  world.ChangeOwner(seconds(0), false);
  world.Submit("long", 1, seconds(60));
  world.Run(seconds(2));
  REQUIRE(world.worker(0).runs.size() == 1);
  world.Partition(0, seconds(100));

  SECTION("by the same owner") {
    world.Run(seconds(9));
    CHECK(world.worker(1).runs.empty());
    world.Run(seconds(10));
    REQUIRE(world.worker(1).runs.size() == 1);
    CHECK(world.worker(1).starts.back().attempt == Attempt(2));
  }
  SECTION("by the next owner, which does not know where it ran") {
    world.ChangeOwner(seconds(3), false);
    world.Run(seconds(18));
    CHECK(world.worker(1).runs.empty());

    SECTION("while a new job need not wait") {
      world.Submit("new", 1, seconds(60));
      world.Run(milliseconds(1100));
      CHECK(world.worker(1).runs.contains(TaskId{JobId("new"), 0}));
    }
    world.Run(seconds(3));
    CHECK(world.worker(1).runs.contains(TaskId{JobId("long"), 0}));
  }
  CHECK(world.violation.empty());
}

TEST_CASE("a command that arrives late cannot put a task in two places",
          "[placement]") {
  FakeWorld world(2, 5);
  world.ChangeOwner(seconds(0), false);

  SECTION("a start whose reply is lost may still arrive") {
    world.start_delay = milliseconds(1500);
    world.Submit("late", 1, seconds(60));
    world.Run(milliseconds(1900));
    // A list that was read in between does not have the task.
    CHECK(world.owner().placement.counters.start_replies_lost == 1);
    CHECK(world.owner().placement.counters.starts_sent == 1);
    world.Run(seconds(2));
    CHECK(world.CountRunning() == 1);
    CHECK(world.owner().placement.counters.starts_sent == 1);
  }
  SECTION("a delayed renewal does not outlast the owner's wait") {
    world.Submit("long", 1, seconds(60));
    world.Run(seconds(1));
    REQUIRE(world.worker(0).runs.size() == 1);
    world.renewal_delay = seconds(6);
    world.Run(seconds(6));
    world.Partition(0, seconds(100));
    world.Run(seconds(30));
    CHECK(world.worker(1).runs.size() == 1);
  }
  CHECK(world.violation.empty());
}

TEST_CASE("a data centre that is taken out gives its jobs up", "[placement]") {
  FakeWorld world(2, 3);
  world.ChangeOwner(seconds(0), false);
  world.Submit("move", 4, seconds(30));
  world.Run(seconds(2));
  REQUIRE(world.CountRunning() == 4);
  world.SetIn(false);
  world.Run(seconds(5));
  const JobEntry& job = world.control.jobs.at(JobId("move"));
  CHECK(world.CountRunning() == 0);
  CHECK_FALSE(job.data_centre);
  REQUIRE(job.progress.size() == 4);
  CHECK(job.progress[0].checkpoint == "after 1");

  SECTION("and takes them again when it returns, little by little") {
    world.SetIn(true);
    world.Run(milliseconds(700));
    // Guards against a returning data centre that is filled at once.
    CHECK(world.CountRunning() <= 2);
    world.Run(seconds(20));
    CHECK(world.CountRunning() == 4);
    CHECK(world.worker(0).starts.back().attempt == Attempt(2));
    CHECK(world.worker(0).starts.back().checkpoint == "after 1");
    CHECK(world.MostStartsOfOneAttempt() == 1);
  }
  CHECK(world.violation.empty());
}

TEST_CASE("batch work gives way to a latency-critical task", "[placement]") {
  FakeWorld world(1, 6);
  world.ChangeOwner(seconds(0), false);
  JobSpec desk;
  desk.id = JobId("desk");
  desk.team = TeamId("pillows");
  desk.task_count = 1;
  desk.resources = {MilliCores(1000), Mebibytes(1000), Accelerators(0)};
  desk.run_time = seconds(600);
  desk.latency_critical = true;
  world.SubmitSpec(desk);
  world.Submit("batch", 1, seconds(600));
  world.Run(seconds(2));
  FakeWorker& worker = world.worker(0);
  REQUIRE(worker.runs.size() == 2);
  worker.usage.cpu = MilliCores(2500);
  world.Run(milliseconds(1300));
  const TaskId batch{JobId("batch"), 0};
  // Throttling comes first: an eviction would lose the batch task's place.
  REQUIRE(worker.runs.contains(batch));
  CHECK(worker.runs[batch].lease.throttle_percent == 50);

  SECTION("it is evicted if throttling does not help") {
    world.Run(seconds(4));
    CHECK_FALSE(worker.runs.contains(batch));
    CHECK(worker.runs.contains(TaskId{JobId("desk"), 0}));
  }
  SECTION("it runs at full speed again when the worker is calm") {
    worker.usage.cpu = MilliCores(500);
    world.Run(seconds(3));
    CHECK(worker.runs[batch].lease.throttle_percent == 100);
  }
  CHECK(world.violation.empty());
}

TEST_CASE("workers and tasks that fail are told apart", "[placement]") {
  FakeWorld world(4, 4);
  world.ChangeOwner(seconds(0), false);

  SECTION("a worker that fails every task is quarantined") {
    world.worker(0).fails_all = true;
    world.Submit("a", 12, milliseconds(100));
    world.RunUntilDone(seconds(60));
    REQUIRE(world.AllDone());
    REQUIRE(world.control.vm_states.contains(world.vms[0].id));
    CHECK_FALSE(world.ProgressOfTask("a", 0).failed);
    const size_t before = world.worker(0).starts.size();

    SECTION("and tried again after a minute with one task") {
      world.Submit("b", 8, milliseconds(100));
      world.RunUntilDone(seconds(30));
      CHECK(world.worker(0).starts.size() == before);
      world.worker(0).fails_all = false;
      world.Run(seconds(60));
      world.Submit("c", 8, seconds(2));
      world.Run(milliseconds(1500));
      CHECK(world.worker(0).starts.size() == before + 1);
      world.Run(seconds(10));
      CHECK(world.control.vm_states.empty());
    }
  }
  SECTION("a task that fails on three workers fails for good") {
    for (auto& [id, worker] : world.workers)
      worker.fails_all = true;
    world.Submit("bad", 1, milliseconds(100));
    world.Run(seconds(30));
    CHECK(world.ProgressOfTask("bad", 0).failed);
    CHECK(world.ProgressOfTask("bad", 0).attempt == Attempt(3));
    // A bad job must not take the workers out of service.
    CHECK(world.control.vm_states.empty());
    for (size_t i = 0; i < 4; ++i)
      CHECK(world.worker(i).starts.size() <= 1);
  }
  CHECK(world.violation.empty());
}

}  // namespace
}  // namespace cowslipmast
