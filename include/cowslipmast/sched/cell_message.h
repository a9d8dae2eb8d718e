#ifndef COWSLIPMAST_SCHED_CELL_MESSAGE_H_
#define COWSLIPMAST_SCHED_CELL_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/cell.h"
#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** A task that moves to another cell, and what the next owner must know. */
struct MovedTask {
  uint32_t step = 0;
  uint32_t index = 0;
  RunNumber run;  // later starts must have higher ones
  uint32_t failures = 0;
  std::string checkpoint;
  Duration waited{0};  // for a worker, in all cells so far
  CrashCount crashes = {};
  bool has_run = false;  // a worker has had a run of it

  bool operator==(const MovedTask&) const = default;
};

/** A task of one iteration of a job. */
struct TaskPosition {
  uint32_t step = 0;
  uint32_t index = 0;

  bool operator==(const TaskPosition&) const = default;
};

/** A job, or some of its tasks, that another cell is to run. */
struct JobTransfer {
  JobDefinition job;
  CellId from;
  /** Number of cells that the job has moved through, this one included. */
  uint32_t hop = 0;
  /** How long the whole job has waited for a worker, in all cells so far. */
  Duration waited{0};
  /** Tasks of one iteration that move; empty for a whole job of which no task
   * has started. */
  std::vector<MovedTask> tasks;
  /** Set for a whole job that an earlier version has moved after its start: the
   * tasks that are done; `tasks` has all others. */
  std::optional<std::vector<TaskPosition>> done_tasks = std::nullopt;
  uint32_t iteration = 0;  // of `tasks`
  Duration age{0};         // of that iteration, since it was due
  /** The cell that decides on the job's steps and ends; nothing in records of
   * earlier versions. */
  std::optional<CellId> coordinator = std::nullopt;

  bool operator==(const JobTransfer&) const = default;
};

/** Tells the coordinator of a job which of the moved tasks another cell has
 * done: all of an iteration so far. */
struct PartReport {
  CellId from;
  uint32_t iteration = 0;
  std::vector<TaskPosition> done_tasks;

  bool operator==(const PartReport&) const = default;
};

/** Record for the job stream of another cell. */
struct CellMessage {
  CellId to;
  std::string key;
  std::string value;
  /** Job of which the message tells the end. It is deleted here only after the
   * message is stored. */
  std::optional<JobId> ended_job;
};

/** Kinds of records in a cell's job stream, by the prefix of their key. */
enum class JobRecordKind {
  kSubmission,
  kCancellation,
  kTransfer,
  kEnd,
  kPartReport,
  kPartEnd,
};

struct JobRecordKey {
  JobRecordKind kind = JobRecordKind::kSubmission;
  JobId job;
  /** Of a `kPartEnd` or `kPartReport`; nothing if it is for the whole job. */
  std::optional<uint32_t> iteration = std::nullopt;
};

std::string SubmissionKey(const JobId& job);
std::string CancellationKey(const JobId& job);
/** `part` distinguishes several transfers of tasks of one job; empty for a
 * whole job. */
std::string TransferKey(const JobId& job, std::string_view part);
std::string EndKey(const JobId& job);
/** A newer report of the same cell on the same iteration replaces this one. */
std::string PartReportKey(const JobId& job, uint32_t iteration, CellId from);
/** Without an iteration, the whole job has ended. */
std::string PartEndKey(const JobId& job, std::optional<uint32_t> iteration);
/** Returns nothing for a key of another kind. */
std::optional<JobRecordKey> ParseJobRecordKey(std::string_view key);

/** Leaves the checkpoints out if the record would be too large. */
std::string EncodeTransfer(const JobTransfer& transfer);
/** Returns nothing if the bytes are not a transfer. */
std::optional<JobTransfer> DecodeTransfer(std::string_view bytes);

std::string EncodePartReport(const PartReport& report);
/** Returns nothing if the bytes are not a report. */
std::optional<PartReport> DecodePartReport(std::string_view bytes);

/** State in which a moved job has ended; nothing if the bytes name none. */
std::string EncodeEnd(JobState state);
std::optional<JobState> DecodeEnd(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_CELL_MESSAGE_H_
