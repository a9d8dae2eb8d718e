#include "src/daemon/job_api.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "cowslipmast/placement.h"
#include "src/core/strings.h"
#include "src/daemon/job_json.h"
#include "src/daemon/job_view_json.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr Duration kJobAppendTimeout = std::chrono::seconds(5);
constexpr size_t kMaxListedJobs = 1000;

HttpResponse MakeError(uint16_t status,
                       std::string_view error,
                       const std::string& detail) {
  Json body{{"error", std::string(error)}};
  if (!detail.empty())
    body["found"] = detail;
  return MakeJsonResponse(status, body.dump());
}

HttpResponse MakeRetryLater(std::string_view error) {
  HttpResponse response = MakeError(503, error, "");
  response.headers.push_back({"Retry-After", "1"});
  return response;
}

HttpResponse MakeAppendError(const AppendError& reason) {
  // Only a record that was not sent is certain to have no effect.
  return MakeRetryLater(reason.kind == AppendErrorKind::kQueueFull ? "busy"
                                                                   : "unknown");
}

}  // namespace

struct JobApi::Impl {
  Impl(RoleContext& role_context, StateSource state_source)
      : context(role_context), states(std::move(state_source)) {}

  asio::awaitable<HttpResponse> Submit(std::string body);
  asio::awaitable<HttpResponse> Cancel(JobId id);
  asio::awaitable<HttpResponse> HandleJob(HttpRequest request, JobId id);
  asio::awaitable<HttpResponse> HandleCollection(HttpRequest request);
  HttpResponse RefuseSubmission(std::string_view error,
                                const std::string& detail);
  HttpResponse MakeSubmissionResponse(const JobSpec& spec,
                                      uint16_t status) const;
  HttpResponse MakeJobResponse(const JobId& id) const;
  HttpResponse MakeJobListResponse(const std::string& path) const;
  const JobEntry* Find(const JobId& id) const;
  const EndedJob* FindEnded(const JobId& id) const;
  void CountSubmission(const char* result);

  RoleContext& context;
  StateSource states;
  bool draining = false;
};

