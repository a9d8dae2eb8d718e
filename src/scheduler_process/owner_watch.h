#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_WATCH_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_WATCH_H_

#include <cstddef>
#include <optional>

#include "cowslipmast/units.h"
#include "src/scheduler_process/hearing_proof.h"

namespace cowslipmast::sched {

/** Between two health checks of a process. With several cells each check goes
 * to the owner of another one, so that an owner gets about the same number of
 * checks in a system of any size. */
inline constexpr Duration kHealthCheckInterval = std::chrono::milliseconds(300);

/** A new owner reads its state and lists all workers; others wait for its
 * responses for at least this long after its claim. */
inline constexpr Duration kOwnerStartupPeriod = std::chrono::milliseconds(4000);

/** A look at the owner's proof of hearing in the store. */
struct ProofLook {
  TimePoint requested_at;
  /** Nothing if the owner is of a version that stores none. */
  std::optional<HearingProof> proof;
};

/** What a process has heard from the owner of a cell. */
struct OwnerWatch {
  TimePoint claimed_at;
  std::optional<TimePoint> responded_at;
  /** When the first request was sent that has not been answered since. */
  std::optional<TimePoint> silent_since;
  /** How long the owner asks others to wait for its responses; nothing before
   * its first one. */
  std::optional<Duration> response_timeout;
  /** Of this silence. */
  std::optional<ProofLook> first_look;
  /** The owner counts as present until then. */
  std::optional<TimePoint> postponed_until;
};

/** A new owner is known. */
void NoteClaim(OwnerWatch& watch, TimePoint now);
void NoteResponse(OwnerWatch& watch, Duration response_timeout, TimePoint now);
/** A request that was sent at `sent_at` got no response. */
void NoteSilence(OwnerWatch& watch, TimePoint sent_at);
/** True if the owner may be claimed to be gone. Meant for owners that are late
 * under load: they must not be replaced by one that has to read everything
 * again. */
bool IsOwnerGone(const OwnerWatch& watch, TimePoint now);
/** To be called with the first look during a silence. */
void NoteFirstLook(OwnerWatch& watch, const ProofLook& look);
/** To be called just before a claim with a look at the store; true if the claim
 * has to wait because only this process does not hear the owner. It has then
 * stored a proof since the first look, and was reached by another process since
 * the silence began. Postpones for a bounded time, since callers of this
 * process cannot reach the cell meanwhile. */
bool PostponeClaim(OwnerWatch& watch, const ProofLook& look, TimePoint now);
/** True for a while after the claim, when the owner has no proof yet. */
bool IsStartingUp(const OwnerWatch& watch, TimePoint now);

/** What the suitability of a process as an owner depends on. */
struct Suitability {
  Duration store_latency{0};
  double cores = 1.0;        // processor share of its VM
  double largest_cores = 0;  // of the owners that are known
  size_t owned_cells = 0;    // that it owns already
  Duration lag{0};           // with which it handles its events
};

/** True if the process has much less processor time than the owners that it
 * knows of: it claims a cell only if none of those does, and checks owners less
 * often. */
bool IsReserve(const Suitability& suitability);

/** How long a process waits before it claims a cell, so that the best suited
 * one comes first: one near the store, with processor time to spare for the
 * cells that it owns and one more. */
Duration ClaimDelay(const Suitability& suitability);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_WATCH_H_
