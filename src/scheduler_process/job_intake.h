#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_INTAKE_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_INTAKE_H_

#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/features.h"
#include "cowslipmast/sched/job.h"
#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"
#include "src/scheduler_process/wake_signal.h"

namespace cowslipmast::sched {

enum class IntakeResult {
  kStored,
  kRefused,   // not stored, and never will be
  kTooLarge,  // as `kRefused`: no record can hold it
  kUnknown,   // may have been stored, or may still be
};

/** A record that waits for its append to the store. */
struct PendingRecord {
  PendingRecord(asio::io_context& io, KeyedRecord stored)
      : record(std::move(stored)),
        bytes(record.key.size() + record.value.size()),
        done(io) {}

  KeyedRecord record;  // empty once it has been sent
  size_t bytes;
  WakeSignal done;
  std::optional<IntakeResult> result;  // set when the append has ended
  bool is_sent = false;                // to the store, as part of an append
};

/** Waits up to `limit` for the result; nothing if there is none by then. */
asio::awaitable<std::optional<IntakeResult>> AwaitResult(
    std::shared_ptr<PendingRecord> pending,
    Duration limit);

/** Of records that wait for an append or its result, for all cells. A caller
 * may leave long before its record has been stored. */
inline constexpr size_t kMaxUnstoredBytes = 16 * 1024 * 1024;

/** Appends accepted jobs and cancellations to the store, batching those that
 * arrive during an append. */
class JobIntake {
 public:
  static std::shared_ptr<JobIntake> Make(asio::io_context& io,
                                         const StorePort& store,
                                         const SchedulerFeatures& features);
  ~JobIntake();

  /** Adds a record to the next append to the cell's job stream. Refuses it at
   * once if the records without a result would take more than
   * `kMaxUnstoredBytes`. */
  std::shared_ptr<PendingRecord> Append(CellId cell, KeyedRecord record);

  /** Takes a record back that no append has contained yet, and sets its result
   * to `kRefused`. False if the store may have it. */
  bool Withdraw(CellId cell, PendingRecord& pending);

  /** False shortly after a failed append, when the next one would most likely
   * time out. With the feature `admission` also while an append to any cell has
   * had no response for long. */
  bool IsStoreResponding() const;

  /** False during or shortly after a slow append. The store takes the appends
   * to a cell's stream one after the other, so fewer and larger appends are
   * then faster. */
  bool IsStoreFast() const;

 private:
  struct Impl;
  explicit JobIntake(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_INTAKE_H_
