#ifndef COWSLIPMAST_SRC_SCHEDULER_JOB_SERVICE_H_
#define COWSLIPMAST_SRC_SCHEDULER_JOB_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/job.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/scheduler/cell.h"
#include "src/scheduler/job_intake.h"
#include "src/scheduler/owner_watch.h"

namespace cowslipmast::sched {

/** Why a question about a job has no answer. */
enum class QueryError {
  kNoSuchJob,
  kNoOwner,  // no owner answered in time
};

/** Serves jobs on any process: stores what is accepted, and asks the owner for
 * states. */
class JobService {
 public:
  /** `cell` returns the cell that this process owns, or null. */
  static std::shared_ptr<JobService> Make(
      asio::io_context& io,
      const StorePort& store,
      HttpClient& client,
      std::shared_ptr<OwnerWatch> watch,
      std::function<std::shared_ptr<Cell>()> cell);
  ~JobService();

  /** Stores the job within `patience`. */
  asio::awaitable<IntakeResult> Submit(JobDefinition spec, Duration patience);
  asio::awaitable<IntakeResult> Cancel(JobId id, Duration patience);
  asio::awaitable<std::optional<JobState>> StateOf(JobId id,
                                                   Duration patience,
                                                   QueryError& reason);
  /** Jobs of the queue that wait for their first task; may be 1 s old. */
  asio::awaitable<std::optional<size_t>> CountWaiting(QueueId queue,
                                                      Duration patience);

  /** Answers other processes, on the control address; nothing for a path that
   * it does not know. */
  asio::awaitable<std::optional<HttpResponse>> AnswerPeer(HttpRequest request);

 private:
  struct Impl;
  explicit JobService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_JOB_SERVICE_H_
