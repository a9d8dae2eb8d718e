#include "src/scheduler_process/job_service.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "cowslipmast/sched/cell_message.h"
#include "cowslipmast/sched/job_codec.h"
#include "src/core/strings.h"
#include "src/net/descriptors.h"
#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/owner_watch.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

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
// A record that no append contains after this time is taken back, while its
// caller has time for another attempt.
constexpr Duration kMaxWaitForAppend = milliseconds(1500);
// Header of a forwarded record: how long the sender waits for the response.
constexpr std::string_view kTimeLeftHeader = "X-Time-Left-Ms";
// Part of that time that the response needs on its way.
constexpr Duration kForwardResponseMargin = milliseconds(100);
// No further attempt starts when less time than this remains.
constexpr Duration kMinAttemptTime = milliseconds(100);
// An owner whose last answer is younger than this is expected to answer again.
constexpr Duration kMaxOwnerResponseAgeForForwarding = milliseconds(1000);
constexpr Duration kMaxWaitingCountAge = milliseconds(1000);
// A job moves to another cell when it waits there, four times at most.
constexpr int kMaxRedirects = 5;
// Callers resend a submission for some seconds, and the store may apply an
// append whose response was lost up to 6 s later.
constexpr Duration kUnknownRetention = std::chrono::seconds(60);

// Requests of callers that other processes are handling, each with a connection
// of its own, and the part of them that one owner may have.
constexpr size_t kMaxOwnerRequests = 512;
constexpr size_t kDescriptorsPerOwnerRequest = 8;
constexpr size_t kOwnersWithAllRequests = 2;

struct CachedCount {
  size_t count = 0;
  TimePoint at;
};

// Request that asks another process to append the record.
HttpRequest MakeForwardRequest(CellId cell, const KeyedRecord& record) {
  HttpRequest request;
  request.method = "POST";
  request.path = MakeCellPath(cell, std::string(kRecordsResource) + record.key);
  request.headers.push_back({"Content-Type", "application/octet-stream"});
  request.body = record.value;
  return request;
}

