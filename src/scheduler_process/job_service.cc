#include "src/scheduler_process/job_service.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "cowslipmast/sched/job_codec.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJobsPath = "/v1/jobs/";
constexpr std::string_view kWaitingPath = "/v1/waiting/";
constexpr std::string_view kRecordsPath = "/v1/records/";

// Of one request to the owner: allows for 25 ms between regions and a VM short
// of processor time.
constexpr Duration kOwnerRequestTimeout = milliseconds(600);
constexpr Duration kOwnerRetryDelay = milliseconds(80);
// After this time the record is also sent through the owner, since only this
// process may be cut off from the store.
constexpr Duration kLocalAppendTimeout = milliseconds(600);
// Callers wait 3 s; the process that forwarded the record times out before
// that.
constexpr Duration kForwardedAppendTimeout = milliseconds(3000);
// No further attempt starts when less time than this remains.
constexpr Duration kMinAttemptTime = milliseconds(100);
// An owner whose last answer is younger than this is expected to answer again.
constexpr Duration kMaxOwnerResponseAgeForForwarding = milliseconds(1000);
constexpr Duration kMaxWaitingCountAge = milliseconds(1000);
// Callers resend a submission for some seconds, and the store may apply an
// append whose response was lost up to 6 s later.
constexpr Duration kUnknownRetention = std::chrono::seconds(60);

struct CachedCount {
  size_t count = 0;
  TimePoint at;
};

// Request that asks another process to append the record.
HttpRequest MakeForwardRequest(const KeyedRecord& record) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kRecordsPath) + record.key;
  request.headers.push_back({"Content-Type", "application/octet-stream"});
  request.body = record.value;
  return request;
}

std::optional<JobState> StateFromName(std::string_view name) {
  for (const JobState state :
       {JobState::kQueued, JobState::kActive, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    if (JobStateName(state) == name)
      return state;
  }
  return std::nullopt;
}

IntakeResult CombineFailures(IntakeResult a, IntakeResult b) {
  return a == IntakeResult::kUnknown || b == IntakeResult::kUnknown
             ? IntakeResult::kUnknown
             : IntakeResult::kRefused;
}

}  // namespace

struct JobService::Impl : std::enable_shared_from_this<JobService::Impl> {
  Impl(HttpClient& http,
       std::shared_ptr<JobIntake> job_intake,
       std::shared_ptr<OwnerElection> owner_election,
       std::function<std::shared_ptr<Cell>()> own_cell)
      : client(http),
        intake(std::move(job_intake)),
        election(std::move(owner_election)),
        cell(std::move(own_cell)) {}

  std::optional<Endpoint> OtherOwner() const;
  asio::awaitable<IntakeResult> Store(KeyedRecord record, Duration timeout);
  asio::awaitable<IntakeResult> Forward(Endpoint owner,
                                        KeyedRecord record,
                                        Duration timeout);
  asio::awaitable<std::optional<HttpResponse>> RequestFromOwner(
      std::string path,
      TimePoint deadline);
  std::optional<HttpResponse> AnswerFromOwnCell(std::string_view path) const;
  HttpResponse StateResponse(std::string_view id) const;
  HttpResponse WaitingCountResponse(std::string_view queue) const;
  asio::awaitable<HttpResponse> HandleForwardedRecord(std::string key,
                                                      std::string value);

  HttpClient& client;
  std::shared_ptr<JobIntake> intake;
  std::shared_ptr<OwnerElection> election;
  std::function<std::shared_ptr<Cell>()> cell;
  std::map<QueueId, CachedCount> waiting;
  /** When a submission last ended without a known result, by job; the job may
   * be stored. */
  std::map<JobId, TimePoint> unknown_outcomes;
};

// Control address of the owner, if that is another process and it answers.
std::optional<Endpoint> JobService::Impl::OtherOwner() const {
  const auto owner = election->owner();
  const auto age = election->OwnerResponseAge();
  if (!owner || election->IsOwner() || !age ||
      *age > kMaxOwnerResponseAgeForForwarding)
    return std::nullopt;
  return owner->control;
}

