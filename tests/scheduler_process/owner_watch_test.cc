// Decides when an owner is gone and who claims its cell. Guards against owners
// that are replaced although they are only late or only one path to them is
// silent, against such as keep a cell that nobody can reach, and against small
// VMs that take cells from large ones.

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

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

// An owner in virtual time, as functions of the time since its trouble began.
struct ModelOwner {
  using When = std::function<bool(Duration)>;
  When runs = [](Duration) { return true; };
  When hears_others = [](Duration) { return true; };
  When reaches_store = [](Duration) { return true; };
  When reaches_candidate = [](Duration) { return false; };
  Duration response_time{milliseconds(20)};
  bool stores_proofs = true;  // false: of an earlier version
};

// A process that checks a busy owner as the election does.
struct ModelCandidate {
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kTimeout = milliseconds(400);
  static constexpr Duration kProofInterval = milliseconds(500);
  static constexpr Duration kHeardInterval = milliseconds(150);
  static constexpr Duration kClaimDelay = milliseconds(500);

  ModelCandidate(const ModelOwner& model, Duration check_phase)
      : owner(model), now(check_phase - seconds(3)) {
    NoteClaim(watch, At(now) - seconds(30));
  }

  static TimePoint At(Duration time) { return TimePoint(seconds(100)) + time; }

  void Advance(Duration duration) {
    for (const Duration end = now + duration; now < end; now += kStep) {
      if (!owner.runs(now))
        continue;
      if (owner.hears_others(now) && now - heard_at >= kHeardInterval)
        heard_at = now;
      if (owner.stores_proofs && owner.reaches_store(now) &&
          now - proven_at >= kProofInterval) {
        proven_at = now;
        proof = HearingProof{.epoch = Epoch(1),
                             .number = proof ? proof->number + 1 : 1,
                             .heard_age = now - heard_at};
      }
    }
  }

  bool Check() {
    const Duration sent_at = now;
    const bool answers = owner.runs(now) && owner.reaches_candidate(now) &&
                         owner.response_time < kTimeout;
    Advance(answers ? owner.response_time : kTimeout);
    if (answers)
      NoteResponse(watch, Duration(0), At(now));
    else
      NoteSilence(watch, At(sent_at));
    return answers;
  }

  ProofLook Look() const { return {.requested_at = At(now), .proof = proof}; }

  bool HearsOwnerDuringDelay() {
    for (const Duration end = now + kClaimDelay; now < end;) {
      if (Check())
        return true;
      Advance(kStep);
    }
    return false;
  }

  // Time from the trouble to the claim; nothing if there is none.
  std::optional<Duration> ClaimTime() {
    while (now < seconds(10)) {
      if (!Check()) {
        NoteFirstLook(watch, Look());
        if (IsOwnerGone(watch, At(now)) && !HearsOwnerDuringDelay() &&
            !PostponeClaim(watch, Look(), At(now)))
          return now;
      }
      Advance(kHealthCheckInterval);
    }
    return std::nullopt;
  }

  ModelOwner owner;
  Duration now;
  OwnerWatch watch;
  Duration heard_at = -seconds(4);
  Duration proven_at = -seconds(4);
  std::optional<HearingProof> proof;
};

// With the claim delay of 0.5 s.
constexpr Duration kTakeover = milliseconds(2300);

// The earliest and the latest claim, whenever the checks fall.
struct ClaimTimes {
  bool always = true;
  Duration earliest = seconds(60);
  Duration latest{0};
};

ClaimTimes ClaimTimesOf(const ModelOwner& owner) {
  ClaimTimes times;
  for (int phase = 0; phase < 70; ++phase) {
    const auto claim =
        ModelCandidate(owner, milliseconds(10 * phase)).ClaimTime();
    times.always = times.always && claim.has_value();
    times.earliest = std::min(times.earliest, claim.value_or(seconds(60)));
    times.latest = std::max(times.latest, claim.value_or(Duration(0)));
  }
  return times;
}

