#include "standins/common/fault_injection_server.h"

#include <set>
#include <string>
#include <utility>

#include "src/net/beast_message.h"
#include "src/net/listen.h"

namespace cowslipmast::standins {

using asio::ip::tcp;

namespace {

// Higher than the limits of the daemon, so that tests reach those first.
constexpr uint64_t kBodyLimitBytes = 64ULL * 1024 * 1024;
constexpr uint32_t kHeaderLimitBytes = 64 * 1024;

using Parser = http::request_parser<http::string_body>;
using StreamPtr = std::shared_ptr<beast::tcp_stream>;

HttpRequest TakeRequest(Parser& parser) {
  http::request<http::string_body> message = parser.release();
  return HttpRequest{.method = std::string(message.method_string()),
                     .path = std::string(message.target()),
                     .headers = FromBeastFields(message),
                     .body = std::move(message.body())};
}

http::response<http::string_body> MakeMessage(InjectedResponse answer,
                                              bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(answer.response.status);
  AddBeastFields(answer.response.headers, message);
  message.body() = std::move(answer.response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  // Content-Length still states the size of the complete body.
  if (answer.delivery == ResponseDelivery::kTruncated)
    message.body().resize(message.body().size() / 2);
  return message;
}

}  // namespace

struct FaultInjectionServer::Impl
    : std::enable_shared_from_this<FaultInjectionServer::Impl> {
  explicit Impl(asio::io_context& io) : acceptor(io) {}

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(StreamPtr stream);
  asio::awaitable<bool> ServeOne(StreamPtr stream, beast::flat_buffer& buffer);

  tcp::acceptor acceptor;
  FaultInjectionHandler handler;
  std::set<StreamPtr> streams;
  uint16_t port = 0;
  bool stopped = false;
};

asio::awaitable<void> FaultInjectionServer::Impl::AcceptLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (stopped || error)
      co_return;
    socket.set_option(tcp::no_delay(true), error);
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    streams.insert(stream);
    asio::co_spawn(acceptor.get_executor(), Serve(stream), asio::detached);
  }
}

asio::awaitable<void> FaultInjectionServer::Impl::Serve(StreamPtr stream) {
  const auto self = shared_from_this();
  beast::flat_buffer buffer;
  bool open = true;
  while (open && !stopped)
    open = co_await ServeOne(stream, buffer);
  boost::system::error_code ignored;
  stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream->socket().close(ignored);
  streams.erase(stream);
}

asio::awaitable<bool> FaultInjectionServer::Impl::ServeOne(
    StreamPtr stream,
    beast::flat_buffer& buffer) {
  Parser parser;
  parser.header_limit(kHeaderLimitBytes);
  parser.body_limit(kBodyLimitBytes);
  beast::error_code error;
  co_await http::async_read(*stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error)
    co_return false;
  bool keep_alive = parser.get().keep_alive();
  InjectedResponse answer = co_await handler(TakeRequest(parser));
  const ResponseDelivery delivery = answer.delivery;
  if (delivery == ResponseDelivery::kCompleteThenClose)
    keep_alive = false;
  if (delivery == ResponseDelivery::kDropConnection)
    co_return false;
  auto message = MakeMessage(std::move(answer), keep_alive);
  co_await http::async_write(*stream, message,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error && keep_alive && delivery == ResponseDelivery::kComplete;
}

FaultInjectionServer::FaultInjectionServer(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

FaultInjectionServer::~FaultInjectionServer() {
  m_impl->stopped = true;
  boost::system::error_code ignored;
  m_impl->acceptor.close(ignored);
  for (const StreamPtr& stream : m_impl->streams)
    stream->cancel();
}

std::unique_ptr<FaultInjectionServer> FaultInjectionServer::Make(
    asio::io_context& io,
    const Endpoint& endpoint,
    FaultInjectionHandler handler,
    NetError& reason) {
  auto impl = std::make_shared<Impl>(io);
  impl->handler = std::move(handler);
  if (!Listen(impl->acceptor, endpoint, reason))
    return nullptr;
  impl->port = impl->acceptor.local_endpoint().port();
  asio::co_spawn(io, impl->AcceptLoop(), asio::detached);
  return std::unique_ptr<FaultInjectionServer>(
      new FaultInjectionServer(std::move(impl)));
}

uint16_t FaultInjectionServer::port() const {
  return m_impl->port;
}

}  // namespace cowslipmast::standins
