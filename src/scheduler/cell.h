#ifndef COWSLIPMAST_SRC_SCHEDULER_CELL_H_
#define COWSLIPMAST_SRC_SCHEDULER_CELL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler/manifest.h"
#include "src/scheduler/ports.h"
#include "src/scheduler/worker_driver.h"

namespace cowslipmast::sched {

struct CellOptions {
  Epoch epoch;
  Duration lease{0};  // of what runs on workers
  bool log_listings = false;
  SchedulerOptions scheduler;
};

/** What a cell needs from its process. */
struct CellHooks {
  std::function<const Manifest&()> manifest;
  /** A later owner has taken the cell. */
  std::function<void()> on_lost;
};

/** The cell that this process owns, from the claim to its loss. */
class Cell {
 public:
  static std::shared_ptr<Cell> Make(asio::io_context& io,
                                    const StorePort& store,
                                    const WorkerPort& workers,
                                    const RecordReaders& readers,
                                    const CellOptions& options,
                                    CellHooks hooks);
  ~Cell();

  void Start();
  /** Starts nothing more; calls in progress end without effect. */
  void Stop();
  /** The manifest has changed. */
  void OnManifest();

  Epoch epoch() const;
  /** True once the stored state was read and jobs are followed closely enough
   * that an unknown id means that there is no such job. */
  bool IsCurrent() const;
  /** Age of the last proof from the store that this process is the owner. */
  std::optional<Duration> ProofAge() const;

  std::optional<JobState> StateOf(const JobId& id) const;
  size_t CountWaiting(const QueueId& queue) const;
  size_t WorkerCount() const;
  std::string Dump() const;
  const SchedulerCounters& counters() const;
  const WorkerCallCounters& calls() const;

 private:
  struct Impl;
  explicit Cell(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_CELL_H_
