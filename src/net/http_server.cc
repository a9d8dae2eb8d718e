#include "src/net/http_server.h"

#include <exception>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "src/net/beast_message.h"
#include "src/net/listen.h"

namespace cowslipmast {

using asio::ip::tcp;

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

using Parser = http::request_parser<http::string_body>;

HttpRequest TakeRequest(Parser& parser) {
  http::request<http::string_body> message = parser.release();
  return HttpRequest{.method = std::string(message.method_string()),
                     .path = std::string(message.target()),
                     .headers = FromBeastFields(message),
                     .body = std::move(message.body())};
}

bool IsTooLarge(const beast::error_code& error) {
  return error == http::error::body_limit ||
         error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

bool IsMalformed(const beast::error_code& error) {
  return error.category() ==
             make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

HttpResponse MakeReadErrorResponse(bool too_large) {
  HttpResponse response = MakeJsonResponse(
      too_large ? 413 : 400, too_large ? R"({"error":"request_too_large"})"
                                       : R"({"error":"malformed_request"})");
  response.headers.push_back({"Cowslipmast-Outcome", "not-run"});
  return response;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  struct Connection {
    explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    bool busy = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(asio::io_context& io, const HttpServerLimits& server_limits)
      : acceptor(io), limits(server_limits) {}

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<bool> ServeOne(ConnectionPtr connection,
                                 beast::flat_buffer& buffer);
  asio::awaitable<bool> WaitForRequest(ConnectionPtr connection,
                                       beast::flat_buffer& buffer);
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request);
  asio::awaitable<void> RejectRequest(ConnectionPtr connection,
                                      beast::error_code error);
  asio::awaitable<bool> Write(ConnectionPtr connection,
                              HttpResponse response,
                              bool keep_alive);
  void CloseIdleConnections();

  tcp::acceptor acceptor;
  HttpServerLimits limits;
  HttpHandler handler;
  HttpServerCounters counters;
  std::set<ConnectionPtr> connections;
  size_t in_progress = 0;
  uint16_t port = 0;
  bool close_after_response = false;
  bool stopped = false;
};

asio::awaitable<void> HttpServer::Impl::AcceptLoop() {
  const auto self = shared_from_this();
  asio::steady_timer timer(acceptor.get_executor());
  while (!stopped) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (stopped)
      co_return;
    if (error) {
      // Probably out of file descriptors; connections that end release some.
      timer.expires_after(kAcceptRetryDelay);
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (connections.size() >= limits.connections) {
      ++counters.refused_connections;
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    connections.insert(connection);
    asio::co_spawn(acceptor.get_executor(), Serve(connection), asio::detached);
  }
}

asio::awaitable<void> HttpServer::Impl::Serve(ConnectionPtr connection) {
  const auto self = shared_from_this();
  beast::flat_buffer buffer;
  bool open = true;
  while (open && !stopped) {
    open = co_await WaitForRequest(connection, buffer);
    if (open)
      open = co_await ServeOne(connection, buffer);
  }
  boost::system::error_code ignored;
  connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  connections.erase(connection);
}

// Waits for the first byte of a request, to distinguish an idle connection from
// one that is in the middle of a request.
asio::awaitable<bool> HttpServer::Impl::WaitForRequest(
    ConnectionPtr connection,
    beast::flat_buffer& buffer) {
  if (buffer.size() > 0)
    co_return true;
  beast::error_code error;
  connection->stream.expires_after(limits.idle_timeout);
  const size_t count = co_await connection->stream.async_read_some(
      buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
  buffer.commit(count);
  co_return !error;
}

asio::awaitable<bool> HttpServer::Impl::ServeOne(ConnectionPtr connection,
                                                 beast::flat_buffer& buffer) {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  beast::error_code error;
  connection->busy = true;
  connection->stream.expires_after(limits.read_timeout);
  co_await http::async_read(connection->stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_await RejectRequest(connection, error);
    co_return false;
  }
  ++counters.requests;
  ++in_progress;
  connection->stream.expires_never();
  const bool keep_alive = parser.get().keep_alive();
  HttpResponse response = co_await HandleRequest(TakeRequest(parser));
  const bool written =
      co_await Write(connection, std::move(response), keep_alive);
  --in_progress;
  connection->busy = false;
  co_return written&& keep_alive && !close_after_response;
}

// An exception of the handler is an error of that request alone. The response
// does not say whether the request has had an effect.
asio::awaitable<HttpResponse> HttpServer::Impl::HandleRequest(
    HttpRequest request) {
  try {
    co_return co_await handler(std::move(request));
  } catch (const std::exception&) {
    ++counters.failed_handlers;
  }
  co_return MakeJsonResponse(500, R"({"error":"internal_error"})");
}

asio::awaitable<void> HttpServer::Impl::RejectRequest(ConnectionPtr connection,
                                                      beast::error_code error) {
  const bool too_large = IsTooLarge(error);
  if (!too_large && !IsMalformed(error))
    co_return;
  ++(too_large ? counters.oversized_requests : counters.bad_requests);
  co_await Write(connection, MakeReadErrorResponse(too_large), false);
}

asio::awaitable<bool> HttpServer::Impl::Write(ConnectionPtr connection,
                                              HttpResponse response,
                                              bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(response.status);
  AddBeastFields(response.headers, message);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive && !close_after_response);
  message.prepare_payload();
  beast::error_code error;
  connection->stream.expires_after(limits.write_timeout);
  co_await http::async_write(connection->stream, message,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

void HttpServer::Impl::CloseIdleConnections() {
  for (const ConnectionPtr& connection : connections) {
    if (!connection->busy)
      connection->stream.cancel();
  }
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer() {
  StopAccepting();
}

std::unique_ptr<HttpServer> HttpServer::Make(asio::io_context& io,
                                             const Endpoint& endpoint,
                                             const HttpServerLimits& limits,
                                             HttpHandler handler,
                                             NetError& reason) {
  auto impl = std::make_shared<Impl>(io, limits);
  impl->handler = std::move(handler);
  if (!Listen(impl->acceptor, endpoint, reason))
    return nullptr;
  impl->port = impl->acceptor.local_endpoint().port();
  asio::co_spawn(io, impl->AcceptLoop(), asio::detached);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

uint16_t HttpServer::port() const {
  return m_impl->port;
}

const HttpServerCounters& HttpServer::counters() const {
  return m_impl->counters;
}

size_t HttpServer::in_progress() const {
  return m_impl->in_progress;
}

size_t HttpServer::connections() const {
  return m_impl->connections.size();
}

void HttpServer::CloseAfterResponse() {
  m_impl->close_after_response = true;
}

void HttpServer::StopAccepting() {
  m_impl->stopped = true;
  boost::system::error_code ignored;
  m_impl->acceptor.close(ignored);
  m_impl->CloseIdleConnections();
}

}  // namespace cowslipmast