asio::awaitable<IntakeResult> JobService::Impl::Forward(Endpoint owner,
                                                        KeyedRecord record,
                                                        Duration timeout) {
  HttpRequest request = MakeForwardRequest(record);
  NetError error;
  const auto response =
      co_await client.Call(owner, std::move(request), timeout, error);
  if (!response) {
    co_return error.request_sent ? IntakeResult::kUnknown
                                 : IntakeResult::kRefused;
  }
  if (response->status == 200)
    co_return IntakeResult::kStored;
  co_return response->status == 503 ? IntakeResult::kRefused
                                    : IntakeResult::kUnknown;
}

// Appends the record from this process, or through the owner if this process
// cannot reach the store or the store is slow. A record stored twice has the
// same effect as once.
asio::awaitable<IntakeResult> JobService::Impl::Store(KeyedRecord record,
                                                      Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  const auto remaining = [deadline] { return deadline - MonotonicNow(); };
  const auto owner = OtherOwner();
  std::shared_ptr<PendingRecord> pending;
  if (intake->IsStoreResponding() && (!owner || intake->IsStoreFast())) {
    pending = intake->Append(record);
    const auto result = co_await AwaitResult(
        pending,
        owner ? std::min(remaining(), kLocalAppendTimeout) : remaining());
    if (result == IntakeResult::kStored)
      co_return *result;
  }
  IntakeResult forwarded = IntakeResult::kRefused;
  if (owner && remaining() > kMinAttemptTime) {
    const Endpoint& endpoint = *owner;
    forwarded = co_await Forward(endpoint, record, remaining());
    if (forwarded == IntakeResult::kStored)
      co_return forwarded;
  }
  if (!pending && intake->IsStoreResponding() && remaining() > kMinAttemptTime)
    pending = intake->Append(std::move(record));
  if (!pending)
    co_return forwarded;
  const auto result = co_await AwaitResult(pending, remaining());
  if (result == IntakeResult::kStored)
    co_return *result;
  co_return CombineFailures(result.value_or(IntakeResult::kUnknown), forwarded);
}

// Sends a request to the owner (which may be this process) until it answers, as
// a change of owner takes a few seconds. Returns nothing after the deadline.
asio::awaitable<std::optional<HttpResponse>> JobService::Impl::RequestFromOwner(
    std::string path,
    TimePoint deadline) {
  while (MonotonicNow() < deadline) {
    const auto owner = election->owner();
    std::optional<HttpResponse> response;
    if (election->IsOwner()) {
      response = AnswerFromOwnCell(path);
    } else if (owner) {
      HttpRequest request;
      request.path = path;
      NetError error;
      const Endpoint endpoint = owner->control;
      const Duration remaining = deadline - MonotonicNow();
      response = co_await client.Call(endpoint, std::move(request),
                                      std::min(remaining, kOwnerRequestTimeout),
                                      error);
    }
    if (response && response->status != 503)
      co_return response;
    co_await Sleep(kOwnerRetryDelay);
  }
  co_return std::nullopt;
}

// Responds from the cell that this process owns; nothing for an unknown path.
std::optional<HttpResponse> JobService::Impl::AnswerFromOwnCell(
    std::string_view path) const {
  if (path.starts_with(kJobsPath))
    return StateResponse(path.substr(kJobsPath.size()));
  if (path.starts_with(kWaitingPath))
    return WaitingCountResponse(path.substr(kWaitingPath.size()));
  return std::nullopt;
}

HttpResponse JobService::Impl::StateResponse(std::string_view id) const {
  const auto owned = cell();
  if (!owned)
    return MakeJsonResponse(503, R"({"error":"not_owner"})");
  const auto state = owned->StateOf(JobId(std::string(id)));
  if (state) {
    return MakeJsonResponse(
        200, nlohmann::json{{"state", JobStateName(*state)}}.dump());
  }
  if (!owned->IsCurrent())
    return MakeJsonResponse(503, R"({"error":"not_current"})");
  return MakeJsonResponse(404, R"({"error":"no_such_job"})");
}

HttpResponse JobService::Impl::WaitingCountResponse(
    std::string_view queue) const {
  const auto owned = cell();
  if (!owned || !owned->IsCurrent())
    return MakeJsonResponse(503, R"({"error":"not_current"})");
  const size_t count = owned->CountWaiting(QueueId(std::string(queue)));
  return MakeJsonResponse(200, nlohmann::json{{"waiting", count}}.dump());
}

