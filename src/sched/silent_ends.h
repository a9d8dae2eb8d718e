#ifndef COWSLIPMAST_SRC_SCHED_SILENT_ENDS_H_
#define COWSLIPMAST_SRC_SCHED_SILENT_ENDS_H_

#include <nlohmann/json_fwd.hpp>

#include "src/sched/state.h"

namespace cowslipmast::sched {

// A worker that falls silent just after it started a run may have crashed, or
// may only be partitioned; its next answer tells. Until then the silent end is
// kept with the record of the task, so that a later owner can judge the answer.
// It holds back starts of the task and ends no job by itself.

/** The first member of a gang counts for all of them. */
TaskRef CountedTask(const TaskRef& ref);

/** True if the worker was last heard when the run had just started, by this
 * owner or by an earlier one. */
bool HasJustStarted(const WorkerState& worker, const Task& task);

/** True if the instance gave no sign of life once the run had started. */
bool MayHaveEndedAtStart(const RunOnInstance& run);

/** A request to the worker had no response: records its runs that had just
 * started. */
void NoteSilence(State& state, int32_t worker);

/** The worker answers and has the run. */
void EndSilence(State& state, const TaskRef& ref);

/** The lease of a silent worker has expired under the run. */
void KeepSilentEnd(State& state,
                   int32_t worker,
                   const TaskName& name,
                   const CrashEvidence& evidence);

/** Awaits the worker's next answer for 20 s from `now` on if the run that was
 * kept may have ended at its start. */
void AwaitProof(State& state,
                int32_t worker,
                const TaskName& name,
                TimePoint now);

/** Something answers at the address of the worker: its silent ends are not
 * awaited any more, and are no longer part of the records. */
void EndWaitForProofs(State& state, int32_t worker);

/** A later run has cleared the task. */
void ForgetSilentEnds(State& state, const TaskRef& ref);

/** Encodes the silent ends that await an answer; an empty array if there are
 * none. */
nlohmann::json EncodeSilentEnds(const State& state, const Iteration& iteration);

/** Restores them after the tasks of the iteration. Throws the library's
 * exception if they are malformed. */
void ApplySilentEnds(State& state,
                     Iteration& iteration,
                     const nlohmann::json& stored);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_SILENT_ENDS_H_
