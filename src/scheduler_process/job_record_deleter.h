#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_RECORD_DELETER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_RECORD_DELETER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cowslipmast/sched/cell.h"
#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Deletes records from the job stream of a cell, in appends of limited size,
 * until the store has taken them. Plans go on meanwhile: the stream takes
 * appends of all processes, and may be late when that of progress is not. */
class JobRecordDeleter {
 public:
  struct Hooks {
    /** Nothing is sent while this is false: another owner may need a record. */
    std::function<bool()> may_delete;
    /** All keys that the stream may have of a job. */
    std::function<std::vector<std::string>(const JobId&)> take_keys;
    /** All records of these jobs are deleted. */
    std::function<void(const std::vector<JobId>&)> on_deleted;
  };

  static std::shared_ptr<JobRecordDeleter> Make(asio::io_context& io,
                                                const StorePort& store,
                                                CellId cell,
                                                Hooks hooks);
  ~JobRecordDeleter();

  void DeleteJobs(const std::vector<JobId>& jobs);
  void DeleteKeys(const std::vector<std::string>& keys);
  /** Drops what is not sent; the next owner of the cell finds it again. */
  void Stop();

 private:
  struct Impl;
  explicit JobRecordDeleter(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_RECORD_DELETER_H_
