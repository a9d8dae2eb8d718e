// Guards against lost tasks that wait in one cell while another one gives its
// places to tasks that never ran, or has fewer lost tasks to place; and against
// tasks that move to and fro.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCores = 10;
// A lease, and the time until a lost task is overdue.
constexpr Duration kNoted = seconds(9);
// Loads twice a second, a move and a start.
constexpr Duration kMaxWithRoom = seconds(3);
constexpr int kLostInOneCell = 16;
constexpr int kLostInEachCell = 8;

/** Two cells whose workers are all filled; places come free when the test ends
 * the fillers. */
class TwoFullCells {
 public:
  TwoFullCells() {
    m_cells.SetQueue("urgent", MakePolicy(0, 20));
    // All stays in its cell at first.
    m_cells.load_arrives = [](size_t, size_t) { return false; };
    m_cells.Run(seconds(1));
  }

  SimulatedCells& cells() { return m_cells; }

  /** Starts a task on a new worker. */
  std::string Start(size_t cell, int64_t cores = kCores) {
    m_cells.cell(cell).AddWorkers(1, cores, 64000, 500 + 500 * cell);
    m_cells.Run(milliseconds(800));
    std::string id = Submit(cell, cores);
    for (int i = 0; i < 30 && m_cells.CountRunning(id) == 0; ++i)
      m_cells.Run(milliseconds(100));
    REQUIRE(m_cells.cell(cell).CountRunning(id) == 1);
    return id;
  }

  std::string Submit(size_t cell, int64_t cores = kCores) {
    std::string id = m_cells.MakeIdFor(cell, "service");
    m_cells.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(1, cores)}));
    return id;
  }

  void ExchangeLoads() {
    m_cells.load_arrives = nullptr;
    m_cells.Run(seconds(2));
  }

  void Lose(size_t cell, const std::string& id) {
    m_cells.cell(cell).RemoveWorker(
        *m_cells.cell(cell).WorkerOf({JobId(id), 0, 0, 0}));
  }

  bool IsRunning(const std::string& id) const {
    return m_cells.CountRunning(id) == 1;
  }

 private:
  SimulatedCells m_cells{2, 0, kCores};
};

TEST_CASE("a task that never ran starts where a lost one of another cell fits",
          "[sched]") {
  TwoFullCells site;
  SimulatedCells& cells = site.cells();
  site.Start(0);
  const std::string lost = site.Start(0);
  const std::string filler = site.Start(1);
  site.ExchangeLoads();
  site.Lose(0, lost);

  SECTION("as it has waited there for longer") {
    const std::string waiting = site.Submit(1);
    cells.Run(kNoted);
    REQUIRE_FALSE(site.IsRunning(lost));
    SECTION("and a task there ends") {
      cells.Cancel(filler);
    }
    SECTION("and a worker is new there") {
      cells.cell(1).AddWorkers(1, kCores, 64000, 2000);
    }
    cells.Run(kMaxWithRoom);
    CHECK(site.IsRunning(lost));
    CHECK_FALSE(site.IsRunning(waiting));
  }
  SECTION("as it arrives when a place comes free") {
    cells.Run(kNoted);
    const int delay_ms = GENERATE(0, 100, 300, 500);
    INFO("arrives " << delay_ms << " ms later");
    cells.Cancel(filler);
    cells.Run(milliseconds(delay_ms));
    const std::string coming = site.Submit(1);
    cells.Run(kMaxWithRoom);
    CHECK(site.IsRunning(lost));
    CHECK_FALSE(site.IsRunning(coming));
  }
  SECTION("as the owner there was replaced") {
    const std::string waiting = site.Submit(1);
    cells.Run(kNoted);
    cells.cell(1).ReplaceOwner();
    cells.Run(seconds(2));
    cells.Cancel(filler);
    cells.Run(kMaxWithRoom);
    CHECK(site.IsRunning(lost));
    CHECK_FALSE(site.IsRunning(waiting));
  }
  CHECK(cells.Violations().empty());
}

