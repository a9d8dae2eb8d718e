#ifndef COWSLIPMAST_SRC_SCHED_LEASE_NOTES_H_
#define COWSLIPMAST_SRC_SCHED_LEASE_NOTES_H_

#include <string_view>

#include "src/sched/state.h"

namespace cowslipmast::sched {

// A later owner cannot know when the owner before it last extended the lease of
// a worker that is silent, so it would wait for the longest possible lease. An
// owner therefore stores how long the leases of silent workers with tasks still
// last at most. From then on it does not extend such a lease before a record
// without the worker is stored. The time left is counted from when it is read,
// so that the clocks of the owners need not agree.

/** Key of the record, beside the progress of the jobs. */
inline constexpr std::string_view kLeaseNotesKey = "leases";

/** Adds the record to the plan if it has changed or is too old. */
void EncodeLeaseNotes(State& state, TimePoint now, Plan& plan);

/** The plan's records are stored. */
void HandleStoredLeaseNotes(State& state);

/** Reads the record of the owner before. False if it is malformed. */
bool ApplyLeaseNotes(State& state, const std::string& value);

/** Ends the replay: counts the time left from `now` on. */
void RestoreLeaseNotes(State& state, TimePoint now);

/** True if a stored record, or one that may be stored, says that the worker's
 * lease is not extended. */
bool IsLeaseNoted(const State& state, const WorkerId& worker);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LEASE_NOTES_H_