TEST_CASE("an owner that one process does not hear", "[scheduler-process]") {
  const auto before = [](Duration time) {
    return [=](Duration now) { return now < time; };
  };
  const auto never_from = [&](Duration time) { return before(time); };
  ModelOwner owner;
  owner.reaches_candidate = before(Duration(0));

  SECTION("loses its cell soon if it is dead") {
    owner.runs = never_from(Duration(0));
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= kTakeover);
  }
  SECTION("loses its cell soon while it is frozen, also if it wakes later") {
    owner.runs = [](Duration now) {
      return now < Duration(0) || now > seconds(3);
    };
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= kTakeover);
  }
  SECTION("keeps its cell if it was frozen for a moment") {
    owner.runs = [](Duration now) {
      return now < Duration(0) || now > milliseconds(700);
    };
    owner.reaches_candidate = [](Duration) { return true; };
    CHECK(ClaimTimesOf(owner).latest == Duration(0));
  }
  SECTION("loses its cell soon if it does not reach the store either") {
    owner.reaches_store = never_from(Duration(0));
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= kTakeover);
  }
  SECTION("loses its cell soon if no process reaches it, whatever it stores") {
    owner.hears_others = never_from(Duration(0));
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= kTakeover);
  }
  SECTION("keeps its cell while only this path is silent") {
    owner.reaches_candidate = [](Duration now) {
      return now < Duration(0) || now > seconds(3);
    };
    CHECK(ClaimTimesOf(owner).latest == Duration(0));

    SECTION("but not from a process that reads no proofs of it") {
      owner.stores_proofs = false;
      const ClaimTimes times = ClaimTimesOf(owner);
      CHECK(times.always);
      CHECK(times.latest <= kTakeover);
    }
  }
  SECTION("loses its cell after a while if its callers here cannot reach it") {
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.earliest >= seconds(4));
    CHECK(times.latest <= seconds(7));
  }
  SECTION("loses its cell if it dies while the path is silent") {
    owner.runs = never_from(seconds(2));
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= seconds(5));
  }
  SECTION("loses its cell if it is cut off while the path is silent") {
    owner.hears_others = never_from(seconds(2));
    const ClaimTimes times = ClaimTimesOf(owner);
    CHECK(times.always);
    CHECK(times.latest <= seconds(6));
  }
  SECTION("keeps its cell while it is slow") {
    owner.reaches_candidate = [](Duration now) {
      return now < Duration(0) || now > seconds(3);
    };
    // It handles the requests of all others, but late.
    owner.hears_others = [](Duration now) {
      return now < Duration(0) || now.count() / 350000 % 2 == 0;
    };
    CHECK(ClaimTimesOf(owner).latest == Duration(0));
  }
}

TEST_CASE("the proof that an owner is reached", "[scheduler-process]") {
  SECTION("is read as it was stored") {
    const auto proof = DecodeHearingProof(EncodeHearingProof(
        {.epoch = Epoch(7), .number = 12, .heard_age = milliseconds(140)}));
    REQUIRE(proof);
    CHECK(proof->epoch == Epoch(7));
    CHECK(proof->number == 12);
    CHECK(proof->heard_age == milliseconds(140));
  }
  SECTION("is none if it cannot be read") {
    CHECK_FALSE(DecodeHearingProof(""));
    CHECK_FALSE(DecodeHearingProof("7"));
    CHECK_FALSE(DecodeHearingProof(R"({"epoch":7,"number":"x"})"));
  }
  SECTION("has a bounded age") {
    const auto proof = DecodeHearingProof(
        R"({"epoch":7,"number":1,"heard_ms":9223372036854775807})");
    REQUIRE(proof);
    CHECK(proof->heard_age == std::chrono::hours(1));
  }
  SECTION("of an earlier owner keeps no cell") {
    const TimePoint start{seconds(100)};
    OwnerWatch watch;
    NoteClaim(watch, start);
    NoteSilence(watch, start + seconds(9));
    const auto look = [&](uint64_t epoch, uint64_t number, Duration after) {
      return ProofLook{.requested_at = start + after,
                       .proof = HearingProof{.epoch = Epoch(epoch),
                                             .number = number,
                                             .heard_age = Duration(0)}};
    };
    NoteFirstLook(watch, look(1, 5, milliseconds(9400)));
    CHECK_FALSE(
        PostponeClaim(watch, look(2, 6, seconds(11)), start + seconds(11)));
    CHECK_FALSE(
        PostponeClaim(watch, look(1, 5, seconds(11)), start + seconds(11)));
    CHECK(PostponeClaim(watch, look(1, 6, seconds(11)), start + seconds(11)));
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
