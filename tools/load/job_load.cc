#include "tools/load/job_load.h"

#include <random>
#include <utility>

#include "standins/common/json.h"

namespace cowslipmast::load {

using standins::Json;

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kCallTimeout = std::chrono::seconds(2);

std::optional<JobOutcome> OutcomeOfState(const std::string& state) {
  if (state == "done")
    return JobOutcome::kDone;
  if (state == "failed" || state == "cancelled")
    return JobOutcome::kFailed;
  return std::nullopt;
}

// Only the placer that owns the job's data centre reports task counts.
std::optional<JobOutcome> OutcomeOfTaskCounts(const Json& tasks) {
  const auto unfinished = standins::UnsignedField(tasks, "unfinished");
  const auto failed = standins::UnsignedField(tasks, "failed");
  if (!unfinished || !failed || *unfinished > 0)
    return std::nullopt;
  return *failed > 0 ? JobOutcome::kFailed : JobOutcome::kDone;
}

// Returns nothing while the job is running. A placer answers 404 if it does not
// know the job yet or has dropped it.
std::optional<JobOutcome> ParseJobOutcome(const HttpResponse& response) {
  if (response.status != 200)
    return std::nullopt;
  const auto body = standins::ParseObject(response.body);
  if (!body)
    return std::nullopt;
  if (body->contains("tasks") && body->at("tasks").is_object())
    return OutcomeOfTaskCounts(body->at("tasks"));
  return OutcomeOfState(standins::StringField(*body, "state").value_or(""));
}

}  // namespace

JobLoadGenerator::JobLoadGenerator(asio::io_context& io,
                                   HttpClient& http,
                                   const JobOptions& options)
    : m_io(io), m_http(http), m_options(options), m_group(io) {
  const std::string prefix = "job-" + std::to_string(std::random_device()());
  for (uint64_t i = 0; i < options.jobs; ++i) {
    JobResult job;
    job.id = prefix + "-" + std::to_string(i);
    job.tasks = options.tasks_per_job;
    m_results.push_back(std::move(job));
  }
}

asio::awaitable<void> JobLoadGenerator::Run() {
  m_deadline = std::chrono::steady_clock::now() + m_options.time_limit;
  for (size_t i = 0; i < m_results.size(); ++i)
    m_group.Spawn(RunJob(i));
  co_await m_group.Wait();
}

asio::awaitable<void> JobLoadGenerator::RunJob(size_t position) {
  const auto start = std::chrono::steady_clock::now();
  if (co_await Submit(position))
    co_await AwaitJobEnd(position);
  m_results[position].time = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - start);
}

// Submits the job until a placer accepts it or refuses it with a 4xx status. A
// submission whose reply was lost is repeated with the same id.
asio::awaitable<bool> JobLoadGenerator::Submit(size_t position) {
  JobResult& job = m_results[position];
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = JobBody(position);
  bool maybe_sent = false;
  while (TimeLeft()) {
    const bool repeated = maybe_sent;
    const auto response = co_await CallPlacer(request, maybe_sent);
    const uint16_t status = response ? response->status : 0;
    if ((status >= 200 && status < 300) || (status == 409 && repeated)) {
      job.accepted = true;
      job.outcome = JobOutcome::kUnfinished;
      co_return true;
    }
    if (status >= 400 && status < 500) {
      job.outcome = JobOutcome::kRefused;
      co_return false;
    }
    co_await Pause();
  }
  co_return false;
}

asio::awaitable<bool> JobLoadGenerator::AwaitJobEnd(size_t position) {
  JobResult& job = m_results[position];
  HttpRequest request;
  request.path = "/v1/jobs/" + job.id;
  bool ignored = false;
  while (TimeLeft()) {
    const auto response = co_await CallPlacer(request, ignored);
    if (const auto end = response ? ParseJobOutcome(*response) : std::nullopt) {
      job.outcome = *end;
      co_return true;
    }
    co_await Pause();
  }
  co_return false;
}

asio::awaitable<std::optional<HttpResponse>> JobLoadGenerator::CallPlacer(
    HttpRequest request,
    bool& maybe_sent) {
  const Endpoint placer =
      m_options.placers[m_next_placer++ % m_options.placers.size()];
  NetError error;
  auto response =
      co_await m_http.Call(placer, std::move(request), kCallTimeout, error);
  maybe_sent = maybe_sent || response || error.request_sent;
  co_return response;
}

asio::awaitable<void> JobLoadGenerator::Pause() {
  asio::steady_timer timer(m_io, kPollInterval);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string JobLoadGenerator::JobBody(size_t position) const {
  const bool urgent =
      m_options.urgent_every > 0 && position % m_options.urgent_every == 0;
  Json body = {{"id", m_results[position].id},
               {"team", m_options.team},
               {"kind", m_options.kind},
               {"task_count", m_options.tasks_per_job},
               {"resources",
                {{"cpu_millis", m_options.cpu_millis},
                 {"memory_mib", m_options.memory_mib},
                 {"accelerators", m_options.accelerators}}},
               {"run_ms", m_options.run_ms},
               {"urgent", urgent},
               {"data_centres", Json::array()}};
  if (!m_options.data_centres.empty())
    body["data_centres"] =
        m_options.data_centres[position % m_options.data_centres.size()];
  return body.dump();
}

bool JobLoadGenerator::TimeLeft() const {
  return std::chrono::steady_clock::now() < m_deadline;
}

}  // namespace cowslipmast::load