// How long to wait for a forwarded record, by the time that its sender has.
Duration ForwardedAppendTimeout(const HttpRequest& request) {
  const auto header = FindHeader(request.headers, std::string(kTimeLeftHeader));
  const auto left = header ? ParseUnsigned(*header) : std::nullopt;
  if (!left)
    return kForwardedAppendTimeout;
  const Duration limit = milliseconds(std::min<uint64_t>(*left, 10000));
  return std::clamp<Duration>(limit - kForwardResponseMargin, kMinAttemptTime,
                              kForwardedAppendTimeout);
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

// What an owner says of a job.
struct StateAnswer {
  JobState state = JobState::kQueued;
  std::optional<CellId> moved_to;
};

std::optional<StateAnswer> DecodeStateAnswer(std::string_view body) {
  const auto j = nlohmann::json::parse(body, nullptr, false);
  const auto name = j.is_object() ? j.find("state") : j.end();
  if (name == j.end() || !name->is_string())
    return std::nullopt;
  const auto state = StateFromName(name->get_ref<const std::string&>());
  if (!state)
    return std::nullopt;
  StateAnswer answer{*state, std::nullopt};
  const auto cell = j.find("moved_to");
  if (cell != j.end() && cell->is_number_unsigned())
    answer.moved_to = CellId(cell->get<uint64_t>());
  return answer;
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
       std::shared_ptr<LoadExchange> load_exchange,
       std::function<std::shared_ptr<Cell>(CellId)> own_cell,
       const SchedulerFeatures& enabled)
      : client(http),
        intake(std::move(job_intake)),
        election(std::move(owner_election)),
        loads(std::move(load_exchange)),
        cell(std::move(own_cell)),
        features(enabled) {}

  /** The deadline, or an earlier end of this process. */
  TimePoint Limit(TimePoint deadline) const {
    return last_answer ? std::min(deadline, *last_answer) : deadline;
  }
  std::optional<Endpoint> OtherOwner(CellId id) const;
  asio::awaitable<IntakeResult> Store(CellId id,
                                      KeyedRecord record,
                                      Duration timeout);
  asio::awaitable<std::optional<IntakeResult>> AppendOrWithdraw(
      CellId id,
      std::shared_ptr<PendingRecord> pending,
      Duration limit);
  asio::awaitable<IntakeResult> Forward(Endpoint owner,
                                        CellId id,
                                        KeyedRecord record,
                                        Duration timeout);
  asio::awaitable<std::optional<HttpResponse>> CallOwner(Endpoint owner,
                                                         HttpRequest request,
                                                         Duration timeout,
                                                         NetError& reason);
  asio::awaitable<std::optional<HttpResponse>>
  RequestFromOwner(CellId id, std::string path, TimePoint deadline);
  std::optional<HttpResponse> AnswerFromOwnCell(std::string_view path) const;
  HttpResponse StateResponse(CellId id, std::string_view job) const;
  HttpResponse WaitingCountResponse(std::string_view queue) const;
  asio::awaitable<HttpResponse> HandleForwardedRecord(CellId id,
                                                      std::string key,
                                                      std::string value,
                                                      Duration timeout);

  HttpClient& client;
  std::shared_ptr<JobIntake> intake;
  std::shared_ptr<OwnerElection> election;
  std::shared_ptr<LoadExchange> loads;
  std::function<std::shared_ptr<Cell>(CellId)> cell;
  SchedulerFeatures features;
  /** Requests to other owners without a response yet, by control address. */
  std::map<Endpoint, size_t> owner_requests;
  size_t all_owner_requests = 0;
  size_t max_owner_requests =
      std::min(kMaxOwnerRequests,
               PartOfDescriptors(kDescriptorsPerOwnerRequest));
  // Cell whose owner is asked for waiting counts; another one after a failure.
  uint64_t next_counting_cell = 0;
  std::map<QueueId, CachedCount> waiting;
  /** When a submission last ended without a known result, by job; the job may
   * be stored. */
  std::map<JobId, TimePoint> unknown_outcomes;
  /** When this process stops: it answers all requests before. */
  std::optional<TimePoint> last_answer;
  /** Number of attempts to submit a job that have no result yet. */
  std::map<JobId, size_t> open_attempts;
};

// Control address of the cell's owner, if that is another process that is
// expected to answer.
std::optional<Endpoint> JobService::Impl::OtherOwner(CellId id) const {
  const auto owner = election->owner(id);
  const auto age = election->OwnerResponseAge(id);
  const auto layout = election->layout();
  // Each cell's owner is checked in turn.
  const int64_t cells = layout ? layout->cells : 1;
  if (!owner || owner->released || election->IsOwner(id) || !age ||
      *age > kMaxOwnerResponseAgeForForwarding +
                 kHealthCheckInterval * (cells - 1))
    return std::nullopt;
  return owner->control;
}

// Fails at once, and sends nothing, beyond the number of requests at a time: an
// owner that does not answer must not take the descriptors of all other calls.
asio::awaitable<std::optional<HttpResponse>> JobService::Impl::CallOwner(
    Endpoint owner,
    HttpRequest request,
    Duration timeout,
    NetError& reason) {
  const auto self = shared_from_this();
  const size_t max_of_owner =
      std::max<size_t>(1, max_owner_requests / kOwnersWithAllRequests);
  const auto open = owner_requests.find(owner);
  if (all_owner_requests >= max_owner_requests ||
      (open != owner_requests.end() && open->second >= max_of_owner)) {
    reason = {NetErrorKind::kConnectFailed, false, "too many requests at once"};
    co_return std::nullopt;
  }
  ++owner_requests[owner];
  ++all_owner_requests;
  const auto end_request = absl::MakeCleanup([this, owner] {
    --all_owner_requests;
    if (--owner_requests[owner] == 0)
      owner_requests.erase(owner);
  });
  auto response =
      co_await client.Call(owner, std::move(request), timeout, reason);
  co_return response;
}

