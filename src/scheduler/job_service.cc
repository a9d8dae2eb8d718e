#include "src/scheduler/job_service.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "cowslipmast/sched/job_codec.h"
#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJobsPath = "/v1/jobs/";
constexpr std::string_view kWaitingPath = "/v1/waiting/";
constexpr std::string_view kRecordsPath = "/v1/records/";

// Of one question to the owner: 25 ms between regions, and a VM that is short
// of processor time.
constexpr Duration kAskTimeout = milliseconds(600);
constexpr Duration kAskAgainAfter = milliseconds(80);
// For the store to answer this process before the record also goes through the
// owner: this process alone may be cut off from the store.
constexpr Duration kOwnAppendFirst = milliseconds(600);
// Callers wait 3 s; the process that forwarded the record gives up before.
constexpr Duration kAnswerRecordWithin = milliseconds(3000);
// Less than this is not worth another attempt.
constexpr Duration kLeastAttempt = milliseconds(100);
// An owner that answered in this time can be expected to answer again.
constexpr Duration kOwnerAnswers = milliseconds(1000);
constexpr Duration kWaitingAge = milliseconds(1000);
// Callers send a submission again for some seconds; a store carries an append
// whose answer was lost out up to 6 s later.
constexpr Duration kRememberUnknown = std::chrono::seconds(60);

struct CachedCount {
  size_t count = 0;
  TimePoint at;
};

// Bytes of a record as the body of a forwarded append.
HttpRequest MakeForward(const KeyedRecord& record) {
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

IntakeResult Worse(IntakeResult a, IntakeResult b) {
  return a == IntakeResult::kUnknown || b == IntakeResult::kUnknown
             ? IntakeResult::kUnknown
             : IntakeResult::kRefused;
}

}  // namespace

struct JobService::Impl : std::enable_shared_from_this<JobService::Impl> {
  Impl(HttpClient& http,
       std::shared_ptr<JobIntake> job_intake,
       std::shared_ptr<OwnerWatch> owner_watch,
       std::function<std::shared_ptr<Cell>()> own_cell)
      : client(http),
        intake(std::move(job_intake)),
        watch(std::move(owner_watch)),
        cell(std::move(own_cell)) {}

  std::optional<Endpoint> OtherOwner() const;
  asio::awaitable<IntakeResult> Store(KeyedRecord record, Duration patience);
  asio::awaitable<IntakeResult> Forward(Endpoint owner,
                                        KeyedRecord record,
                                        Duration patience);
  asio::awaitable<std::optional<HttpResponse>> AskOwner(std::string path,
                                                        TimePoint deadline);
  std::optional<HttpResponse> AnswerQuestion(std::string_view path) const;
  HttpResponse AnswerState(std::string_view id) const;
  HttpResponse AnswerWaiting(std::string_view queue) const;
  asio::awaitable<HttpResponse> AnswerRecord(std::string key,
                                             std::string value);

  HttpClient& client;
  std::shared_ptr<JobIntake> intake;
  std::shared_ptr<OwnerWatch> watch;
  std::function<std::shared_ptr<Cell>()> cell;
  std::map<QueueId, CachedCount> waiting;
  /** Jobs that may be stored although no answer said so. */
  std::map<JobId, TimePoint> unknown;
};

// The owner's address, if another process owns the cell and answers.
std::optional<Endpoint> JobService::Impl::OtherOwner() const {
  const auto owner = watch->owner();
  const auto age = watch->OwnerAnswerAge();
  if (!owner || watch->IsOwner() || !age || *age > kOwnerAnswers)
    return std::nullopt;
  return owner->control;
}

asio::awaitable<IntakeResult> JobService::Impl::Forward(Endpoint owner,
                                                        KeyedRecord record,
                                                        Duration patience) {
  HttpRequest request = MakeForward(record);
  NetError error;
  const auto response =
      co_await client.Call(owner, std::move(request), patience, error);
  if (!response) {
    co_return error.request_sent ? IntakeResult::kUnknown
                                 : IntakeResult::kRefused;
  }
  if (response->status == 200)
    co_return IntakeResult::kStored;
  co_return response->status == 503 ? IntakeResult::kRefused
                                    : IntakeResult::kUnknown;
}

// Stores a record here, or through the owner where this process cannot reach
// the store or the store is slow. The same record stored twice counts once.
asio::awaitable<IntakeResult> JobService::Impl::Store(KeyedRecord record,
                                                      Duration patience) {
  const TimePoint deadline = MonotonicNow() + patience;
  const auto left = [deadline] { return deadline - MonotonicNow(); };
  const auto owner = OtherOwner();
  std::shared_ptr<IntakeTicket> ticket;
  if (intake->IsStoreAnswering() && (!owner || intake->IsStoreQuick())) {
    ticket = intake->Store(record);
    const auto result = co_await AwaitTicket(
        ticket, owner ? std::min(left(), kOwnAppendFirst) : left());
    if (result == IntakeResult::kStored)
      co_return *result;
  }
  IntakeResult forwarded = IntakeResult::kRefused;
  if (owner && left() > kLeastAttempt) {
    const Endpoint& endpoint = *owner;
    forwarded = co_await Forward(endpoint, record, left());
    if (forwarded == IntakeResult::kStored)
      co_return forwarded;
  }
  if (!ticket && intake->IsStoreAnswering() && left() > kLeastAttempt)
    ticket = intake->Store(std::move(record));
  if (!ticket)
    co_return forwarded;
  const auto result = co_await AwaitTicket(ticket, left());
  if (result == IntakeResult::kStored)
    co_return *result;
  co_return Worse(result.value_or(IntakeResult::kUnknown), forwarded);
}

