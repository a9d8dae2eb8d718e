#include "src/net/http_server.h"

#include <algorithm>
#include <exception>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "src/net/beast_message.h"
#include "src/net/connection_choice.h"
#include "src/net/descriptors.h"
#include "src/net/listen.h"
#include "src/net/message_budget.h"

namespace cowslipmast {

using asio::ip::tcp;

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// A smaller answer is sent whatever the others take: its request has had its
// effect.
constexpr size_t kMinAnswerToShed = 16 * 1024;

using Parser = http::request_parser<http::string_body>;
using SteadyTime = std::chrono::steady_clock::time_point;

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

HttpResponse MakeNotRunResponse(uint16_t status, std::string body) {
  HttpResponse response = MakeJsonResponse(status, std::move(body));
  response.headers.push_back({"Cowslipmast-Outcome", "not-run"});
  return response;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  struct Connection {
    explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    asio::ip::address address;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    SteadyTime since;  // of the phase
    bool is_replaced = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(asio::io_context& io, const HttpServerLimits& server_limits)
      : acceptor(io),
        limits(server_limits),
        budget(MessageBudget::Make(server_limits.request_memory_bytes)) {
    limits.connections = std::min(limits.connections, PartOfDescriptors(2));
  }

  asio::awaitable<void> AcceptLoop();
  bool MakeRoom();
  static void SetPhase(Connection& connection, ConnectionPhase phase);
  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<bool> ServeOne(ConnectionPtr connection,
                                 beast::flat_buffer& buffer);
  asio::awaitable<bool> WaitForRequest(ConnectionPtr connection,
                                       beast::flat_buffer& buffer);
  asio::awaitable<std::optional<HttpRequest>> ReadRequest(
      ConnectionPtr connection,
      beast::flat_buffer& buffer,
      MessageBudget::Share& share,
      bool& keep_alive,
      beast::error_code& error);
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request);
  asio::awaitable<void> RejectRequest(ConnectionPtr connection,
                                      beast::error_code error,
                                      bool is_shed);
  asio::awaitable<bool> WriteAnswer(ConnectionPtr connection,
                                    HttpResponse response,
                                    MessageBudget::Share& share,
                                    bool keep_alive);
  asio::awaitable<bool> Write(ConnectionPtr connection,
                              HttpResponse response,
                              bool keep_alive);
  void CloseIdleConnections();

  tcp::acceptor acceptor;
  HttpServerLimits limits;
  HttpHandler handler;
  HttpServerCounters counters;
  std::shared_ptr<MessageBudget> budget;
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
    if (connections.size() >= limits.connections && !MakeRoom()) {
      ++counters.refused_connections;
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->address =
        connection->stream.socket().remote_endpoint(error).address();
    connection->since = std::chrono::steady_clock::now();
    connections.insert(connection);
    asio::co_spawn(acceptor.get_executor(), Serve(connection), asio::detached);
  }
}

// Closes the connection that gives way to a new one; false if none does.
bool HttpServer::Impl::MakeRoom() {
  std::map<asio::ip::address, size_t> counts;
  for (const ConnectionPtr& connection : connections)
    ++counts[connection->address];
  std::vector<ConnectionUse> uses;
  uses.reserve(connections.size());
  for (const ConnectionPtr& connection : connections)
    uses.push_back(
        {connection->phase, connection->since, counts[connection->address]});
  const auto chosen = ChooseToReplace(uses, std::chrono::steady_clock::now());
  if (!chosen)
    return false;
  const auto position =
      std::next(connections.begin(), static_cast<std::ptrdiff_t>(*chosen));
  Connection& replaced = **position;
  replaced.is_replaced = true;
  replaced.stream.close();
  connections.erase(position);
  ++counters.replaced_connections;
  return true;
}

void HttpServer::Impl::SetPhase(Connection& connection, ConnectionPhase phase) {
  connection.phase = phase;
  connection.since = std::chrono::steady_clock::now();
}

asio::awaitable<void> HttpServer::Impl::Serve(ConnectionPtr connection) {
  const auto self = shared_from_this();
  beast::flat_buffer buffer(ReadBufferSize(limits.header_bytes));
  bool open = true;
  while (open && !stopped && !connection->is_replaced) {
    buffer.shrink_to_fit();
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
  const auto share = MessageBudget::Join(
      budget, [raw = connection.get()] { raw->stream.cancel(); });
  beast::error_code error;
  bool keep_alive = false;
  SetPhase(*connection, ConnectionPhase::kReading);
  std::optional<HttpRequest> request =
      co_await ReadRequest(connection, buffer, *share, keep_alive, error);
  if (connection->is_replaced)
    co_return false;
  if (!request) {
    co_await RejectRequest(connection, error, share->is_given_up());
    co_return false;
  }
  ++counters.requests;
  ++in_progress;
  share->SetComplete();
  SetPhase(*connection, ConnectionPhase::kHandling);
  connection->stream.expires_never();
  HttpResponse response = co_await HandleRequest(std::move(*request));
  SetPhase(*connection, ConnectionPhase::kAnswering);
  const bool written =
      co_await WriteAnswer(connection, std::move(response), *share, keep_alive);
  --in_progress;
  SetPhase(*connection, ConnectionPhase::kIdle);
  co_return written&& keep_alive && !close_after_response &&
      !connection->is_replaced;
}

// Reads a request piece by piece, so that all requests together stay within
// their memory. Nothing if it was given up or is not valid.
asio::awaitable<std::optional<HttpRequest>> HttpServer::Impl::ReadRequest(
    ConnectionPtr connection,
    beast::flat_buffer& buffer,
    MessageBudget::Share& share,
    bool& keep_alive,
    beast::error_code& error) {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  connection->stream.expires_after(limits.read_timeout);
  size_t fields = 0;
  while (!parser.is_done()) {
    co_await http::async_read_some(
        connection->stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error || share.is_given_up() || connection->is_replaced)
      co_return std::nullopt;
    // The last piece may add the fields of trailers.
    if (parser.is_done() || (fields == 0 && parser.is_header_done()))
      fields = HeldByFields(parser.get());
    share.SetBytes(fields + HeldBytes(parser.get().body(), buffer));
    if (share.is_given_up())
      co_return std::nullopt;
  }
  keep_alive = parser.get().keep_alive();
  co_return TakeRequest(parser);
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
                                                      beast::error_code error,
                                                      bool is_shed) {
  if (is_shed) {
    ++counters.shed_requests;
    HttpResponse response =
        MakeNotRunResponse(503, R"({"error":"too_many_requests_at_once"})");
    response.headers.push_back({"Retry-After", "1"});
    co_await Write(connection, std::move(response), false);
    co_return;
  }
  const bool too_large = IsTooLarge(error);
  if (!too_large && !IsMalformed(error))
    co_return;
  ++(too_large ? counters.oversized_requests : counters.bad_requests);
  HttpResponse response =
      too_large ? MakeNotRunResponse(413, R"({"error":"request_too_large"})")
                : MakeNotRunResponse(400, R"({"error":"malformed_request"})");
  co_await Write(connection, std::move(response), false);
}

// Sends the answer to a request. A large one counts as memory, and may be given
// up for that.
asio::awaitable<bool> HttpServer::Impl::WriteAnswer(ConnectionPtr connection,
                                                    HttpResponse response,
                                                    MessageBudget::Share& share,
                                                    bool keep_alive) {
  if (response.body.size() >= kMinAnswerToShed)
    share.SetIncomplete();
  share.SetBytes(response.body.size());
  bool written = false;
  if (!share.is_given_up())
    written = co_await Write(connection, std::move(response), keep_alive);
  counters.shed_requests += share.is_given_up() ? 1 : 0;
  co_return written;
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
    if (connection->phase == ConnectionPhase::kIdle)
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
