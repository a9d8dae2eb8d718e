// All processes are killed and return. One of them owns a cell again and is
// asked for the waiting jobs while another cell, whose jobs wait in the store,
// has no owner yet: it said that none wait.

#include <catch2/catch.hpp>

#include "src/scheduler_process/waiting_count.h"

namespace cowslipmast::sched {

TEST_CASE("the waiting jobs of a cell without an owner are not counted") {
  const CellLayout layout{kLayoutVersion, 2};
  const QueueId queue("quotes");
  const CellLoad first{CellId(0), {}, {{queue, 3}, {QueueId("other"), 9}}};
  const CellLoad second{CellId(1), {}, {{queue, 4}}};

  SECTION("while one cell is unknown there is no count") {
    CHECK(!SumWaiting(layout, {first}, queue));
    CHECK(!SumWaiting(layout, {first, first}, queue));
  }
  SECTION("once all are known, only the queue's jobs count") {
    CHECK(SumWaiting(layout, {first, second}, queue) == 7);
  }
  SECTION("a queue without jobs has a count of 0") {
    CHECK(SumWaiting(layout, {first, second}, QueueId("new")) == 0);
  }
  SECTION("a cell that the layout does not have is left out") {
    const CellLoad odd{CellId(7), {}, {{queue, 5}}};
    CHECK(!SumWaiting(layout, {first, odd}, queue));
  }
}

}  // namespace cowslipmast::sched
