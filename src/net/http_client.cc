#include "src/net/http_client.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/net/beast_message.h"
#include "src/net/message_budget.h"

namespace cowslipmast {

using asio::ip::tcp;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;
using SteadyTime = std::chrono::steady_clock::time_point;
using Parser = http::response_parser<http::string_body>;

namespace {

struct Connection {
  StreamPtr stream;
  /** At the other end, if it is known. */
  std::optional<ServerInstance> instance;
  SteadyTime idle_since;
};

// When a call is given up.
struct CallLimit {
  SteadyTime deadline;
  /** Later while the response arrives: this long after each part, but not after
   * `latest`. */
  Duration next_part{0};
  SteadyTime latest;
};

CallLimit LimitAfter(Duration timeout) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
  return {.deadline = deadline, .next_part = Duration(0), .latest = deadline};
}

SteadyTime DeadlineOfNextPart(const CallLimit& limit) {
  return std::clamp<SteadyTime>(
      std::chrono::steady_clock::now() + limit.next_part, limit.deadline,
      limit.latest);
}

// True if the peer closed the connection or sent unsolicited data; in both
// cases a request written to it would get no valid response.
bool IsStale(tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

NetErrorKind ReadErrorKind(const beast::error_code& error) {
  if (error == beast::error::timeout)
    return NetErrorKind::kTimeout;
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow)
    return NetErrorKind::kResponseTooLarge;
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message)
    return NetErrorKind::kConnectionLost;
  if (error.category() == make_error_code(http::error::bad_method).category())
    return NetErrorKind::kBadResponse;
  return NetErrorKind::kConnectionLost;
}

http::request<http::string_body> ToBeast(const Endpoint& endpoint,
                                         HttpRequest request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.path);
  AddBeastFields(request.headers, message);
  if (message.find(http::field::host) == message.end())
    message.set(http::field::host, endpoint.address);
  message.body() = std::move(request.body);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(asio::io_context& io_context, const HttpClientLimits& client_limits)
      : io(io_context),
        limits(client_limits),
        budget(MessageBudget::Make(client_limits.response_memory_bytes)) {}

  std::optional<Connection> TakeIdle(const Endpoint& endpoint,
                                     std::optional<ServerInstance> instance);
  asio::awaitable<StreamPtr> Connect(Endpoint endpoint,
                                     SteadyTime deadline,
                                     NetError& reason);
  asio::awaitable<std::optional<HttpResponse>> Exchange(
      beast::tcp_stream& stream,
      http::request<http::string_body> message,
      CallLimit limit,
      bool& keep_alive,
      NetError& reason);
  asio::awaitable<void> ReadResponse(beast::tcp_stream& stream,
                                     beast::flat_buffer& buffer,
                                     Parser& parser,
                                     const CallLimit& limit,
                                     beast::error_code& error);
  asio::awaitable<std::optional<HttpResponse>> Call(Endpoint endpoint,
                                                    HttpRequest request,
                                                    CallLimit limit,
                                                    NetError& reason,
                                                    SteadyTime write_before);
  asio::awaitable<std::optional<HttpResponse>> CallOver(
      Endpoint endpoint,
      Connection connection,
      HttpRequest request,
      CallLimit limit,
      NetError& reason,
      InstanceReader instance_of = nullptr);
  asio::awaitable<std::optional<HttpResponse>> AskInstance(Endpoint endpoint,
                                                           InstanceQuery query,
                                                           CallLimit limit,
                                                           NetError& reason);
  void ReturnToPool(const Endpoint& endpoint, Connection connection);

  asio::io_context& io;
  HttpClientLimits limits;
  HttpClientCounters counters;
  std::shared_ptr<MessageBudget> budget;
  std::map<Endpoint, std::deque<Connection>> idle;
};

// Connections to another instance than the wanted one are of no more use.
std::optional<Connection> HttpClient::Impl::TakeIdle(
    const Endpoint& endpoint,
    std::optional<ServerInstance> instance) {
  const auto found = idle.find(endpoint);
  if (found == idle.end())
    return std::nullopt;
  std::deque<Connection>& pool = found->second;
  const SteadyTime oldest =
      std::chrono::steady_clock::now() - limits.idle_timeout;
  while (!pool.empty()) {
    Connection candidate = std::move(pool.back());
    pool.pop_back();
    if (candidate.instance == instance && candidate.idle_since > oldest &&
        !IsStale(candidate.stream->socket()))
      return candidate;
  }
  return std::nullopt;
}

