// Guards against accepted work that no owner knows to wait: a loss that reached
// no record, or a record that a replay reads as something else.

#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Leases that an owner cannot know of have passed, and starts have arrived.
constexpr Duration kMaxWait = seconds(13);

enum class Loss {
  kRestart,    // the worker is back after 1 s
  kRemoved,    // the worker is gone for good
  kSuccessor,  // and another one answers at its address after 1 s
};

enum class Change {
  kReplaced,      // at once, with what is stored
  kPlanStored,    // 300 ms after the last plan was stored
  kPlanNotStored  // 300 ms after the last plan was lost
};

class LossyCell {
 public:
  LossyCell() {
    m_cell.AddWorkers(4, 8, 64000);
    m_cell.SetQueue("urgent", MakePolicy(0, 4));
    m_cell.SetQueue("batch", MakePolicy(2, 4));
    m_cell.restart_delay = seconds(1);
    m_cell.Run(milliseconds(200));
    m_cell.Submit(MakeJob("long", "urgent", {MakeLongRunningStep(8, 2)}));
    StepSpec later = MakeStep(8, 1, 1000, 100);
    later.depends_on = {0};
    m_cell.Submit(
        MakeJob("chain", "batch", {MakeStep(2, 1, 1000, 0.5), later}));
    StepSpec best_effort = MakeStep(8, 1, 1000, 100);
    best_effort.best_effort = true;
    best_effort.checkpointing = true;
    best_effort.image = ImageId("image");
    m_cell.Submit(MakeJob("best-effort", "batch", {best_effort}));
    Run(seconds(2));
  }

  SimulatedCell& cell() { return m_cell; }

  void Lose(size_t worker, Loss loss) {
    if (loss == Loss::kRestart) {
      m_cell.CrashWorker(worker);
      return;
    }
    m_cell.RemoveWorker(worker);
    if (loss == Loss::kSuccessor)
      m_successor_from = m_cell.now() + seconds(1);
    m_lost = m_cell.worker(worker).info.id;
  }

  void ChangeOwner(Change change) {
    if (change != Change::kReplaced) {
      m_cell.RemoveOwner(change == Change::kPlanStored);
      Run(milliseconds(300));
    }
    m_cell.ReplaceOwner();
  }

  void Run(Duration duration) {
    const TimePoint end = m_cell.now() + duration;
    while (m_cell.now() < end) {
      m_cell.Advance();
      if (m_cell.has_owner() && m_successor_from &&
          m_cell.now() >= *m_successor_from &&
          m_cell.scheduler().IsFollowed(m_lost))
        m_cell.scheduler().OnWorkerDead(m_lost, m_cell.now());
    }
  }

  size_t CountRunning() const {
    return m_cell.CountRunning("long") + m_cell.CountRunning("chain") +
           m_cell.CountRunning("best-effort");
  }

 private:
  SimulatedCell m_cell;
  WorkerId m_lost;
  std::optional<TimePoint> m_successor_from;
};

TEST_CASE("lost work never runs again", "[sched][lost]") {
  const auto loss = GENERATE(Loss::kRestart, Loss::kRemoved, Loss::kSuccessor);
  const auto change =
      GENERATE(Change::kReplaced, Change::kPlanStored, Change::kPlanNotStored);
  const int changed_after_ms =
      GENERATE(0, 10, 20, 200, 260, 280, 1000, 1010, 1020, 1040, 6000, 10500);
  INFO("loss " << static_cast<int>(loss) << ", change "
               << static_cast<int>(change) << " after " << changed_after_ms
               << " ms");
  LossyCell lossy;
  REQUIRE(lossy.CountRunning() == 24);
  lossy.Lose(0, loss);
  lossy.Run(milliseconds(changed_after_ms));
  lossy.ChangeOwner(change);

  SECTION("under the next owner") {}
  SECTION("under the one after it") {
    lossy.Run(milliseconds(300));
    lossy.ChangeOwner(change);
  }
  SECTION("under the last of several") {
    for (int i = 0; i < 3; ++i) {
      lossy.Run(seconds(3));
      lossy.ChangeOwner(change);
    }
  }
  lossy.Run(kMaxWait);
  CHECK(lossy.CountRunning() == 24);
  CHECK(lossy.cell().observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
