#include "standins/platform/store_stand_in.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/core/strings.h"
#include "src/net/http_message.h"
#include "src/scheduler_process/clock.h"

namespace cowslipmast::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kPollInterval = milliseconds(10);
constexpr auto kForever = std::chrono::hours(1);
constexpr size_t kPageItems = 500;
// 250 times the usual duration of a call.
constexpr auto kSlowAppendDelay = milliseconds(1000);

struct StoredRecord {
  std::string key;
  std::string value;
};

struct Producer {
  uint64_t epoch = 0;
  std::optional<uint64_t> sequence;
};

struct TopicState {
  std::vector<StoredRecord> records;  // the first one has offset `first`
  uint64_t first = 0;
  std::map<std::string, std::pair<uint64_t, std::string>> newest;
  std::map<std::string, Producer> producers;

  uint64_t end() const { return first + records.size(); }
};

uint64_t ReadNumber(std::string_view bytes) {
  uint64_t value = 0;
  for (const char byte : bytes)
    value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

std::string WriteNumber(uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes; i-- > 0;)
    text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  return text;
}

// Name of a partition of a topic.
std::string PartitionName(const std::string& topic, const std::string& part) {
  return topic + "/" + part;
}

std::string PartitionOf(const std::string& path) {
  return PartitionName(QueryParameter(path, "topic").value_or(""),
                       QueryParameter(path, "part").value_or("0"));
}

uint64_t NumberOf(const std::string& path, std::string_view name) {
  const auto text = QueryParameter(path, name);
  return text ? ParseUnsigned(*text).value_or(0) : 0;
}

}  // namespace

struct StoreStandIn::Impl {
  void Add(TopicState& topic, const std::string& key, const std::string& value);
  HttpResponse Append(const HttpRequest& request);
  HttpResponse ReadNewestPage(const HttpRequest& request);
  asio::awaitable<HttpResponse> Read(HttpRequest request);
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request);

  std::map<std::string, TopicState> topics;
  StoreFault fault = StoreFault::kNone;
  std::unique_ptr<HttpServer> server;
};

void StoreStandIn::Impl::Add(TopicState& topic,
                             const std::string& key,
                             const std::string& value) {
  const uint64_t offset = topic.end();
  topic.records.push_back({key, value});
  if (value.empty())
    topic.newest.erase(key);
  else
    topic.newest[key] = {offset, value};
}

HttpResponse StoreStandIn::Impl::Append(const HttpRequest& request) {
  TopicState& topic = topics[PartitionOf(request.path)];
  const auto at = QueryParameter(request.path, "at");
  if (at && ParseUnsigned(*at) != topic.end())
    return MakeJsonResponse(412, json{{"end", topic.end()}}.dump());
  if (const auto name = QueryParameter(request.path, "producer")) {
    Producer& producer = topic.producers[*name];
    const uint64_t epoch = NumberOf(request.path, "epoch");
    const uint64_t sequence = NumberOf(request.path, "seq");
    if (epoch < producer.epoch)
      return MakeJsonResponse(409, R"({"reason":"fenced"})");
    // Without a record only the epoch is set.
    if (request.body.empty()) {
      if (epoch > producer.epoch)
        producer = {epoch, std::nullopt};
      return MakeJsonResponse(200, json{{"end", topic.end()}}.dump());
    }
    if (epoch == producer.epoch && producer.sequence == sequence)
      return MakeJsonResponse(200, json{{"end", topic.end()}}.dump());
    if (epoch == producer.epoch && producer.sequence &&
        sequence != *producer.sequence + 1)
      return MakeJsonResponse(409, R"({"reason":"seq"})");
    producer = {epoch, sequence};
  }
  const uint64_t offset = topic.end();
  std::string_view body = request.body;
  while (body.size() > 4) {
    const uint64_t length = ReadNumber(body.substr(0, 4));
    const std::string_view content = body.substr(4, length);
    const auto key_length = static_cast<unsigned char>(content[0]);
    Add(topic, std::string(content.substr(1, key_length)),
        std::string(content.substr(1 + key_length)));
    body.remove_prefix(4 + length);
  }
  return MakeJsonResponse(
      200, json{{"offset", offset}, {"end", topic.end()}}.dump());
}

