#include "standins/target/target_service.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/core/strings.h"
#include "standins/target/answer_body.h"

namespace cowslipmast::standins {

namespace {

constexpr uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;
// Longer than any caller's deadline.
constexpr Duration kNoAnswerDelay = std::chrono::hours(1);

std::optional<TargetMode> ParseMode(const std::string& name) {
  if (name == "normal" || name == "slow")
    return TargetMode::kNormal;
  if (name == "silent")
    return TargetMode::kSilent;
  if (name == "failing")
    return TargetMode::kFailing;
  if (name == "cut_short")
    return TargetMode::kTruncated;
  if (name == "close")
    return TargetMode::kDropConnection;
  if (name == "leaving")
    return TargetMode::kLeaving;
  return std::nullopt;
}

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

InjectedResponse MakeRunResponse(TargetMode mode, HttpResponse response) {
  if (mode == TargetMode::kFailing)
    return {MakeJsonResponse(500, R"({"error":"failing"})")};
  if (mode == TargetMode::kTruncated)
    return {std::move(response), ResponseDelivery::kTruncated};
  if (mode == TargetMode::kDropConnection)
    return {{}, ResponseDelivery::kDropConnection};
  return {std::move(response)};
}

}  // namespace

TargetService::TargetService(asio::io_context& io,
                             const std::vector<VmInfo>& targets,
                             const TargetServiceOptions& options)
    : m_io(io),
      m_tracker(targets),
      m_behaviours(targets.size()),
      m_options(options),
      m_random(options.seed) {}

asio::awaitable<InjectedResponse> TargetService::Handle(size_t target,
                                                        HttpRequest request) {
  const TargetMode mode = m_behaviours[target].mode;
  if (mode == TargetMode::kSilent) {
    co_await Sleep(kNoAnswerDelay);
    co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
  }
  if (mode == TargetMode::kLeaving)
    co_return InjectedResponse{MakeJsonResponse(503, R"({"error":"leaving"})"),
                               ResponseDelivery::kCompleteThenClose};
  co_return co_await Run(target, std::move(request));
}

// The request keeps running, and keeps its slot, if the caller gives up: like
// many servers, the stand-in does not notice that the connection was closed.
asio::awaitable<InjectedResponse> TargetService::Run(size_t target,
                                                     HttpRequest request) {
  const std::string id = HeaderOf(request, "Cowslipmast-Request-Id");
  const bool idempotent =
      EqualsIgnoreCase(HeaderOf(request, "Cowslipmast-Idempotent"), "true");
  const uint64_t bytes =
      ParseUnsigned(QueryParameter(request.path, "bytes").value_or("0"))
          .value_or(0);
  m_tracker.BeginRun(target, id, idempotent);
  co_await Sleep(m_behaviours[target].extra +
                 DrawServiceTime(m_options.distribution, m_options.service_time,
                                 m_random));
  m_tracker.EndRun(target);
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.body = MakeAnswerBody(id, std::min(bytes, kMaxAnswerBytes));
  co_return MakeRunResponse(m_behaviours[target].mode, std::move(response));
}

asio::awaitable<void> TargetService::Sleep(Duration time) {
  asio::steady_timer timer(m_io, time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<InjectedResponse> TargetService::HandleControl(
    HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == "/stats")
    co_return InjectedResponse{MakeJsonResponse(200, m_tracker.Stats().dump())};
  if (path == "/ran")
    co_return InjectedResponse{RespondWithRunCounts(request)};
  if (path == "/control")
    co_return InjectedResponse{ApplyControl(request)};
  co_return InjectedResponse{NotFoundResponse()};
}

HttpResponse TargetService::ApplyControl(const HttpRequest& request) {
  const auto json = ParseObject(request.body);
  if (!json)
    return BadRequestResponse("not_an_object");
  const auto mode = ParseMode(StringField(*json, "mode").value_or(""));
  if (!mode)
    return BadRequestResponse("unknown_mode");
  const auto extra =
      std::chrono::milliseconds(UnsignedField(*json, "delay_ms").value_or(0));
  const std::string name = StringField(*json, "target").value_or("");
  if (name == "all") {
    std::fill(m_behaviours.begin(), m_behaviours.end(),
              Behaviour{*mode, extra});
    return OkResponse();
  }
  const size_t target = m_tracker.FindTarget(name);
  if (target == m_tracker.size())
    return BadRequestResponse("unknown_target");
  m_behaviours[target] = {*mode, extra};
  return OkResponse();
}

// Takes one id as a query parameter, or {"ids":[...]} as the body.
HttpResponse TargetService::RespondWithRunCounts(
    const HttpRequest& request) const {
  Json runs = Json::object();
  if (const auto id = QueryParameter(request.path, "id"))
    runs[*id] = m_tracker.RunCount(*id);
  const auto json = ParseObject(request.body);
  if (json && json->contains("ids") && json->at("ids").is_array()) {
    for (const Json& id : json->at("ids")) {
      if (id.is_string())
        runs[id.get<std::string>()] = m_tracker.RunCount(id.get<std::string>());
    }
  }
  return MakeJsonResponse(200, Json{{"runs", std::move(runs)}}.dump());
}

}  // namespace cowslipmast::standins
