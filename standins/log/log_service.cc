#include "standins/log/log_service.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "src/core/strings.h"

namespace cowslipmast::standins {

namespace {

constexpr uint64_t kDefaultMaxEntries = 1000;
constexpr uint64_t kMaxWaitMs = 30000;
constexpr std::string_view kStreamsPrefix = "/v1/streams/";

uint64_t UnsignedParameter(const HttpRequest& request,
                           std::string_view name,
                           uint64_t fallback) {
  const auto text = QueryParameter(request.path, name);
  if (!text)
    return fallback;
  return ParseUnsigned(*text).value_or(fallback);
}

InjectedResponse MakeCompleteResponse(HttpResponse response) {
  return {std::move(response), ResponseDelivery::kComplete};
}

InjectedResponse MakeOutageResponse() {
  return MakeCompleteResponse(MakeJsonResponse(503, R"({"error":"outage"})"));
}

HttpResponse MakePageResponse(const LogSlice& slice) {
  Json entries = Json::array();
  for (size_t i = 0; i < slice.entries.size(); ++i) {
    entries.push_back({{"offset", slice.first + i},
                       {"data", Base64Encode(slice.entries[i])}});
  }
  const Json page = {{"oldest", slice.oldest},
                     {"end", slice.end},
                     {"entries", std::move(entries)}};
  return MakeJsonResponse(slice.expired ? 410 : 200, page.dump());
}

}  // namespace

LogService::LogService(asio::io_context& io, size_t retained_entries)
    : m_io(io), m_store(retained_entries) {}

asio::awaitable<InjectedResponse> LogService::Handle(HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == "/control")
    co_return ApplyControl(request);
  if (path == "/stats")
    co_return Stats();
  if (path.substr(0, kStreamsPrefix.size()) == kStreamsPrefix)
    co_return co_await HandleStream(std::move(request));
  co_return MakeCompleteResponse(NotFoundResponse());
}

asio::awaitable<InjectedResponse> LogService::HandleStream(
    HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  const std::string_view rest = path.substr(kStreamsPrefix.size());
  const size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0)
    co_return MakeCompleteResponse(NotFoundResponse());
  const std::string stream(rest.substr(0, slash));
  const std::string action(rest.substr(slash + 1));
  co_await WaitForConfiguredDelay();
  if (m_outage) {
    ++m_refused_calls;
    co_return MakeOutageResponse();
  }
  if (action == "append" && request.method == "POST")
    co_return co_await Append(stream, std::move(request));
  if (action == "read" && request.method == "GET")
    co_return co_await Read(stream, std::move(request));
  co_return MakeCompleteResponse(NotFoundResponse());
}

asio::awaitable<InjectedResponse> LogService::Append(std::string stream,
                                                     HttpRequest request) {
  StreamCounters& counters = m_counters[stream];
  ++counters.appends;
  counters.bytes_written += request.body.size();
  const uint64_t offset = m_store.Append(stream, std::move(request.body));
  WakeReaders();
  if (m_replies_to_lose > 0) {
    --m_replies_to_lose;
    ++m_lost_replies;
    co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
  }
  co_return MakeCompleteResponse(
      MakeJsonResponse(200, Json{{"offset", offset}}.dump()));
}

asio::awaitable<InjectedResponse> LogService::Read(std::string stream,
                                                   HttpRequest request) {
  const uint64_t from = UnsignedParameter(request, "from", 0);
  const uint64_t max = UnsignedParameter(request, "max", kDefaultMaxEntries);
  const auto deadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(
          std::min(UnsignedParameter(request, "wait_ms", 0), kMaxWaitMs));
  LogSlice slice = m_store.Read(stream, from, max);
  while (!m_outage && !slice.expired && slice.entries.empty()) {
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (rest.count() <= 0)
      break;
    co_await WaitForAppend(rest);
    slice = m_store.Read(stream, from, max);
  }
  if (m_outage) {
    ++m_refused_calls;
    co_return MakeOutageResponse();
  }
  HttpResponse response = MakePageResponse(slice);
  StreamCounters& counters = m_counters[stream];
  ++counters.reads;
  counters.bytes_read += response.body.size();
  co_return MakeCompleteResponse(std::move(response));
}

asio::awaitable<void> LogService::WaitForAppend(
    std::chrono::milliseconds wait) {
  asio::steady_timer timer(m_io, wait);
  m_waiting_reads.insert(&timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  m_waiting_reads.erase(&timer);
}

asio::awaitable<void> LogService::WaitForConfiguredDelay() {
  if (m_delay.count() == 0)
    co_return;
  asio::steady_timer timer(m_io, m_delay);
  co_await timer.async_wait(asio::use_awaitable);
}

void LogService::WakeReaders() {
  for (asio::steady_timer* timer : m_waiting_reads)
    timer->cancel();
}

InjectedResponse LogService::ApplyControl(const HttpRequest& request) {
  const auto json = ParseObject(request.body);
  if (!json)
    return MakeCompleteResponse(BadRequestResponse("not_an_object"));
  m_outage = BoolField(*json, "outage").value_or(m_outage);
  m_delay = std::chrono::milliseconds(
      UnsignedField(*json, "delay_ms")
          .value_or(static_cast<uint64_t>(m_delay.count())));
  m_replies_to_lose =
      UnsignedField(*json, "lose_replies").value_or(m_replies_to_lose);
  if (const auto retain = UnsignedField(*json, "retain"))
    m_store.Retain(*retain);
  WakeReaders();
  return MakeCompleteResponse(OkResponse());
}

InjectedResponse LogService::Stats() const {
  Json streams = Json::object();
  for (const auto& [name, counters] : m_counters) {
    streams[name] = {{"appends", counters.appends},
                     {"reads", counters.reads},
                     {"bytes_written", counters.bytes_written},
                     {"bytes_read", counters.bytes_read}};
  }
  const Json stats = {{"streams", std::move(streams)},
                      {"lost_replies", m_lost_replies},
                      {"refused", m_refused_calls}};
  return MakeCompleteResponse(MakeJsonResponse(200, stats.dump()));
}

}  // namespace cowslipmast::standins