HttpResponse StoreStandIn::Impl::ReadNewestPage(const HttpRequest& request) {
  const TopicState& topic = topics[PartitionOf(request.path)];
  const auto after = QueryParameter(request.path, "depends-on");
  auto next = after ? topic.newest.upper_bound(*after) : topic.newest.begin();
  json items = json::array();
  for (; next != topic.newest.end() && items.size() < kPageItems; ++next) {
    items.push_back({{"key", next->first},
                     {"value", Base64Encode(next->second.second)},
                     {"offset", next->second.first}});
  }
  return MakeJsonResponse(200, json{{"items", items},
                                    {"more", next != topic.newest.end()},
                                    {"end", topic.end()}}
                                   .dump());
}

asio::awaitable<HttpResponse> StoreStandIn::Impl::Read(HttpRequest request) {
  TopicState& topic = topics[PartitionOf(request.path)];
  const uint64_t from = NumberOf(request.path, "from");
  const auto limit =
      sched::MonotonicNow() + milliseconds(NumberOf(request.path, "wait-ms"));
  while (topic.end() <= from && sched::MonotonicNow() < limit)
    co_await sched::Sleep(kPollInterval);
  if (from < topic.first) {
    co_return MakeJsonResponse(410, json{{"first", topic.first}}.dump());
  }
  HttpResponse response;
  response.body = WriteNumber(topic.end(), 8) + WriteNumber(topic.first, 8);
  for (uint64_t i = from; i < topic.end(); ++i) {
    const StoredRecord& record = topic.records[i - topic.first];
    response.body +=
        WriteNumber(1 + record.key.size() + record.value.size(), 4);
    response.body += WriteNumber(record.key.size(), 1);
    response.body += record.key + record.value;
  }
  co_return response;
}

asio::awaitable<HttpResponse> StoreStandIn::Impl::HandleRequest(
    HttpRequest request) {
  if (fault == StoreFault::kUnavailable)
    co_return MakeJsonResponse(503, "{}");
  if (fault == StoreFault::kUnresponsive)
    co_await sched::Sleep(kForever);
  const std::string_view path = PathWithoutQuery(request.path);
  HttpResponse response;
  if (path == "/log-append")
    response = Append(request);
  else if (path == "/log-newest")
    response = ReadNewestPage(request);
  else if (path == "/log-read")
    response = co_await Read(std::move(request));
  else
    response = MakeJsonResponse(404, "{}");
  if (fault == StoreFault::kSlowAppends && path == "/log-append")
    co_await sched::Sleep(kSlowAppendDelay);
  if (fault == StoreFault::kDropsResponses)
    co_await sched::Sleep(kForever);
  co_return response;
}

StoreStandIn::StoreStandIn(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
StoreStandIn::~StoreStandIn() = default;

std::unique_ptr<StoreStandIn> StoreStandIn::Make(asio::io_context& io) {
  auto impl = std::make_shared<Impl>();
  NetError error;
  HttpServerLimits limits;
  limits.body_bytes = 4 * 1024 * 1024;
  impl->server = HttpServer::Make(
      io, Endpoint{"127.0.0.1", 0}, limits,
      [raw = impl.get()](HttpRequest request) {
        return raw->HandleRequest(std::move(request));
      },
      error);
  if (!impl->server)
    return nullptr;
  return std::unique_ptr<StoreStandIn>(new StoreStandIn(std::move(impl)));
}

Endpoint StoreStandIn::endpoint() const {
  return {"127.0.0.1", m_impl->server->port()};
}

void StoreStandIn::Put(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  m_impl->Add(m_impl->topics[PartitionName(topic, "0")], key, value);
}

void StoreStandIn::SetFault(StoreFault fault) {
  m_impl->fault = fault;
}

void StoreStandIn::DropHistory() {
  for (auto& [name, topic] : m_impl->topics) {
    topic.first = topic.end();
    topic.records.clear();
  }
}

}  // namespace cowslipmast::platform