// Asks the owner, which may be this process, until it answers; a change of
// owner takes a few seconds. Nothing after the deadline.
asio::awaitable<std::optional<HttpResponse>> JobService::Impl::AskOwner(
    std::string path,
    TimePoint deadline) {
  while (MonotonicNow() < deadline) {
    const auto owner = watch->owner();
    std::optional<HttpResponse> response;
    if (watch->IsOwner()) {
      response = AnswerQuestion(path);
    } else if (owner) {
      HttpRequest request;
      request.path = path;
      NetError error;
      const Endpoint endpoint = owner->control;
      const Duration left = deadline - MonotonicNow();
      response = co_await client.Call(endpoint, std::move(request),
                                      std::min(left, kAskTimeout), error);
    }
    if (response && response->status != 503)
      co_return response;
    co_await Sleep(kAskAgainAfter);
  }
  co_return std::nullopt;
}

// Answers from the cell that this process owns; nothing for another path.
std::optional<HttpResponse> JobService::Impl::AnswerQuestion(
    std::string_view path) const {
  if (path.starts_with(kJobsPath))
    return AnswerState(path.substr(kJobsPath.size()));
  if (path.starts_with(kWaitingPath))
    return AnswerWaiting(path.substr(kWaitingPath.size()));
  return std::nullopt;
}

HttpResponse JobService::Impl::AnswerState(std::string_view id) const {
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

HttpResponse JobService::Impl::AnswerWaiting(std::string_view queue) const {
  const auto owned = cell();
  if (!owned || !owned->IsCurrent())
    return MakeJsonResponse(503, R"({"error":"not_current"})");
  const size_t count = owned->CountWaiting(QueueId(std::string(queue)));
  return MakeJsonResponse(200, nlohmann::json{{"waiting", count}}.dump());
}

asio::awaitable<HttpResponse> JobService::Impl::AnswerRecord(
    std::string key,
    std::string value) {
  KeyedRecord record{std::move(key), std::move(value)};
  const auto ticket = intake->Store(std::move(record));
  const auto result = co_await AwaitTicket(ticket, kAnswerRecordWithin);
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
    std::shared_ptr<OwnerWatch> watch,
    std::function<std::shared_ptr<Cell>()> cell) {
  return std::shared_ptr<JobService>(new JobService(std::make_shared<Impl>(
      client, JobIntake::Make(io, store), std::move(watch), std::move(cell))));
}

asio::awaitable<IntakeResult> JobService::Submit(JobDefinition spec,
                                                 Duration patience) {
  const auto impl = m_impl;
  const JobId id = spec.id;
  KeyedRecord record{std::string(kJobKeyPrefix) + id.value(), EncodeJob(spec)};
  const IntakeResult result = co_await impl->Store(std::move(record), patience);
  const TimePoint now = MonotonicNow();
  std::erase_if(impl->unknown, [now](const auto& entry) {
    return now - entry.second > kRememberUnknown;
  });
  if (result == IntakeResult::kUnknown)
    impl->unknown[id] = now;
  // A refusal says that the job never runs, which an earlier attempt may have
  // made untrue.
  if (result == IntakeResult::kRefused && impl->unknown.count(id) > 0)
    co_return IntakeResult::kUnknown;
  co_return result;
}

asio::awaitable<IntakeResult> JobService::Cancel(JobId id, Duration patience) {
  KeyedRecord record{std::string(kCancelKeyPrefix) + id.value(), "1"};
  co_return co_await m_impl->Store(std::move(record), patience);
}

asio::awaitable<std::optional<JobState>>
JobService::StateOf(JobId id, Duration patience, QueryError& reason) {
  const auto impl = m_impl;
  const auto answer = co_await impl->AskOwner(
      std::string(kJobsPath) + id.value(), MonotonicNow() + patience);
  reason = answer && answer->status == 404 ? QueryError::kNoSuchJob
                                           : QueryError::kNoOwner;
  if (!answer || answer->status != 200)
    co_return std::nullopt;
  const auto j = nlohmann::json::parse(answer->body, nullptr, false);
  co_return j.is_object() ? StateFromName(j.value("state", "")) : std::nullopt;
}

asio::awaitable<std::optional<size_t>> JobService::CountWaiting(
    QueueId queue,
    Duration patience) {
  const auto impl = m_impl;
  const TimePoint now = MonotonicNow();
  const auto cached = impl->waiting.find(queue);
  if (cached != impl->waiting.end() && now - cached->second.at < kWaitingAge)
    co_return cached->second.count;
  const auto answer = co_await impl->AskOwner(
      std::string(kWaitingPath) + queue.value(), now + patience);
  if (!answer || answer->status != 200)
    co_return std::nullopt;
  const auto j = nlohmann::json::parse(answer->body, nullptr, false);
  if (!j.is_object())
    co_return std::nullopt;
  const auto count = j.value("waiting", size_t{0});
  impl->waiting[queue] = CachedCount{count, now};
  co_return count;
}

asio::awaitable<std::optional<HttpResponse>> JobService::AnswerPeer(
    HttpRequest request) {
  const std::string path(PathWithoutQuery(request.path));
  if (request.method == "POST" && path.starts_with(kRecordsPath)) {
    co_return co_await m_impl->AnswerRecord(path.substr(kRecordsPath.size()),
                                            std::move(request.body));
  }
  co_return m_impl->AnswerQuestion(path);
}

}  // namespace cowslipmast::sched