asio::awaitable<HttpResponse> JobService::Impl::HandleForwardedRecord(
    std::string key,
    std::string value) {
  KeyedRecord record{std::move(key), std::move(value)};
  const auto pending = intake->Append(std::move(record));
  const auto result = co_await AwaitResult(pending, kForwardedAppendTimeout);
  if (result == IntakeResult::kStored)
    co_return MakeJsonResponse(200, "{}");
  if (result == IntakeResult::kRefused)
    co_return MakeJsonResponse(503, R"({"error":"store_unavailable"})");
  co_return MakeJsonResponse(504, R"({"error":"outcome_unknown"})");
}

JobService::JobService(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
JobService::~JobService() = default;

std::shared_ptr<JobService> JobService::Make(
    asio::io_context& io,
    const StorePort& store,
    HttpClient& client,
    std::shared_ptr<OwnerElection> election,
    std::function<std::shared_ptr<Cell>()> cell) {
  return std::shared_ptr<JobService>(new JobService(
      std::make_shared<Impl>(client, JobIntake::Make(io, store),
                             std::move(election), std::move(cell))));
}

asio::awaitable<IntakeResult> JobService::Submit(JobDefinition spec,
                                                 Duration timeout) {
  const auto impl = m_impl;
  const JobId id = spec.id;
  KeyedRecord record{std::string(kJobKeyPrefix) + id.value(), EncodeJob(spec)};
  const IntakeResult result = co_await impl->Store(std::move(record), timeout);
  const TimePoint now = MonotonicNow();
  std::erase_if(impl->unknown_outcomes, [now](const auto& entry) {
    return now - entry.second > kUnknownRetention;
  });
  if (result == IntakeResult::kUnknown)
    impl->unknown_outcomes[id] = now;
  // A refusal promises that the job never runs, but an earlier attempt may have
  // stored it.
  if (result == IntakeResult::kRefused && impl->unknown_outcomes.count(id) > 0)
    co_return IntakeResult::kUnknown;
  co_return result;
}

asio::awaitable<IntakeResult> JobService::Cancel(JobId id, Duration timeout) {
  KeyedRecord record{std::string(kCancelKeyPrefix) + id.value(), "1"};
  co_return co_await m_impl->Store(std::move(record), timeout);
}

asio::awaitable<std::optional<JobState>>
JobService::StateOf(JobId id, Duration timeout, QueryError& reason) {
  const auto impl = m_impl;
  const auto answer = co_await impl->RequestFromOwner(
      std::string(kJobsPath) + id.value(), MonotonicNow() + timeout);
  reason = answer && answer->status == 404 ? QueryError::kNoSuchJob
                                           : QueryError::kNoOwner;
  if (!answer || answer->status != 200)
    co_return std::nullopt;
  const auto j = nlohmann::json::parse(answer->body, nullptr, false);
  const auto state = j.is_object() ? j.find("state") : j.end();
  co_return state != j.end() && state->is_string()
      ? StateFromName(state->get_ref<const std::string&>())
      : std::nullopt;
}

asio::awaitable<std::optional<size_t>> JobService::CountWaiting(
    QueueId queue,
    Duration timeout) {
  const auto impl = m_impl;
  const TimePoint now = MonotonicNow();
  const auto cached = impl->waiting.find(queue);
  if (cached != impl->waiting.end() &&
      now - cached->second.at < kMaxWaitingCountAge)
    co_return cached->second.count;
  const auto answer = co_await impl->RequestFromOwner(
      std::string(kWaitingPath) + queue.value(), now + timeout);
  if (!answer || answer->status != 200)
    co_return std::nullopt;
  const auto j = nlohmann::json::parse(answer->body, nullptr, false);
  if (!j.is_object() || !j.contains("waiting") ||
      !j["waiting"].is_number_unsigned())
    co_return std::nullopt;
  const auto count = j["waiting"].get<size_t>();
  impl->waiting[queue] = CachedCount{count, now};
  co_return count;
}

asio::awaitable<std::optional<HttpResponse>> JobService::HandlePeerRequest(
    HttpRequest request) {
  const std::string path(PathWithoutQuery(request.path));
  if (request.method == "POST" && path.starts_with(kRecordsPath)) {
    co_return co_await m_impl->HandleForwardedRecord(
        path.substr(kRecordsPath.size()), std::move(request.body));
  }
  co_return m_impl->AnswerFromOwnCell(path);
}

}  // namespace cowslipmast::sched
