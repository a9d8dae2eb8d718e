#ifndef COWSLIPMAST_TOOLS_LOAD_JOB_LOAD_H_
#define COWSLIPMAST_TOOLS_LOAD_JOB_LOAD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "tools/load/coroutine_group.h"
#include "tools/load/options.h"

namespace cowslipmast::load {

/** Outcome of a job submission. */
enum class JobOutcome { kNotAccepted, kRefused, kUnfinished, kDone, kFailed };

struct JobResult {
  std::string id;
  uint64_t tasks = 0;
  bool accepted = false;
  JobOutcome outcome = JobOutcome::kNotAccepted;
  Duration time{0};  // from submission to the end of the job
};

/** Submits batch jobs and waits until they are done. `http` and `options` must
 * outlive it. */
class JobLoadGenerator {
 public:
  JobLoadGenerator(asio::io_context& io,
                   HttpClient& http,
                   const JobOptions& options);

  /** Returns once all jobs have ended or the time limit is reached. */
  asio::awaitable<void> Run();
  const std::vector<JobResult>& results() const { return m_results; }

 private:
  asio::awaitable<void> RunJob(size_t position);
  asio::awaitable<bool> Submit(size_t position);
  asio::awaitable<bool> AwaitJobEnd(size_t position);
  asio::awaitable<std::optional<HttpResponse>> CallPlacer(HttpRequest request,
                                                          bool& maybe_sent);
  asio::awaitable<void> Pause();
  std::string JobBody(size_t position) const;
  bool TimeLeft() const;

  asio::io_context& m_io;
  HttpClient& m_http;
  const JobOptions& m_options;
  CoroutineGroup m_group;
  std::chrono::steady_clock::time_point m_deadline;
  size_t m_next_placer = 0;
  std::vector<JobResult> m_results;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_JOB_LOAD_H_
