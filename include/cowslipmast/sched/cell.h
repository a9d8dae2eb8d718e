#ifndef COWSLIPMAST_SCHED_CELL_H_
#define COWSLIPMAST_SCHED_CELL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/worker_info.h"

namespace cowslipmast::sched {

/** A set of workers with one owner, and the jobs that run on them; from 0. */
using CellId = Number<struct CellTag>;

/** How jobs and workers are divided into cells; fixed when the system first
 * starts. */
struct CellLayout {
  uint32_t version = 0;  // of all stored records
  uint32_t cells = 0;

  bool operator==(const CellLayout&) const = default;
};

/** Version of the layout that this code reads and writes. */
inline constexpr uint32_t kLayoutVersion = 2;

/** Number of cells for that many workers; at least 1. */
uint32_t ChooseCellCount(size_t workers, size_t workers_per_cell);

/** Cell that accepts the job and answers for it, wherever it runs. */
CellId CellOfJob(const CellLayout& layout, const JobId& id);

/** Cell of all workers of the rack. Racks that are numbered one after the other
 * go to different cells, so that cells have almost equally many. */
CellId CellOfRack(const CellLayout& layout, const RackId& rack);

/** Cell of the worker: that of its rack. */
CellId CellOfWorker(const CellLayout& layout, const WorkerInfo& info);

/** Length of `ServiceLoad::free_pieces` at most. */
inline constexpr size_t kMaxFreePieces = 24;
/** Length of `LabelLoad::free_pieces` at most, and number of labels. */
inline constexpr size_t kMaxLabelPieces = 12;
inline constexpr size_t kMaxLabels = 32;
/** Number of different worker sizes that an owner tells at most. */
inline constexpr size_t kMaxWorkerSizes = 8;

/** The workers of a service that have one label. */
struct LabelLoad {
  std::vector<Resources> free_pieces;   // largest ones, largest first
  std::vector<Resources> reclaimable;   // see `ServiceLoad::reclaimable`
  std::vector<Resources> worker_sizes;  // see `ServiceLoad::worker_sizes`

  bool operator==(const LabelLoad&) const = default;
};

/** Number of lost tasks that an owner tells at most for a service. */
inline constexpr size_t kMaxLostTasks = 24;

/** A long-running task that has lost its run and waits for a worker. */
struct LostTask {
  Resources need;
  uint32_t priority = 0;
  Duration waited{0};      // since it had a run
  std::string label = {};  // that its worker must have; empty for none

  bool operator==(const LostTask&) const = default;
};

/** Use of one service's workers in a cell. Counts only workers that may get new
 * tasks. */
struct ServiceLoad {
  ServiceId service;
  uint32_t workers = 0;
  MilliCores capacity;
  MilliCores reserved;              // by tasks that have a worker
  MilliCores long_running;          // part of `reserved`
  MilliCores waiting;               // short tasks without a worker
  MilliCores waiting_long_running;  // long-running tasks without a worker
  MilliCores waiting_best_effort;   // best-effort tasks without a worker
  MilliCores idle;  // expected to be used by none; may serve best-effort tasks
  std::vector<std::string> labels;  // of the workers, without their racks
  /** Free capacities of single workers: the largest ones, largest first.
   * Without what is kept for tasks that had a run. */
  std::vector<Resources> free_pieces;
  /** Lost tasks of other cells for which free capacity is kept. */
  std::vector<LostTask> kept_places;
  /** As `free_pieces`, with what tasks use there that an overdue long-running
   * one may displace, and with moves of long-running tasks that would leave
   * larger pieces. */
  std::vector<Resources> reclaimable;
  /** Lost tasks that may go to another cell: those that have waited longest,
   * longest first, and the number of all, nothing if unknown. Without those for
   * which capacity is held. */
  std::vector<LostTask> lost_tasks;
  std::optional<uint32_t> lost_task_count;
  /** Capacities of workers, without those that another one exceeds; empty if
   * unknown. */
  std::vector<Resources> worker_sizes;
  /** By label, without racks; empty if unknown. */
  std::map<std::string, LabelLoad> by_label;

  bool operator==(const ServiceLoad&) const = default;
};

/** Number of a queue's unended jobs of which no task has started. */
struct QueueWaiting {
  QueueId queue;
  uint64_t jobs = 0;

  bool operator==(const QueueWaiting&) const = default;
};

/** What an owner tells the owners of other cells. */
struct CellLoad {
  CellId cell;
  std::vector<ServiceLoad> services;
  std::vector<QueueWaiting> waiting;

  bool operator==(const CellLoad&) const = default;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_CELL_H_
