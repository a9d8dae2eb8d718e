// Clients that nobody here controls hold connections and memory for as long as
// they like; ordinary callers must still get in.

#include <catch2/catch.hpp>

#include "src/net/connection_choice.h"
#include "src/net/message_budget.h"

namespace cowslipmast {

namespace {

using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

constexpr Time kNow{seconds(1000)};

ConnectionUse Use(ConnectionPhase phase, seconds age, size_t of_address = 1) {
  return {phase, kNow - age, of_address};
}

}  // namespace

TEST_CASE("a crowd of connections keeps an ordinary caller out") {
  SECTION("a connection that has been idle longest gives way") {
    CHECK(ChooseToReplace({Use(ConnectionPhase::kIdle, seconds(3)),
                           Use(ConnectionPhase::kIdle, seconds(9)),
                           Use(ConnectionPhase::kReading, seconds(20))},
                          kNow) == 1);
  }
  SECTION("with an address that has many before one that has few") {
    CHECK(ChooseToReplace({Use(ConnectionPhase::kIdle, seconds(9)),
                           Use(ConnectionPhase::kIdle, seconds(3), 40)},
                          kNow) == 1);
  }
  SECTION("without idle ones a request that has been arriving longest does") {
    CHECK(ChooseToReplace({Use(ConnectionPhase::kHandling, seconds(30)),
                           Use(ConnectionPhase::kReading, seconds(1)),
                           Use(ConnectionPhase::kReading, seconds(2))},
                          kNow) == 2);
  }
  SECTION("then a response that its caller does not read") {
    CHECK(ChooseToReplace({Use(ConnectionPhase::kHandling, seconds(30)),
                           Use(ConnectionPhase::kAnswering, seconds(5))},
                          kNow) == 1);
  }
  SECTION("a request in progress and a fresh response are never cut") {
    CHECK(!ChooseToReplace({Use(ConnectionPhase::kHandling, seconds(30)),
                            Use(ConnectionPhase::kAnswering, seconds(1))},
                           kNow));
  }
}

TEST_CASE("messages that arrive together take all memory") {
  const auto budget = MessageBudget::Make(1000);
  int large_given_up = 0;
  int small_given_up = 0;
  const auto large =
      MessageBudget::Join(budget, [&large_given_up] { ++large_given_up; });
  auto small =
      MessageBudget::Join(budget, [&small_given_up] { ++small_given_up; });

  SECTION("within the budget none is given up") {
    large->SetBytes(900);
    small->SetBytes(100);
    CHECK(budget->given_up() == 0);

    SECTION("beyond it the largest one is, and only once") {
      small->SetBytes(101);
      CHECK(large->is_given_up());
      CHECK(large_given_up == 1);
      small->SetBytes(999);
      large->SetBytes(5000);
      CHECK(large_given_up == 1);
      CHECK(small_given_up == 0);
    }
    SECTION("a part that is returned can be used again") {
      small.reset();
      large->SetBytes(1000);
      CHECK(budget->given_up() == 0);
    }
  }
  SECTION("a complete message is not given up for one that still arrives") {
    large->SetBytes(900);
    large->SetComplete();
    small->SetBytes(200);
    CHECK(!large->is_given_up());
    CHECK(small->is_given_up());
  }
}

}  // namespace cowslipmast
