// Decides when an owner is gone and who claims its cell. Guards against owners
// that are replaced although they are only late, and against small VMs that
// take cells from large ones.

#include <catch2/catch.hpp>

#include "src/scheduler_process/handover.h"
#include "src/scheduler_process/owner_watch.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an owner that does not respond", "[scheduler-process]") {
  const TimePoint start{seconds(100)};
  OwnerWatch watch;
  NoteClaim(watch, start);

  SECTION("is not gone before a request has failed") {
    CHECK_FALSE(IsOwnerGone(watch, start + seconds(60)));
  }
  SECTION("is given 4 s after its claim") {
    NoteSilence(watch, start + seconds(1));
    CHECK_FALSE(IsOwnerGone(watch, start + seconds(3)));
    CHECK(IsOwnerGone(watch, start + seconds(5)));
  }
  SECTION("is given the time that it has asked for") {
    NoteResponse(watch, milliseconds(2500), start + seconds(9));
    NoteSilence(watch, start + seconds(9) + milliseconds(300));
    CHECK_FALSE(IsOwnerGone(watch, start + seconds(11)));
    CHECK(IsOwnerGone(watch, start + seconds(12)));
  }
  SECTION("is not gone because its last check was long ago") {
    // With many cells a process checks each owner every few seconds.
    NoteResponse(watch, milliseconds(700), start + seconds(9));
    NoteSilence(watch, start + seconds(14));
    CHECK_FALSE(IsOwnerGone(watch, start + seconds(14) + milliseconds(400)));
    CHECK(IsOwnerGone(watch, start + seconds(15) + milliseconds(100)));
  }
  SECTION("is heard again after one response") {
    NoteSilence(watch, start + seconds(14));
    NoteResponse(watch, milliseconds(700), start + seconds(15));
    CHECK_FALSE(IsOwnerGone(watch, start + seconds(30)));
  }
}

TEST_CASE("the delay before a claim", "[scheduler-process]") {
  const Suitability large{.store_latency = milliseconds(4),
                          .cores = 0.5,
                          .largest_cores = 0.5,
                          .owned_cells = 0,
                          .lag = Duration(0)};
  Suitability other = large;
  SECTION("is longer for a process that owns a cell") {
    other.owned_cells = 1;
    CHECK(ClaimDelay(other) > ClaimDelay(large));
  }
  SECTION("is longer for a process far from the store") {
    other.store_latency = milliseconds(25);
    CHECK(ClaimDelay(other) > ClaimDelay(large));
  }
  SECTION("is longer for a process that is late") {
    other.lag = milliseconds(300);
    CHECK(ClaimDelay(other) > ClaimDelay(large));
  }
  SECTION("lets large VMs with three cells go before a small one") {
    other.owned_cells = 3;
    Suitability small = large;
    small.cores = 0.069;
    CHECK(IsReserve(small));
    CHECK(ClaimDelay(small) > ClaimDelay(other));
  }
  SECTION("is not longer where all VMs are small") {
    other.cores = 0.1;
    other.largest_cores = 0.1;
    CHECK_FALSE(IsReserve(other));
    CHECK(ClaimDelay(other) < milliseconds(600));
  }
}

TEST_CASE("an owner on a small VM", "[scheduler-process]") {
  const TimePoint now{seconds(100)};
  const auto candidate = [](uint16_t port, Duration delay) {
    return Candidate{.control = {"127.0.0.1", port},
                     .may_claim = true,
                     .uptime = seconds(50),
                     .claim_delay = delay};
  };
  Candidates candidates;
  NoteCandidate(candidates, candidate(1, milliseconds(600)), now);
  SECTION("keeps its cell if no other process suits better") {
    CHECK_FALSE(FindBetterOwner(candidates, milliseconds(580), now));
  }
  SECTION("finds a process that suits much better") {
    NoteCandidate(candidates, candidate(2, milliseconds(130)), now);
    const auto better = FindBetterOwner(candidates, milliseconds(580), now);
    REQUIRE(better);
    CHECK(better->port == 2);
  }
  SECTION("does not offer it to one that was not heard of for a second") {
    NoteCandidate(candidates, candidate(2, milliseconds(130)), now);
    CHECK_FALSE(
        FindBetterOwner(candidates, milliseconds(580), now + seconds(2)));
  }
  SECTION("keeps a bounded number of candidates") {
    // Guards against reports without end, each from another port.
    for (uint16_t port = 10; port < 20000; ++port)
      NoteCandidate(candidates, candidate(port, milliseconds(600)), now);
    CHECK(candidates.last_reports.size() <= 1024);

    SECTION("and still hears those that it knows") {
      NoteCandidate(candidates, candidate(1, milliseconds(130)), now);
      const auto better = FindBetterOwner(candidates, milliseconds(580), now);
      REQUIRE(better);
      CHECK(better->port == 1);
    }
  }
}

TEST_CASE("the report of a candidate", "[scheduler-process]") {
  const auto encode = [](const std::string& address) {
    return EncodeCandidate(Candidate{.control = {address, 7},
                                     .may_claim = true,
                                     .uptime = seconds(50),
                                     .claim_delay = milliseconds(600)});
  };
  SECTION("is read if its address is one") {
    const auto decoded = DecodeCandidate(encode("10.0.0.1"));
    REQUIRE(decoded);
    CHECK(decoded->control.address == "10.0.0.1");
    CHECK(DecodeCandidate(encode("::1")));
  }
  SECTION("is left out otherwise, however long its address") {
    CHECK_FALSE(DecodeCandidate(encode("nowhere")));
    CHECK_FALSE(DecodeCandidate(encode(std::string(200000, '1'))));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
