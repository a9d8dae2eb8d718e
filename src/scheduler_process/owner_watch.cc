#include "src/scheduler_process/owner_watch.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// Time of three unanswered requests in a row. An owner may only ask for longer.
constexpr Duration kMinResponseTimeout = milliseconds(1200);
// Of an owner that has never answered this process: that of a cell of 100
// workers.
constexpr Duration kUnknownResponseTimeout = milliseconds(1900);
// Multiple of the latency of store calls that a candidate waits, so that one
// near the store, with faster appends, comes first.
constexpr int kDelayPerStoreLatency = 12;
constexpr Duration kMaxStoreDelay = milliseconds(1500);
// Milliseconds for one core; the delay is inversely proportional to the cores.
constexpr double kDelayMsTimesCores = 40;
constexpr double kDelayMsTimesCoresPerCell = 60;
constexpr double kMinCores = 0.02;
// Time for the others to find out that a cell has no owner and to claim it.
constexpr Duration kReserveDelay = milliseconds(1500);
constexpr double kReserveShare = 0.5;
// A process that is late itself waits for others first.
constexpr int kDelayPerLag = 4;
constexpr Duration kMaxLagDelay = milliseconds(2000);
// An owner stores its proof every second at least.
constexpr Duration kProofPeriod = milliseconds(1200);
// Three requests of another process in a row would have failed by then.
constexpr Duration kMaxHeardAge = milliseconds(1200);
// Of a silence for which claims are postponed.
constexpr Duration kMaxPostponedSilence = milliseconds(4000);

}  // namespace

void NoteClaim(OwnerWatch& watch, TimePoint now) {
  watch = OwnerWatch{.claimed_at = now,
                     .responded_at = now,
                     .silent_since = std::nullopt,
                     .response_timeout = std::nullopt,
                     .first_look = std::nullopt,
                     .postponed_until = std::nullopt};
}

void NoteResponse(OwnerWatch& watch, Duration response_timeout, TimePoint now) {
  watch.responded_at = now;
  watch.silent_since.reset();
  watch.first_look.reset();
  watch.postponed_until.reset();
  watch.response_timeout = std::max(kMinResponseTimeout, response_timeout);
}

void NoteSilence(OwnerWatch& watch, TimePoint sent_at) {
  if (!watch.silent_since)
    watch.silent_since = sent_at;
}

bool IsStartingUp(const OwnerWatch& watch, TimePoint now) {
  return now - watch.claimed_at < kOwnerStartupPeriod;
}

bool IsOwnerGone(const OwnerWatch& watch, TimePoint now) {
  if (!watch.silent_since)
    return false;
  if (watch.postponed_until && now < *watch.postponed_until)
    return false;
  // The last response may be some seconds old, as other cells were checked
  // since.
  const TimePoint last_heard =
      std::max(watch.responded_at.value_or(watch.claimed_at),
               *watch.silent_since - kHealthCheckInterval);
  const Duration timeout = watch.response_timeout.value_or(
      IsStartingUp(watch, last_heard) ? kOwnerStartupPeriod
                                      : kUnknownResponseTimeout);
  return now - last_heard >= timeout;
}

void NoteFirstLook(OwnerWatch& watch, const ProofLook& look) {
  if (watch.silent_since && !watch.first_look)
    watch.first_look = look;
}

bool PostponeClaim(OwnerWatch& watch, const ProofLook& look, TimePoint now) {
  if (!watch.silent_since || !watch.first_look || !watch.first_look->proof ||
      !look.proof)
    return false;
  const HearingProof& first = *watch.first_look->proof;
  if (look.proof->epoch != first.epoch || look.proof->number <= first.number)
    return false;
  // The proof was made after the first look, so what it has heard within the
  // time from the silence to that look it has heard during the silence.
  const Duration max_heard_age = std::min(
      watch.first_look->requested_at - *watch.silent_since, kMaxHeardAge);
  if (look.proof->heard_age > max_heard_age ||
      now - *watch.silent_since >= kMaxPostponedSilence)
    return false;
  watch.first_look = look;
  watch.postponed_until = now + kProofPeriod;
  return true;
}

bool IsReserve(const Suitability& suitability) {
  return suitability.cores < suitability.largest_cores * kReserveShare;
}

Duration ClaimDelay(const Suitability& suitability) {
  const double ms =
      (kDelayMsTimesCores + kDelayMsTimesCoresPerCell *
                                static_cast<double>(suitability.owned_cells)) /
      std::max(kMinCores, suitability.cores);
  return std::min<Duration>(suitability.store_latency * kDelayPerStoreLatency,
                            kMaxStoreDelay) +
         milliseconds(static_cast<int64_t>(ms)) +
         (IsReserve(suitability) ? kReserveDelay : Duration(0)) +
         std::min<Duration>(suitability.lag * kDelayPerLag, kMaxLagDelay);
}

}  // namespace cowslipmast::sched