asio::awaitable<StreamPtr> HttpClient::Impl::Connect(Endpoint endpoint,
                                                     SteadyTime deadline,
                                                     NetError& reason) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    reason = {NetErrorKind::kBadAddress, false, endpoint.address};
    co_return nullptr;
  }
  ++counters.connects;
  auto stream = std::make_unique<beast::tcp_stream>(io.get_executor());
  stream->expires_at(std::min(
      deadline, std::chrono::steady_clock::now() + limits.connect_timeout));
  co_await stream->async_connect(
      tcp::endpoint(address, endpoint.port),
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    reason = {NetErrorKind::kConnectFailed, false, error.message()};
    co_return nullptr;
  }
  stream->socket().set_option(tcp::no_delay(true), error);
  co_return stream;
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::Impl::Exchange(
    beast::tcp_stream& stream,
    http::request<http::string_body> message,
    CallLimit limit,
    bool& keep_alive,
    NetError& reason) {
  beast::error_code error;
  co_await http::async_write(stream, message,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    reason = {error == beast::error::timeout ? NetErrorKind::kTimeout
                                             : NetErrorKind::kConnectionLost,
              true, error.message()};
    co_return std::nullopt;
  }
  beast::flat_buffer buffer(ReadBufferSize(limits.header_bytes));
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.body_limit(limits.max_response_bytes);
  if (message.method() == http::verb::head)
    parser.skip(true);
  co_await ReadResponse(stream, buffer, parser, limit, error);
  if (error) {
    reason = {ReadErrorKind(error), true, error.message()};
    co_return std::nullopt;
  }
  keep_alive = parser.get().keep_alive() && buffer.size() == 0;
  HttpResponse response{
      .status = static_cast<uint16_t>(parser.get().result_int()),
      .headers = FromBeastFields(parser.get()),
      .body = std::move(parser.get().body()),
      .closes_connection = !parser.get().keep_alive()};
  co_return response;
}

// Reads a response piece by piece, so that all responses together stay within
// their memory.
asio::awaitable<void> HttpClient::Impl::ReadResponse(beast::tcp_stream& stream,
                                                     beast::flat_buffer& buffer,
                                                     Parser& parser,
                                                     const CallLimit& limit,
                                                     beast::error_code& error) {
  const auto share =
      MessageBudget::Join(budget, [&stream] { stream.cancel(); });
  size_t fields = 0;
  while (!parser.is_done() && !error) {
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    stream.expires_at(DeadlineOfNextPart(limit));
    if (parser.is_done() || (fields == 0 && parser.is_header_done()))
      fields = HeldByFields(parser.get());
    share->SetBytes(fields + HeldBytes(parser.get().body(), buffer));
    if (share->is_given_up()) {
      ++counters.shed_responses;
      error = http::error::body_limit;
    }
  }
}