asio::awaitable<IntakeResult> JobService::Impl::Forward(Endpoint owner,
                                                        CellId id,
                                                        KeyedRecord record,
                                                        Duration timeout) {
  HttpRequest request = MakeForwardRequest(id, record);
  if (features.admission)
    request.headers.push_back(
        {std::string(kTimeLeftHeader), std::to_string(ToMillis(timeout))});
  NetError error;
  const auto response =
      co_await CallOwner(owner, std::move(request), timeout, error);
  if (!response) {
    co_return error.request_sent ? IntakeResult::kUnknown
                                 : IntakeResult::kRefused;
  }
  if (response->status == 200)
    co_return IntakeResult::kStored;
  co_return response->status == 503 ? IntakeResult::kRefused
                                    : IntakeResult::kUnknown;
}

// Waits for the record's append. A record that waits for its turn for too long
// is taken back instead, and refused.
asio::awaitable<std::optional<IntakeResult>> JobService::Impl::AppendOrWithdraw(
    CellId id,
    std::shared_ptr<PendingRecord> pending,
    Duration limit) {
  if (!features.admission)
    co_return co_await AwaitResult(pending, limit);
  const TimePoint deadline = MonotonicNow() + limit;
  auto result =
      co_await AwaitResult(pending, std::min(limit, kMaxWaitForAppend));
  if (result || intake->Withdraw(id, *pending))
    co_return pending->result;
  co_return co_await AwaitResult(pending, deadline - MonotonicNow());
}

// Appends the record from this process, or through the owner if this process
// cannot reach the store or the store is slow. A record stored twice has the
// same effect as once.
asio::awaitable<IntakeResult> JobService::Impl::Store(CellId id,
                                                      KeyedRecord record,
                                                      Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  const auto remaining = [this, deadline] {
    return Limit(deadline) - MonotonicNow();
  };
  // Nothing has been sent anywhere yet.
  if (remaining() <= Duration(0))
    co_return IntakeResult::kRefused;
  const auto owner = OtherOwner(id);
  std::shared_ptr<PendingRecord> pending;
  if (intake->IsStoreResponding() && (!owner || intake->IsStoreFast())) {
    pending = intake->Append(id, record);
    const auto result = co_await AppendOrWithdraw(
        id, pending,
        owner ? std::min(remaining(), kLocalAppendTimeout) : remaining());
    if (result == IntakeResult::kStored)
      co_return *result;
    // The store has nothing of a refused record, which may be sent again.
    if (features.admission && result == IntakeResult::kRefused)
      pending.reset();
  }
  IntakeResult forwarded = IntakeResult::kRefused;
  if (owner && remaining() > kMinAttemptTime) {
    const Endpoint& endpoint = *owner;
    forwarded = co_await Forward(endpoint, id, record, remaining());
    if (forwarded == IntakeResult::kStored)
      co_return forwarded;
  }
  if (!pending && intake->IsStoreResponding() && remaining() > kMinAttemptTime)
    pending = intake->Append(id, std::move(record));
  if (!pending)
    co_return forwarded;
  const auto result = co_await AppendOrWithdraw(id, pending, remaining());
  if (result == IntakeResult::kStored)
    co_return *result;
  co_return CombineFailures(result.value_or(IntakeResult::kUnknown), forwarded);
}

// Sends a request to the cell's owner (which may be this process) until it
// answers, as a change of owner takes a few seconds. Returns nothing after the
// deadline.
asio::awaitable<std::optional<HttpResponse>> JobService::Impl::RequestFromOwner(
    CellId id,
    std::string path,
    TimePoint deadline) {
  while (MonotonicNow() < Limit(deadline)) {
    const auto owner = election->owner(id);
    std::optional<HttpResponse> response;
    if (election->IsOwner(id)) {
      response = AnswerFromOwnCell(path);
    } else if (owner) {
      HttpRequest request;
      request.path = path;
      NetError error;
      const Endpoint endpoint = owner->control;
      const Duration remaining = Limit(deadline) - MonotonicNow();
      response =
          co_await CallOwner(endpoint, std::move(request),
                             std::min(remaining, kOwnerRequestTimeout), error);
    }
    if (response && response->status != 503)
      co_return response;
    co_await Sleep(kOwnerRetryDelay);
  }
  co_return std::nullopt;
}