TEST_CASE("a task that never ran waits without need for a lost one elsewhere",
          "[sched]") {
  TwoFullCells site;
  SimulatedCells& cells = site.cells();
  site.Start(0);
  const std::string lost = site.Start(0);
  const std::string filler = site.Start(1);
  site.ExchangeLoads();
  site.Lose(0, lost);
  cells.Run(kNoted);

  SECTION("that does not fit in the free place") {
    cells.cell(1).AddWorkers(1, kCores - 1, 64000, 2000);
    cells.Run(seconds(1));
    const std::string small = site.Submit(1, 2);
    cells.Run(kMaxWithRoom);
    CHECK(site.IsRunning(small));
  }
  SECTION("that leaves enough beside it") {
    cells.cell(1).AddWorkers(1, 2 * kCores, 64000, 2000);
    const std::string small = site.Submit(1, 2);
    cells.Run(kMaxWithRoom);
    CHECK(site.IsRunning(small));
    CHECK(site.IsRunning(lost));
  }
  SECTION("of which the cell is not told any more") {
    cells.load_arrives = [](size_t, size_t) { return false; };
    cells.Run(seconds(3));
    cells.Cancel(filler);
    const std::string coming = site.Submit(1);
    cells.Run(seconds(5));
    CHECK(site.IsRunning(coming));
  }
  CHECK(cells.Violations().empty());
}

struct Moves {
  int count = 0;
  std::string last;  // detail of the last one
};

// Runs the cells and counts how often each task moves.
std::map<TaskName, Moves> CountMoves(SimulatedCells& cells, Duration duration) {
  std::map<TaskName, Moves> moves;
  const TimePoint end = cells.now() + duration;
  while (cells.now() < end) {
    cells.Run(milliseconds(50));
    for (size_t i = 0; i < cells.size(); ++i) {
      for (const Decision& decision :
           cells.cell(i).scheduler().TakeDecisions()) {
        if (decision.event != "run_moved")
          continue;
        ++moves[decision.task].count;
        moves[decision.task].last = decision.detail;
      }
    }
  }
  return moves;
}

TEST_CASE("lost tasks stay in the cell that has many of them", "[sched]") {
  const int gap_ms = GENERATE(0, 50, 300);
  const int lost_in_other = GENERATE(0, 3);
  INFO("workers are lost each " << gap_ms << " ms, in the other cell "
                                << lost_in_other);
  TwoFullCells site;
  SimulatedCells& cells = site.cells();
  std::vector<std::string> lost;
  lost.reserve(kLostInOneCell);
  for (int i = 0; i < kLostInOneCell; ++i)
    lost.push_back(site.Start(0));
  for (int i = 0; i < 8; ++i)
    site.Start(0);
  std::vector<std::string> others;
  others.reserve(static_cast<size_t>(lost_in_other));
  for (int i = 0; i < lost_in_other; ++i)
    others.push_back(site.Start(1));
  for (int i = 0; i < 8; ++i)
    site.Start(1);
  site.ExchangeLoads();

  for (int i = 0; i < kLostInOneCell; ++i) {
    site.Lose(0, lost[static_cast<size_t>(i)]);
    if (i < lost_in_other)
      site.Lose(1, others[static_cast<size_t>(i)]);
    cells.Run(milliseconds(gap_ms));
  }
  CountMoves(cells, milliseconds(0));
  int in_other = lost_in_other;
  for (const auto& [task, moves] : CountMoves(cells, kNoted + seconds(8))) {
    INFO(task.job.value());
    CHECK(moves.count <= 2);
    const bool is_own =
        std::find(lost.begin(), lost.end(), task.job.value()) != lost.end();
    in_other += is_own && moves.last == "to_cell=1" ? 1 : 0;
    in_other -= !is_own && moves.last == "to_cell=0" ? 1 : 0;
  }
  // Both cells have the same capacity.
  CHECK(in_other >= (kLostInOneCell + lost_in_other) / 4);
  CHECK(in_other <= (kLostInOneCell + lost_in_other) * 3 / 4);
  CHECK(cells.Violations().empty());
}

TEST_CASE("tasks move to and fro between full cells", "[sched]") {
  TwoFullCells site;
  SimulatedCells& cells = site.cells();
  std::vector<std::string> lost[2];
  for (size_t cell = 0; cell < 2; ++cell) {
    for (int i = 0; i < kLostInEachCell; ++i)
      lost[cell].push_back(site.Start(cell));
    for (int i = 0; i < 4; ++i)
      site.Start(cell);
  }
  site.ExchangeLoads();
  const int gap_ms = GENERATE(0, 70);
  INFO("workers are lost each " << gap_ms << " ms");
  for (size_t i = 0; i < kLostInEachCell; ++i) {
    site.Lose(0, lost[0][i]);
    site.Lose(1, lost[1][i]);
    cells.Run(milliseconds(gap_ms));
  }
  CountMoves(cells, kNoted);
  // Any span of 10 s.
  for (int i = 0; i < 3; ++i) {
    for (const auto& [task, moves] : CountMoves(cells, seconds(10))) {
      INFO(task.job.value());
      CHECK(moves.count <= 2);
    }
  }
  CHECK(cells.Violations().empty());
}

}  // namespace
}  // namespace cowslipmast::sched