void HttpClient::Impl::ReturnToPool(const Endpoint& endpoint,
                                    Connection connection) {
  std::deque<Connection>& pool = idle[endpoint];
  if (pool.size() >= limits.idle_connections_per_endpoint)
    pool.pop_front();
  connection.stream->expires_never();
  connection.idle_since = std::chrono::steady_clock::now();
  pool.push_back(std::move(connection));
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::Impl::Call(
    Endpoint endpoint,
    HttpRequest request,
    CallLimit limit,
    NetError& reason,
    SteadyTime write_before) {
  const auto self = shared_from_this();
  std::optional<Connection> connection = TakeIdle(endpoint, std::nullopt);
  if (connection) {
    ++counters.reuses;
  } else {
    connection.emplace();
    connection->stream = co_await Connect(endpoint, limit.deadline, reason);
  }
  if (!connection->stream) {
    ++counters.failures;
    co_return std::nullopt;
  }
  if (std::chrono::steady_clock::now() >= write_before) {
    reason = {NetErrorKind::kTooLate, false, ""};
    ReturnToPool(endpoint, std::move(*connection));
    co_return std::nullopt;
  }
  co_return co_await CallOver(endpoint, std::move(*connection),
                              std::move(request), limit, reason);
}

// Sends the request and keeps the connection if it is still usable. With
// `instance_of`, the response tells the instance at the other end.
asio::awaitable<std::optional<HttpResponse>> HttpClient::Impl::CallOver(
    Endpoint endpoint,
    Connection connection,
    HttpRequest request,
    CallLimit limit,
    NetError& reason,
    InstanceReader instance_of) {
  const auto self = shared_from_this();
  connection.stream->expires_at(limit.deadline);
  bool keep_alive = false;
  std::optional<HttpResponse> response = co_await Exchange(
      *connection.stream, ToBeast(endpoint, std::move(request)), limit,
      keep_alive, reason);
  if (!response) {
    ++counters.failures;
    co_return std::nullopt;
  }
  if (instance_of && response->status == 200)
    connection.instance = instance_of(*response);
  if (keep_alive && (!instance_of || connection.instance))
    ReturnToPool(endpoint, std::move(connection));
  co_return response;
}

// Opens a connection, sends the query over it, and keeps the connection as one
// to the instance that responds.
asio::awaitable<std::optional<HttpResponse>> HttpClient::Impl::AskInstance(
    Endpoint endpoint,
    InstanceQuery query,
    CallLimit limit,
    NetError& reason) {
  const auto self = shared_from_this();
  Connection connection;
  connection.stream = co_await Connect(endpoint, limit.deadline, reason);
  if (!connection.stream) {
    ++counters.failures;
    co_return std::nullopt;
  }
  co_return co_await CallOver(endpoint, std::move(connection),
                              std::move(query.request), limit, reason,
                              std::move(query.instance_of));
}

HttpClient::HttpClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Make(asio::io_context& io,
                                             const HttpClientLimits& limits) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(io, limits)));
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::Call(
    Endpoint endpoint,
    HttpRequest request,
    Duration timeout,
    NetError& reason,
    SteadyTime write_before) {
  const auto impl = m_impl;
  co_return co_await impl->Call(std::move(endpoint), std::move(request),
                                LimitAfter(timeout), reason, write_before);
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::CallForTransfer(
    Endpoint endpoint,
    HttpRequest request,
    TransferTimeouts timeouts,
    NetError& reason) {
  const auto impl = m_impl;
  const SteadyTime begin = std::chrono::steady_clock::now();
  const CallLimit limit{
      .deadline = begin + timeouts.first_part,
      .next_part = timeouts.next_part,
      .latest = begin + std::max(timeouts.first_part, timeouts.whole)};
  co_return co_await impl->Call(std::move(endpoint), std::move(request), limit,
                                reason, SteadyTime::max());
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::AskInstance(
    Endpoint endpoint,
    InstanceQuery query,
    Duration timeout,
    NetError& reason) {
  const auto impl = m_impl;
  co_return co_await impl->AskInstance(endpoint, std::move(query),
                                       LimitAfter(timeout), reason);
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::CallInstance(
    Endpoint endpoint,
    ServerInstance instance,
    InstanceQuery query,
    HttpRequest request,
    Duration timeout,
    NetError& reason) {
  const auto impl = m_impl;
  const CallLimit limit = LimitAfter(timeout);
  std::optional<Connection> connection = impl->TakeIdle(endpoint, instance);
  if (connection) {
    ++impl->counters.reuses;
  } else {
    std::optional<HttpResponse> answer =
        co_await impl->AskInstance(endpoint, query, limit, reason);
    if (!answer || answer->status != 200)
      co_return answer;
    const auto told = query.instance_of(*answer);
    if (!told || (*told == kUntoldInstance && instance != kUntoldInstance)) {
      reason = {NetErrorKind::kBadResponse, false,
                "does not tell its instance"};
      co_return std::nullopt;
    }
    if (*told != instance && instance != kUntoldInstance) {
      reason = {NetErrorKind::kOtherInstance, false, std::to_string(*told)};
      co_return std::nullopt;
    }
    connection = impl->TakeIdle(endpoint, told);
    if (!connection) {
      reason = {NetErrorKind::kConnectionLost, false, "closed after the query"};
      co_return std::nullopt;
    }
  }
  co_return co_await impl->CallOver(endpoint, std::move(*connection),
                                    std::move(request), limit, reason);
}

void HttpClient::DropIdle(const Endpoint& endpoint) {
  m_impl->idle.erase(endpoint);
}

const HttpClientCounters& HttpClient::counters() const {
  return m_impl->counters;
}

}  // namespace cowslipmast
