#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_SERVICE_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/job.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/scheduler_process/cell.h"
#include "src/scheduler_process/job_intake.h"
#include "src/scheduler_process/load_exchange.h"
#include "src/scheduler_process/owner_election.h"

namespace cowslipmast::sched {

/** Why the state of a job is not known. */
enum class QueryError {
  kNoSuchJob,
  kNoOwner,  // no owner answered in time
};

/** Cell that answers for the job; nothing before the layout is known. */
std::optional<CellId> HomeCell(const OwnerElection& election, const JobId& id);

/** Handles job requests on any process: stores accepted jobs and cancellations,
 * and asks the owner for states. */
class JobService {
 public:
  /** `cell` returns a cell that this process owns, or null. */
  static std::shared_ptr<JobService> Make(
      asio::io_context& io,
      const StorePort& store,
      HttpClient& client,
      std::shared_ptr<OwnerElection> election,
      std::shared_ptr<LoadExchange> loads,
      std::function<std::shared_ptr<Cell>(CellId)> cell,
      const SchedulerFeatures& features);
  ~JobService();

  /** Stores the job within `timeout`. */
  asio::awaitable<IntakeResult> Submit(JobDefinition spec, Duration timeout);
  asio::awaitable<IntakeResult> Cancel(JobId id, Duration timeout);
  asio::awaitable<std::optional<JobState>> StateOf(JobId id,
                                                   Duration timeout,
                                                   QueryError& reason);
  /** Number of the queue's jobs that wait for their first task, up to 2 s old;
   * nothing if no owner answered. */
  asio::awaitable<std::optional<size_t>> CountWaiting(QueueId queue,
                                                      Duration timeout);

  /** This process stops: it has answered all callers by then, and refuses at
   * once what comes later. */
  void AnswerAllBefore(TimePoint last);

  /** Handles a request of another process to the control address; nothing if
   * the path is not one of its own. */
  asio::awaitable<std::optional<HttpResponse>> HandlePeerRequest(
      HttpRequest request);

 private:
  struct Impl;
  explicit JobService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_JOB_SERVICE_H_
