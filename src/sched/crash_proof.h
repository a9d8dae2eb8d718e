#ifndef COWSLIPMAST_SRC_SCHED_CRASH_PROOF_H_
#define COWSLIPMAST_SRC_SCHED_CRASH_PROOF_H_

#include <cstdint>
#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

// No job is given up for less than two proven crashes; other ends matter only
// then. Silence, an expired lease and a removal from the platform's list prove
// nothing: a worker that is only partitioned shows the same, and ends its runs
// by itself.

/** Proof that an instance of a worker has ended although it had not announced
 * that it leaves: something else answers in its place. */
class InstanceEndProof {
 public:
  /** To be called when another instance, or another worker at the address, has
   * answered. `start_time_ms` is the ended instance's, 0 if unknown. Returns
   * nothing if that instance had announced that it leaves. */
  static std::optional<InstanceEndProof> Make(const WorkerState& worker,
                                              int64_t start_time_ms);

  const WorkerInstance& ended() const { return m_ended; }

 private:
  explicit InstanceEndProof(WorkerInstance ended) : m_ended(std::move(ended)) {}

  WorkerInstance m_ended;
};

/** Proof that an instance ended while it had the run. */
class CrashProof {
 public:
  /** Returns nothing if the run may not have started on that instance, or may
   * have ended before the instance did. */
  static std::optional<CrashProof> Make(const InstanceEndProof& end,
                                        const RunOnInstance& run);

 private:
  CrashProof() = default;
};

/** True if that instance of the worker had announced that it leaves. */
bool HasAnnouncedLeaving(const WorkerState& worker, int64_t start_time_ms);

/** Keeps an announcement in `info` beyond the entry of the next instance. True
 * if it is new. */
bool NoteLeavingInstance(WorkerState& worker);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CRASH_PROOF_H_
