// Reads from a store that fails now and then.

#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "src/core/strings.h"
#include "src/net/http_message.h"
#include "src/net/http_server.h"
#include "tests/net/slow_server.h"

namespace cowslipmast::platform {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr size_t kPages = 8;
constexpr size_t kItemsPerPage = 500;

// Returns a page of records, whose keys are their numbers.
HttpResponse MakePage(const HttpRequest& request) {
  const auto after = QueryParameter(request.path, "depends-on");
  const size_t first =
      after ? static_cast<size_t>(ParseUnsigned(*after).value_or(0)) + 1 : 0;
  json items = json::array();
  for (size_t i = first; i < first + kItemsPerPage; ++i)
    items.push_back(
        {{"key", std::to_string(i)}, {"value", "djE="}, {"offset", i}});
  return MakeJsonResponse(200,
                          json{{"items", items},
                               {"more", first / kItemsPerPage + 1 < kPages},
                               {"end", 7000 + first}}
                              .dump());
}

TEST_CASE("many newest records are read from a store that fails at times",
          "[platform]") {
  // A page is a response of its own; the longer the day, the more pages. A
  // new owner that begins with the first one after each failure restores
  // nothing while the store fails at times.
  asio::io_context io;
  size_t calls = 0;
  NetError net_error;
  const auto server = HttpServer::Make(
      io, Endpoint{"127.0.0.1", 0}, HttpServerLimits(),
      [&calls](HttpRequest request) -> asio::awaitable<HttpResponse> {
        if (++calls % 3 == 0)
          co_return MakeJsonResponse(503, "{}");
        co_return MakePage(request);
      },
      net_error);
  REQUIRE(server);
  const auto client = HttpClient::Make(io, HttpClientLimits{});
  const sched::StorePort port =
      MakeStorePort(*client, Endpoint{"127.0.0.1", server->port()}, 1);
  std::optional<sched::TopicSnapshot> snapshot;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        sched::StoreError error;
        snapshot = co_await port.read_newest(
            sched::StoreStream(sched::StoreTopic::kJobs), error);
        io.stop();
      },
      asio::detached);
  io.run_for(seconds(5));
  REQUIRE(snapshot);
  CHECK(snapshot->records.size() == kPages * kItemsPerPage);
  CHECK(snapshot->records.back().key ==
        std::to_string(kPages * kItemsPerPage - 1));
  // Records that are added meanwhile are read from there on.
  CHECK(snapshot->end == 7000);
}

TEST_CASE("one of the last records of a stream is read", "[platform]") {
  asio::io_context io;
  std::string path;
  std::string body =
      R"({"items":[{"key":"q0","value":"djE=","offset":4},)"
      R"({"key":"q1","value":"djI=","offset":6}],"more":true,"end":9})";
  NetError net_error;
  const auto server = HttpServer::Make(
      io, Endpoint{"127.0.0.1", 0}, HttpServerLimits(),
      [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        path = request.path;
        co_return MakeJsonResponse(200, body);
      },
      net_error);
  REQUIRE(server);
  const auto client = HttpClient::Make(io, HttpClientLimits{});
  const sched::StorePort port =
      MakeStorePort(*client, Endpoint{"127.0.0.1", server->port()}, 4);
  std::optional<sched::KeyedRecord> record;
  sched::StoreError error;
  const auto read_record = [&](std::string key) -> asio::awaitable<void> {
    record = co_await port.read_record(
        sched::StoreStream(sched::StoreTopic::kProgress, sched::CellId(2)),
        std::move(key), error);
    io.stop();
  };
  const auto read = [&](const std::string& key) {
    asio::co_spawn(io, read_record(key), asio::detached);
    io.run_for(seconds(5));
  };
  SECTION("in one call, from just before its key") {
    read("q1");
    REQUIRE(record);
    CHECK(record->key == "q1");
    CHECK(record->value == "v2");
    CHECK(path == "/log-newest?topic=keyed.progress&part=2&depends-on=q");
  }
  SECTION("as empty if there is none") {
    read("q2");
    REQUIRE(record);
    CHECK(record->value.empty());
  }
  SECTION("or not at all if the page cannot be read") {
    body = R"({"items":[{"key":"q1","value":7}]})";
    read("q1");
    CHECK_FALSE(record);
    CHECK(error.kind == sched::StoreErrorKind::kMalformedResponse);
  }
}

TEST_CASE("a large record that arrives slowly is read once", "[platform]") {
  // The processes of a region read a new configuration over one link. Reads
  // that are given up in the middle and repeated fill it twice.
  constexpr size_t record_bytes = 300000;
  asio::io_context io;
  std::string records =
      EncodeRecords({{"config", std::string(record_bytes, 'x')}});
  std::string offsets(16, '\0');
  offsets[7] = 1;  // the stream's end
  SlowServer store(io, {.body = offsets + records,
                        .parts = 20,
                        .pause = std::chrono::milliseconds(100)});
  const auto client = HttpClient::Make(io, HttpClientLimits{});
  const sched::StorePort port = MakeStorePort(*client, store.endpoint(), 1);
  std::optional<sched::TopicSnapshot> added;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        sched::StoreError error;
        added = co_await port.follow(
            sched::StoreStream(sched::StoreTopic::kOperator), 0,
            std::chrono::milliseconds(1), error);
        io.stop();
      },
      asio::detached);
  io.run_for(seconds(5));
  REQUIRE(added);
  REQUIRE(added->records.size() == 1);
  CHECK(added->records[0].value.size() == record_bytes);
  CHECK(store.requests() == 1);
}

}  // namespace
}  // namespace cowslipmast::platform