// Responds from the cells that this process owns; nothing for an unknown path.
std::optional<HttpResponse> JobService::Impl::AnswerFromOwnCell(
    std::string_view path) const {
  if (path.starts_with(kWaitingPath))
    return WaitingCountResponse(path.substr(kWaitingPath.size()));
  const auto cell_path = ParseCellPath(path);
  if (cell_path && cell_path->resource.starts_with(kJobsResource))
    return StateResponse(cell_path->cell,
                         cell_path->resource.substr(kJobsResource.size()));
  return std::nullopt;
}

HttpResponse JobService::Impl::StateResponse(CellId id,
                                             std::string_view job) const {
  const auto owned = cell(id);
  if (!owned)
    return MakeJsonResponse(503, R"({"error":"not_owner"})");
  const auto status = owned->StatusOf(JobId(std::string(job)));
  if (status) {
    nlohmann::json j = {{"state", JobStateName(status->state)}};
    if (status->moved_to)
      j["moved_to"] = status->moved_to->value();
    return MakeJsonResponse(200, j.dump());
  }
  if (!owned->IsCurrent())
    return MakeJsonResponse(503, R"({"error":"not_current"})");
  return MakeJsonResponse(404, R"({"error":"no_such_job"})");
}

HttpResponse JobService::Impl::WaitingCountResponse(
    std::string_view queue) const {
  const auto count = loads->CountWaiting(QueueId(std::string(queue)));
  if (!count)
    return MakeJsonResponse(503, R"({"error":"not_current"})");
  return MakeJsonResponse(200, nlohmann::json{{"waiting", *count}}.dump());
}

asio::awaitable<HttpResponse> JobService::Impl::HandleForwardedRecord(
    CellId id,
    std::string key,
    std::string value,
    Duration timeout) {
  KeyedRecord record{std::move(key), std::move(value)};
  const auto layout = election->layout();
  if (!ParseJobRecordKey(record.key) || !layout || id.value() >= layout->cells)
    co_return MakeJsonResponse(400, R"({"error":"bad_record"})");
  if (features.admission && !intake->IsStoreResponding())
    co_return MakeJsonResponse(503, R"({"error":"store_unavailable"})");
  const auto pending = intake->Append(id, std::move(record));
  const auto result = co_await AppendOrWithdraw(id, pending, timeout);
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
    std::shared_ptr<LoadExchange> loads,
    std::function<std::shared_ptr<Cell>(CellId)> cell,
    const SchedulerFeatures& features) {
  return std::shared_ptr<JobService>(new JobService(std::make_shared<Impl>(
      client, JobIntake::Make(io, store, features), std::move(election),
      std::move(loads), std::move(cell), features)));
}

std::optional<CellId> HomeCell(const OwnerElection& election, const JobId& id) {
  const auto layout = election.layout();
  return layout ? std::optional(CellOfJob(*layout, id)) : std::nullopt;
}

asio::awaitable<IntakeResult> JobService::Submit(JobDefinition spec,
                                                 Duration timeout) {
  const auto impl = m_impl;
  const JobId id = spec.id;
  KeyedRecord record{SubmissionKey(id), EncodeJob(spec)};
  if (record.value.size() > kMaxJobBytes)
    co_return IntakeResult::kTooLarge;
  const auto home = HomeCell(*impl->election, id);
  if (!home)
    co_return IntakeResult::kRefused;
  ++impl->open_attempts[id];
  const auto end_attempt = absl::MakeCleanup([impl, id] {
    if (--impl->open_attempts[id] == 0)
      impl->open_attempts.erase(id);
  });
  const IntakeResult result =
      co_await impl->Store(*home, std::move(record), timeout);
  const bool is_only_attempt = impl->open_attempts[id] == 1;
  const TimePoint now = MonotonicNow();
  std::erase_if(impl->unknown_outcomes, [now](const auto& entry) {
    return now - entry.second > kUnknownRetention;
  });
  if (result == IntakeResult::kUnknown)
    impl->unknown_outcomes[id] = now;
  // A refusal promises that the job never runs, but another attempt may have
  // stored it.
  if (result == IntakeResult::kRefused &&
      (!is_only_attempt || impl->unknown_outcomes.count(id) > 0))
    co_return IntakeResult::kUnknown;
  co_return result;
}

