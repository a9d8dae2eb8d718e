#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_STREAM_KEYS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_STREAM_KEYS_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/sched/cell_message.h"

namespace cowslipmast::sched {

/** Keys of the records that others have appended to a cell's job stream, so
 * that they can be deleted once they are needless: the stream keeps each of
 * them for good. */
class JobStreamKeys {
 public:
  /** A transfer, or a report or an end of a part. `iteration` is nothing for a
   * whole job. */
  void Add(const JobRecordKey& key,
           const std::string& text,
           std::optional<uint32_t> iteration);

  /** The cell does not know the job of a record that it has read. */
  void NoteUnknownJob(const JobId& id, TimePoint now);

  /** Takes the keys that name an iteration which has ended. Unless the job was
   * submitted to this cell, it keeps a transfer, from which a later owner knows
   * the job. */
  std::vector<std::string> TakeIteration(const JobId& id,
                                         uint32_t iteration,
                                         bool is_home);

  /** Takes all keys of a job that is deleted. */
  std::vector<std::string> TakeJob(const JobId& id);

  /** Jobs that were unknown when a record of them came, and still are some time
   * later: nothing will be known of them. */
  std::vector<JobId> TakeUnknownJobs(
      TimePoint now,
      const std::function<bool(const JobId&)>& is_known);

 private:
  struct Entry {
    JobRecordKind kind = JobRecordKind::kTransfer;
    std::optional<uint32_t> iteration;
  };

  std::map<JobId, std::map<std::string, Entry>> m_keys;
  std::deque<std::pair<TimePoint, JobId>> m_unknown;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_STREAM_KEYS_H_
