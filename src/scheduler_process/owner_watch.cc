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

}  // namespace

void NoteClaim(OwnerWatch& watch, TimePoint now) {
  watch = OwnerWatch{.claimed_at = now,
                     .responded_at = now,
                     .silent_since = std::nullopt,
                     .response_timeout = std::nullopt};
}

void NoteResponse(OwnerWatch& watch, Duration response_timeout, TimePoint now) {
  watch.responded_at = now;
  watch.silent_since.reset();
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
