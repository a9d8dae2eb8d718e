#include "src/net/http_client.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/net/beast_message.h"

namespace cowslipmast {

using asio::ip::tcp;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

struct IdleConnection {
  StreamPtr stream;
  SteadyTime idle_since;
};

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
      : io(io_context), limits(client_limits) {}

  StreamPtr TakeIdle(const Endpoint& endpoint);
  asio::awaitable<StreamPtr> Connect(Endpoint endpoint,
                                     SteadyTime deadline,
                                     NetError& reason);
  asio::awaitable<std::optional<HttpResponse>> Exchange(
      beast::tcp_stream& stream,
      http::request<http::string_body> message,
      bool& keep_alive,
      NetError& reason);
  void ReturnToPool(const Endpoint& endpoint, StreamPtr stream);

  asio::io_context& io;
  HttpClientLimits limits;
  HttpClientCounters counters;
  std::map<Endpoint, std::deque<IdleConnection>> idle;
};

StreamPtr HttpClient::Impl::TakeIdle(const Endpoint& endpoint) {
  const auto found = idle.find(endpoint);
  if (found == idle.end())
    return nullptr;
  std::deque<IdleConnection>& pool = found->second;
  const SteadyTime oldest =
      std::chrono::steady_clock::now() - limits.idle_timeout;
  while (!pool.empty()) {
    IdleConnection candidate = std::move(pool.back());
    pool.pop_back();
    if (candidate.idle_since > oldest && !IsStale(candidate.stream->socket()))
      return std::move(candidate.stream);
  }
  return nullptr;
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
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits.max_response_bytes);
  if (message.method() == http::verb::head)
    parser.skip(true);
  co_await http::async_read(stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
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

void HttpClient::Impl::ReturnToPool(const Endpoint& endpoint,
                                    StreamPtr stream) {
  std::deque<IdleConnection>& pool = idle[endpoint];
  if (pool.size() >= limits.idle_connections_per_endpoint)
    pool.pop_front();
  stream->expires_never();
  pool.push_back(
      IdleConnection{std::move(stream), std::chrono::steady_clock::now()});
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
  const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
  StreamPtr stream = impl->TakeIdle(endpoint);
  if (stream) {
    ++impl->counters.reuses;
  } else {
    stream = co_await impl->Connect(endpoint, deadline, reason);
  }
  if (!stream) {
    ++impl->counters.failures;
    co_return std::nullopt;
  }
  if (std::chrono::steady_clock::now() >= write_before) {
    reason = {NetErrorKind::kTooLate, false, ""};
    impl->ReturnToPool(endpoint, std::move(stream));
    co_return std::nullopt;
  }
  stream->expires_at(deadline);
  bool keep_alive = false;
  std::optional<HttpResponse> response = co_await impl->Exchange(
      *stream, ToBeast(endpoint, std::move(request)), keep_alive, reason);
  if (!response) {
    ++impl->counters.failures;
    co_return std::nullopt;
  }
  if (keep_alive)
    impl->ReturnToPool(endpoint, std::move(stream));
  co_return response;
}

void HttpClient::DropIdle(const Endpoint& endpoint) {
  m_impl->idle.erase(endpoint);
}

const HttpClientCounters& HttpClient::counters() const {
  return m_impl->counters;
}

}  // namespace cowslipmast
