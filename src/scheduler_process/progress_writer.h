#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_PROGRESS_WRITER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_PROGRESS_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Key of the record that an owner without other records appends. A request
 * without a record would not count in the sequence of its appends. */
inline constexpr std::string_view kProofKey = "owner-proof";

/** Appends the owner's progress records in order. Each accepted append also
 * proves the ownership: no later owner had fenced the stream. */
class ProgressWriter {
 public:
  /** Time since boot at which another process last reached this one; nothing if
   * none did. */
  using HeardAt = std::function<std::optional<TimePoint>()>;

  ProgressWriter(const StorePort& store,
                 CellId cell,
                 Epoch epoch,
                 HeardAt heard_at = nullptr);

  /** Sets the epoch, so that appends of previous owners are refused. Retries
   * until the store answers; false once a later owner has fenced the stream. */
  asio::awaitable<bool> Fence();

  /** Appends a record that only proves the ownership. */
  asio::awaitable<bool> Prove();

  /** Appends records, retrying until the store answers; false once a later
   * owner has fenced the stream. */
  asio::awaitable<bool> Store(std::vector<ProgressRecord> records);

  /** Time since boot at which the latest accepted append was sent. */
  std::optional<TimePoint> proven_at() const { return m_proven_at; }
  /** Stops retrying an append that gets no response. */
  void StopRetrying() { m_stop_retrying = true; }

 private:
  asio::awaitable<bool> AppendUntilAnswered(AppendRequest request);
  std::optional<ProgressRecord> MakeHearingRecord();

  StorePort m_store;
  CellId m_cell;
  Epoch m_epoch;
  HeardAt m_heard_at;
  uint64_t m_hearing_proofs = 0;
  std::optional<TimePoint> m_hearing_proven_at;
  uint64_t m_sequence = 0;
  std::optional<TimePoint> m_proven_at;
  bool m_stop_retrying = false;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_PROGRESS_WRITER_H_