asio::awaitable<IntakeResult> JobService::Cancel(JobId id, Duration timeout) {
  const auto impl = m_impl;
  const auto home = HomeCell(*impl->election, id);
  if (!home)
    co_return IntakeResult::kRefused;
  KeyedRecord record{CancellationKey(id), "1"};
  co_return co_await impl->Store(*home, std::move(record), timeout);
}

// Asks the cell that accepted the job, then those that it has moved to. While
// the next cell does not answer or does not know the job yet, the state that
// the last one knows holds.
asio::awaitable<std::optional<JobState>>
JobService::StateOf(JobId id, Duration timeout, QueryError& reason) {
  const auto impl = m_impl;
  const TimePoint deadline = MonotonicNow() + timeout;
  reason = QueryError::kNoOwner;
  std::optional<JobState> state;
  std::optional<CellId> next = HomeCell(*impl->election, id);
  for (int i = 0; next && i < kMaxRedirects; ++i) {
    const CellId asked = *next;
    next.reset();
    // A later cell must not use up the time of an answer that is known.
    const Duration limit = state ? kOwnerRequestTimeout : timeout;
    const auto response = co_await impl->RequestFromOwner(
        asked, MakeCellPath(asked, std::string(kJobsResource) + id.value()),
        std::min(deadline, MonotonicNow() + limit));
    if (response && response->status == 404 && !state)
      reason = QueryError::kNoSuchJob;
    if (!response || response->status != 200)
      break;
    const auto answer = DecodeStateAnswer(response->body);
    if (!answer)
      break;
    state = answer->state;
    next = answer->moved_to;
  }
  co_return state;
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
  const TimePoint deadline = now + timeout;
  while (MonotonicNow() < impl->Limit(deadline)) {
    const auto layout = impl->election->layout();
    if (!layout)
      co_return std::nullopt;
    const std::vector<CellId> owned = impl->election->OwnedCells();
    const CellId asked = owned.empty()
                             ? CellId(impl->next_counting_cell % layout->cells)
                             : owned.front();
    const TimePoint limit =
        std::min(deadline, MonotonicNow() + kOwnerRequestTimeout);
    const auto response = co_await impl->RequestFromOwner(
        asked, std::string(kWaitingPath) + queue.value(), limit);
    const auto j = response && response->status == 200
                       ? nlohmann::json::parse(response->body, nullptr, false)
                       : nlohmann::json();
    if (j.is_object() && j.contains("waiting") &&
        j["waiting"].is_number_unsigned()) {
      const auto count = j["waiting"].get<size_t>();
      impl->waiting[queue] = CachedCount{count, now};
      co_return count;
    }
    ++impl->next_counting_cell;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpResponse>> JobService::HandlePeerRequest(
    HttpRequest request) {
  const auto impl = m_impl;
  const std::string path(PathWithoutQuery(request.path));
  const auto cell_path = ParseCellPath(path);
  if (request.method == "POST" && cell_path &&
      cell_path->resource.starts_with(kRecordsResource)) {
    std::string key(cell_path->resource.substr(kRecordsResource.size()));
    const Duration timeout = ForwardedAppendTimeout(request);
    co_return co_await impl->HandleForwardedRecord(
        cell_path->cell, std::move(key), std::move(request.body), timeout);
  }
  co_return impl->AnswerFromOwnCell(path);
}

void JobService::AnswerAllBefore(TimePoint last) {
  m_impl->last_answer = last;
}

}  // namespace cowslipmast::sched
