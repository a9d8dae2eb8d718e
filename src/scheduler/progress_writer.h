#ifndef COWSLIPMAST_SRC_SCHEDULER_PROGRESS_WRITER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROGRESS_WRITER_H_

#include <memory>
#include <optional>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

/** Writes the owner's records, in order, and proves its ownership by that: an
 * append that is taken shows that no later owner had fenced the stream. */
class ProgressWriter {
 public:
  ProgressWriter(const StorePort& store, Epoch epoch);

  /** Sets the epoch, so that earlier owners' appends are refused. False once a
   * later owner has done so; repeats until the store answers. */
  asio::awaitable<bool> Fence();

  /** Stores records; false once a later owner has fenced the stream. */
  asio::awaitable<bool> Store(std::vector<ProgressRecord> records);

  /** When the latest append that was taken was sent. */
  std::optional<TimePoint> proven_at() const { return m_proven_at; }
  /** Ends the repeating of an append that is not answered. */
  void Abandon() { m_abandoned = true; }

 private:
  asio::awaitable<bool> AppendUntilAnswered(AppendRequest request);

  StorePort m_store;
  Epoch m_epoch;
  uint64_t m_sequence = 0;
  std::optional<TimePoint> m_proven_at;
  bool m_abandoned = false;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROGRESS_WRITER_H_
