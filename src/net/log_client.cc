#include "src/net/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/core/strings.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

NetError MakeBadAnswer(const HttpResponse& response) {
  return {NetErrorKind::kBadResponse, true,
          "status " + std::to_string(response.status)};
}

std::optional<LogPage> ParsePage(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("oldest") ||
      !json["oldest"].is_number_unsigned())
    return std::nullopt;
  LogPage page;
  page.oldest = LogOffset(json["oldest"].get<uint64_t>());
  if (!json.contains("end") || !json["end"].is_number_unsigned())
    return std::nullopt;
  page.end = LogOffset(json["end"].get<uint64_t>());
  for (const Json& item : json.value("entries", Json::array())) {
    if (!item.is_object() || !item.contains("offset") ||
        !item["offset"].is_number_unsigned() || !item.contains("data") ||
        !item["data"].is_string())
      return std::nullopt;
    auto data = Base64Decode(item["data"].get_ref<const std::string&>());
    if (!data)
      return std::nullopt;
    page.entries.push_back(
        {LogOffset(item["offset"].get<uint64_t>()), std::move(*data)});
  }
  return page;
}

}  // namespace

LogClient::LogClient(HttpClient& http, const Endpoint& store)
    : m_http(http), m_store(store) {}

LogClient::~LogClient() = default;

std::unique_ptr<LogClient> LogClient::Make(HttpClient& http,
                                           const Endpoint& store) {
  return std::unique_ptr<LogClient>(new LogClient(http, store));
}

asio::awaitable<std::optional<LogOffset>> LogClient::Append(StreamId stream,
                                                            std::string data,
                                                            Duration timeout,
                                                            NetError& reason) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/streams/" + stream.value() + "/append";
  request.headers.push_back({"Content-Type", "application/octet-stream"});
  request.body = std::move(data);
  const auto response =
      co_await m_http.Call(m_store, std::move(request), timeout, reason);
  if (!response)
    co_return std::nullopt;
  const Json json = Json::parse(response->body, nullptr, false);
  if (response->status != 200 || !json.is_object() ||
      !json.contains("offset") || !json["offset"].is_number_unsigned()) {
    reason = MakeBadAnswer(*response);
    co_return std::nullopt;
  }
  co_return LogOffset(json["offset"].get<uint64_t>());
}

asio::awaitable<std::optional<LogPage>> LogClient::Read(StreamId stream,
                                                        LogOffset from,
                                                        uint32_t max_entries,
                                                        Duration wait,
                                                        Duration timeout,
                                                        NetError& reason) {
  const auto asked_at = std::chrono::steady_clock::now();
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpRequest request;
  request.path = "/v1/streams/" + stream.value() +
                 "/read?from=" + std::to_string(from.value()) +
                 "&max=" + std::to_string(max_entries) +
                 "&wait_ms=" + std::to_string(wait_ms);
  const auto response =
      co_await m_http.Call(m_store, std::move(request), timeout, reason);
  if (!response)
    co_return std::nullopt;
  std::optional<LogPage> page = ParsePage(response->body);
  const bool expired = response->status == 410;
  if (!page || (response->status != 200 && !expired)) {
    reason = MakeBadAnswer(*response);
    co_return std::nullopt;
  }
  page->expired = expired;
  page->asked_at = asked_at;
  co_return page;
}

}  // namespace cowslipmast
