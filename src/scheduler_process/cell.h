#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler_process/manifest.h"
#include "src/scheduler_process/platform_ports.h"
#include "src/scheduler_process/worker_driver.h"

namespace cowslipmast::sched {

struct CellOptions {
  CellId cell;
  CellLayout layout;
  Epoch epoch;
  Duration lease{0};  // of the tasks that run on workers
  bool log_listings = false;
  SchedulerOptions scheduler;
};

/** Callbacks into the process that owns the cell. */
struct CellHooks {
  std::function<const Manifest&()> manifest;
  /** Delay with which this process handles its events. */
  std::function<Duration()> own_lag;
  /** Time since boot at which another process last reached this one; nothing if
   * none did. Empty: the owner stores no proof of it. */
  std::function<std::optional<TimePoint>()> heard_at;
  /** Called once when a later owner has taken over the cell. */
  std::function<void()> on_lost;
};

/** The cell that this process owns: restores its state, plans, and drives its
 * workers until a later owner takes over. */
class Cell {
 public:
  static std::shared_ptr<Cell> Make(asio::io_context& io,
                                    const StorePort& store,
                                    const WorkerPort& workers,
                                    const RecordDecoders& decoders,
                                    const CellOptions& options,
                                    CellHooks hooks);
  ~Cell();

  void Start();
  /** Starts no more tasks; calls in progress have no effect. */
  void Stop();
  /** To be called after the manifest has changed. */
  void OnManifest();

  Epoch epoch() const;
  /** True while the stored state has been read and the stream of jobs is
   * followed closely enough that an unknown id means that there is no such job.
   */
  bool IsCurrent() const;
  /** Age of the last store append that proved this process to be the owner;
   * nothing before the first. */
  std::optional<Duration> ProofAge() const;

  std::optional<JobStatus> StatusOf(const JobId& id) const;
  size_t WorkerCount() const;
  /** Load of the cell, up to 0.2 s old; nothing while `IsCurrent` is false. */
  std::optional<CellLoad> Load() const;
  /** What the cell has learned of the interference between images; empty while
   * `IsCurrent` is false. */
  std::string OwnInterference() const;
  /** What the other cells have learned. */
  void SetPeerInterference(const std::vector<std::string>& encoded);
  /** Loads of all cells; that of this cell is ignored. */
  void SetCellLoads(const std::vector<CellLoad>& loads);
  std::string Dump() const;
  const SchedulerCounters& counters() const;
  /** Long-running tasks that wait longer than they may. */
  WaitingSummary Waiting() const;
  const WorkerCallCounters& calls() const;

 private:
  struct Impl;
  explicit Cell(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_H_