const JobEntry* JobApi::Impl::Find(const JobId& id) const {
  const auto& jobs = context.control.state().jobs;
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

const EndedJob* JobApi::Impl::FindEnded(const JobId& id) const {
  return FindEndedJob(context.control.state(), id);
}

void JobApi::Impl::CountSubmission(const char* result) {
  ++context.metrics.Counter("cowslipmast_job_submissions_total",
                            {{"result", result}});
}

HttpResponse JobApi::Impl::RefuseSubmission(std::string_view error,
                                            const std::string& detail) {
  CountSubmission("refused");
  return MakeError(422, error, detail);
}

// Response for an id that is in the state: success if it belongs to the same
// job, so that a submission can be retried, a conflict otherwise. An ended job
// matches by id alone, because its specification is not kept.
HttpResponse JobApi::Impl::MakeSubmissionResponse(const JobSpec& spec,
                                                  uint16_t status) const {
  if (const EndedJob* ended = FindEnded(spec.id))
    return MakeJsonResponse(status, EndedJobToJson(*ended).dump());
  const JobEntry* entry = Find(spec.id);
  if (!entry)
    return MakeRetryLater("unknown");
  if (entry->spec != spec)
    return MakeError(409, "another_job_has_this_id", spec.id.value());
  return MakeJsonResponse(status, JobToJson(*entry, nullptr).dump());
}

asio::awaitable<HttpResponse> JobApi::Impl::Submit(std::string body) {
  JobJsonError json_error;
  const std::optional<JobSpec> spec = JobSpecFromJson(body, json_error);
  if (!spec)
    co_return MakeError(400, JobJsonErrorName(json_error.kind), json_error.key);
  if (draining)
    co_return MakeRetryLater("draining");
  if (!context.control.complete() || !context.control_log.caught_up())
    co_return MakeRetryLater("starting");
  if (Find(spec->id) || FindEnded(spec->id))
    co_return MakeSubmissionResponse(*spec, 200);
  SubmissionError error;
  if (!CheckSubmission(*spec, context.control.state().config, error))
    co_return RefuseSubmission(SubmissionErrorName(error.kind), error.found);
  std::vector<Record> records{JobSubmitted{*spec}};
  AppendError reason;
  const bool appended = co_await context.control_log.Append(
      std::move(records), kJobAppendTimeout, reason);
  CountSubmission(appended ? "appended" : "append_failed");
  if (!appended)
    co_return MakeAppendError(reason);
  co_return MakeSubmissionResponse(*spec, 201);
}

asio::awaitable<HttpResponse> JobApi::Impl::Cancel(JobId id) {
  if (FindEnded(id))
    co_return MakeJobResponse(id);
  const JobEntry* entry = Find(id);
  if (!entry)
    co_return MakeError(404, "unknown_job", id.value());
  if (entry->cancelled)
    co_return MakeJobResponse(id);
  std::vector<Record> records{JobCancelled{id}};
  AppendError reason;
  const bool appended = co_await context.control_log.Append(
      std::move(records), kJobAppendTimeout, reason);
  if (!appended)
    co_return MakeAppendError(reason);
  co_return MakeJobResponse(id);
}

HttpResponse JobApi::Impl::MakeJobResponse(const JobId& id) const {
  if (const EndedJob* ended = FindEnded(id))
    return MakeJsonResponse(200, EndedJobToJson(*ended).dump());
  const JobEntry* entry = Find(id);
  if (!entry)
    return MakeError(404, "unknown_job", id.value());
  const DataCentreState* state =
      entry->data_centre ? states(*entry->data_centre) : nullptr;
  return MakeJsonResponse(200, JobToJson(*entry, state).dump());
}

// Paginates by id: `?after=<id>` continues after the last id of a page.
HttpResponse JobApi::Impl::MakeJobListResponse(const std::string& path) const {
  const auto& jobs = context.control.state().jobs;
  const auto after = QueryParameter(path, "after");
  auto next = after ? jobs.upper_bound(JobId(*after)) : jobs.begin();
  Json list = Json::array();
  for (; next != jobs.end() && list.size() < kMaxListedJobs; ++next)
    list.push_back(JobToJson(next->second, nullptr));
  const bool more = next != jobs.end();
  return MakeJsonResponse(
      200, Json{{"jobs", std::move(list)}, {"more", more}}.dump());
}

asio::awaitable<HttpResponse> JobApi::Impl::HandleJob(HttpRequest request,
                                                      JobId id) {
  if (request.method == "GET")
    co_return MakeJobResponse(id);
  if (request.method == "DELETE")
    co_return co_await Cancel(id);
  co_return MakeError(405, "method_not_allowed", request.method);
}

asio::awaitable<HttpResponse> JobApi::Impl::HandleCollection(
    HttpRequest request) {
  if (request.method == "GET")
    co_return MakeJobListResponse(request.path);
  if (request.method == "POST")
    co_return co_await Submit(std::move(request.body));
  co_return MakeError(405, "method_not_allowed", request.method);
}

JobApi::JobApi(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

JobApi::~JobApi() = default;

std::unique_ptr<JobApi> JobApi::Make(RoleContext& context, StateSource states) {
  return std::unique_ptr<JobApi>(
      new JobApi(std::make_unique<Impl>(context, std::move(states))));
}

asio::awaitable<std::optional<HttpResponse>> JobApi::Handle(
    HttpRequest request) {
  const std::string path(PathWithoutQuery(request.path));
  if (path == kJobsPath)
    co_return co_await m_impl->HandleCollection(std::move(request));
  const std::string prefix = std::string(kJobsPath) + "/";
  if (path.compare(0, prefix.size(), prefix) != 0)
    co_return std::nullopt;
  JobId id(path.substr(prefix.size()));
  co_return co_await m_impl->HandleJob(std::move(request), std::move(id));
}

void JobApi::BeginDrain() {
  m_impl->draining = true;
}

}  // namespace cowslipmast
