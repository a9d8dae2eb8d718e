#ifndef COWSLIPMAST_TESTS_NET_FAKE_LOG_SERVICE_H_
#define COWSLIPMAST_TESTS_NET_FAKE_LOG_SERVICE_H_

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "src/core/strings.h"
#include "src/net/http_server.h"
#include "standins/log/log_store.h"

namespace cowslipmast {

/** In-process log service with configurable faults. */
class FakeLogService {
 public:
  explicit FakeLogService(asio::io_context& io) : m_io(io) {
    NetError reason;
    server = HttpServer::Make(
        io, {"127.0.0.1", 0}, HttpServerLimits{},
        [this](HttpRequest request) { return Handle(std::move(request)); },
        reason);
  }

  static HttpResponse MakeOutageResponse() {
    return {.status = 503, .headers = {}, .body = {}};
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    ++requests;
    co_await Sleep(delay);
    if (down)
      co_return MakeOutageResponse();
    if (request.method == "POST")
      co_return Append(std::move(request.body));
    HttpResponse response = co_await Read(std::move(request));
    co_return response;
  }

  HttpResponse Append(std::string data) {
    ++appends;
    if (refuse_appends)
      return MakeOutageResponse();
    const uint64_t offset = store.Append("s", std::move(data));
    if (lost_replies > 0) {
      --lost_replies;
      return MakeOutageResponse();
    }
    return MakeJsonResponse(200,
                            R"({"offset":)" + std::to_string(offset) + "}");
  }

  asio::awaitable<HttpResponse> Read(HttpRequest request) {
    const uint64_t from = Parameter(request, "from");
    const uint64_t max = Parameter(request, "max");
    auto wait = std::chrono::milliseconds(Parameter(request, "wait_ms"));
    standins::LogSlice slice = store.Read("s", from, max);
    while (long_polls && wait.count() > 0 && slice.end <= from) {
      co_await Sleep(std::chrono::milliseconds(2));
      wait -= std::chrono::milliseconds(2);
      slice = store.Read("s", from, max);
    }
    nlohmann::json entries = nlohmann::json::array();
    for (size_t i = 0; i < slice.entries.size(); ++i)
      entries.push_back({{"offset", slice.first + i},
                         {"data", Base64Encode(slice.entries[i])}});
    const nlohmann::json page = {
        {"oldest", slice.oldest}, {"end", slice.end}, {"entries", entries}};
    co_return MakeJsonResponse(slice.expired ? 410 : 200, page.dump());
  }

  Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

  standins::LogStore store{100'000};
  std::unique_ptr<HttpServer> server;
  std::chrono::milliseconds delay{0};
  bool down = false;
  bool refuse_appends = false;
  bool long_polls = true;
  uint64_t lost_replies = 0;
  uint64_t requests = 0;
  uint64_t appends = 0;

 private:
  static uint64_t Parameter(const HttpRequest& request, const char* name) {
    const auto text = QueryParameter(request.path, name);
    return text ? ParseUnsigned(*text).value_or(0) : 0;
  }
  asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
    if (duration.count() == 0)
      co_return;
    asio::steady_timer timer(m_io, duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context& m_io;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_NET_FAKE_LOG_SERVICE_H_
