// Runs several cells on whole scheduler processes. Guards against jobs that are
// lost, run twice or cannot be asked for when cells have different owners, when
// a job moves to another cell, and when the owner that moved it is gone.

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <set>

#include "src/core/strings.h"
#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string JobName(int number) {
  std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

json DumpOf(TestSystem& system, TestProcess& process) {
  const auto response = system.Call(process, "GET", "/dump");
  json dump = response ? json::parse(response->body, nullptr, false) : json();
  return dump.is_object() ? dump : json::object();
}

// Number of cells that have an owner which has restored them.
size_t CountOwnedCells(TestSystem& system, size_t processes) {
  std::set<std::string> owned;
  for (size_t i = 0; i < processes; ++i) {
    const json cells =
        DumpOf(system, system.process(i)).value("cells", json::object());
    for (const auto& [cell, entry] : cells.items()) {
      if (entry.value("state", "") == "owning" && entry.contains("scheduler"))
        owned.insert(cell);
    }
  }
  return owned.size();
}

// A process that has not read the layout yet refuses submissions, truly.
bool KnowCells(TestSystem& system, size_t processes, size_t cells) {
  for (size_t i = 0; i < processes; ++i) {
    const json dump = DumpOf(system, system.process(i));
    if (dump.value("cells", json::object()).size() != cells)
      return false;
  }
  return true;
}

bool WaitForCells(TestSystem& system, size_t processes, size_t cells) {
  for (int i = 0; i < 100; ++i) {
    if (CountOwnedCells(system, processes) == cells &&
        KnowCells(system, processes, cells))
      return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

TEST_CASE("several cells", "[cells]") {
  TestOptions options;
  options.workers_per_cell = 8;
  // 20 workers on 5 racks make 3 cells.
  TestSystem system(20, 3, options);
  REQUIRE(WaitForCells(system, 3, 3));

  SECTION("run jobs that any process accepts and any process answers for") {
    for (int i = 0; i < 30; ++i)
      REQUIRE(system.Submit(system.process(i % 3), JobName(i), 4) == 200);
    for (int i = 0; i < 30; ++i) {
      CHECK(system.WaitForState(system.process((i + 1) % 3), JobName(i),
                                "completed", seconds(15)));
    }
    const RunObservations observations = system.Observations();
    CHECK(observations.done.size() == 120);
    CHECK(observations.violations.empty());
    // Named first, so that a failure shows it.
    const auto waiting = system.Call(system.process(0), "GET", "/q/");
    REQUIRE(waiting);
    CHECK(waiting->body == R"({"waiting":0})");
    CHECK(system.Call(system.process(1), "GET", "/q/" + JobName(99))->status ==
          410);
  }
  SECTION("are all owned again after a process is killed under load") {
    for (int i = 0; i < 20; ++i)
      system.WithWorker(
          i, [](WorkerStandIn& w) { w.SetTaskDuration(seconds(2)); });
    for (int i = 0; i < 20; ++i)
      REQUIRE(system.Submit(system.process(i % 3), JobName(i), 4) == 200);
    system.RestartProcess(0);
    for (int i = 0; i < 20; ++i)
      CHECK(system.WaitForState(system.process(1), JobName(i), "completed",
                                seconds(30)));
    CHECK(system.Observations().violations.empty());
    CHECK(WaitForCells(system, 3, 3));
  }
  SECTION("hand on the next steps of jobs whose workers are drained") {
    // Recurring jobs of two steps; the workers of one rack stay, so that two
    // cells have none.
    const auto now_ms = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    json step = {{"count", 2}, {"cpu", 2000}, {"mem-mb", 500}, {"est-ms", 300}};
    json second = step;
    second["depends-on"] = {0};
    const json body = {{"spec", "work"},
                       {"steps", {step, second}},
                       {"iterations", 2},
                       {"interval-ms", 1000},
                       {"first-ms", now_ms.count()}};
    system.SetTaskDuration(milliseconds(500));
    for (int i = 0; i < 9; ++i) {
      const auto response = system.Call(system.process(i % 3), "POST",
                                        "/q/" + JobName(i), body.dump());
      REQUIRE(response);
      REQUIRE(response->status == 200);
    }
    for (int i = 4; i < 20; ++i) {
      std::string id;
      std::string entry;
      system.WithWorker(i, [&](WorkerStandIn& w) {
        id = w.id();
        entry = w.DrainingStoreEntry();
      });
      system.PutRecord("keyed.servers", id, entry);
    }
    for (int i = 0; i < 9; ++i)
      CHECK(system.WaitForState(system.process(i % 3), JobName(i), "completed",
                                seconds(20)));
    const RunObservations observations = system.Observations();
    CHECK(observations.done.size() == size_t{9} * 2 * 4);
    CHECK(observations.violations.empty());
  }
  SECTION("pass a cancellation on, wherever the job runs") {
    for (int i = 0; i < 20; ++i)
      system.WithWorker(
          i, [](WorkerStandIn& w) { w.SetTaskDuration(seconds(20)); });
    for (int i = 0; i < 12; ++i)
      REQUIRE(system.Submit(system.process(0), JobName(i), 8) == 200);
    std::this_thread::sleep_for(seconds(1));
    for (int i = 0; i < 12; ++i)
      CHECK(system.Call(system.process(1), "DELETE", "/q/" + JobName(i))
                ->status == 200);
    std::this_thread::sleep_for(seconds(2));
    for (const auto& [task, workers] : system.Observations().running)
      CHECK(workers.empty());
    for (int i = 0; i < 12; ++i)
      CHECK(system.StateOf(system.process(2), JobName(i)) == "cancelled");
  }
}

TEST_CASE("a layout of another version", "[cells]") {
  // Guards against two versions of the program that share stored records.
  TestSystem system(3);
  SECTION("that is older keeps the process from owning a cell") {
    system.PutRecord("keyed.owner", "cell", "{}");
  }
  SECTION("that is newer keeps the process from owning a cell") {
    system.PutRecord("keyed.owner", "layout", R"({"version":99,"cells":1})");
  }
  TestProcess& process = system.AddProcess();
  CHECK_FALSE(system.WaitForOwner(seconds(3)));
  // Truly refused: nothing is stored.
  CHECK(system.Submit(process, JobName(1), 1) == 503);
}

}  // namespace
}  // namespace cowslipmast::platform
