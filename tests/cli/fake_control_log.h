#ifndef COWSLIPMAST_TESTS_CLI_FAKE_CONTROL_LOG_H_
#define COWSLIPMAST_TESTS_CLI_FAKE_CONTROL_LOG_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "cowslipmast/codec.h"
#include "src/core/strings.h"
#include "standins/common/fault_injection_server.h"
#include "standins/common/json.h"
#include "standins/log/log_store.h"

namespace cowslipmast {

enum class AppendFault { kNone, kLoseReply, kDropRequest };

/** A log service with the `control` stream on a free port. Injects faults. */
struct FakeControlLog {
  asio::io_context& io;
  standins::LogStore store{1000};
  std::unique_ptr<standins::FaultInjectionServer> server;
  std::deque<AppendFault> faults;       // for the next appends, in order
  std::function<void()> before_append;  // called before the next append only
  bool unreachable = false;  // closes every connection without an answer
  bool unreachable_after_append = false;
  size_t appends = 0;  // number that took effect
  uint64_t other_producers = 0;

  explicit FakeControlLog(asio::io_context& loop) : io(loop) {
    NetError reason;
    server = standins::FaultInjectionServer::Make(
        io, {"127.0.0.1", 0},
        [this](HttpRequest request) { return Handle(std::move(request)); },
        reason);
  }

  Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

  // Appends a record of another producer, such as another operator or process.
  void Add(Record record) {
    const ProducerId producer{.high = 7, .low = ++other_producers};
    store.Append(
        "control",
        EncodeBatch({producer, BatchSequence(1), {std::move(record)}}));
  }

  asio::awaitable<standins::InjectedResponse> Handle(HttpRequest request) {
    if (unreachable)
      co_return standins::InjectedResponse{
          {}, standins::ResponseDelivery::kDropConnection};
    co_return request.method == "POST" ? Append(request) : Read(request);
  }

  standins::InjectedResponse Append(const HttpRequest& request) {
    if (auto hook = std::exchange(before_append, nullptr))
      hook();
    AppendFault fault = AppendFault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    unreachable = unreachable_after_append;
    if (fault == AppendFault::kDropRequest)
      return {{}, standins::ResponseDelivery::kDropConnection};
    ++appends;
    const uint64_t offset = store.Append("control", request.body);
    if (fault == AppendFault::kLoseReply)
      return {{}, standins::ResponseDelivery::kDropConnection};
    return {MakeJsonResponse(200, standins::Json{{"offset", offset}}.dump())};
  }

  standins::InjectedResponse Read(const HttpRequest& request) const {
    const auto from = QueryParameter(request.path, "from").value_or("0");
    const auto slice =
        store.Read("control", ParseUnsigned(from).value_or(0), 4);
    standins::Json entries = standins::Json::array();
    for (size_t i = 0; i < slice.entries.size(); ++i)
      entries.push_back({{"offset", slice.first + i},
                         {"data", Base64Encode(slice.entries[i])}});
    const standins::Json page = {
        {"oldest", slice.oldest}, {"end", slice.end}, {"entries", entries}};
    return {MakeJsonResponse(slice.expired ? 410 : 200, page.dump())};
  }
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_CLI_FAKE_CONTROL_LOG_H_
