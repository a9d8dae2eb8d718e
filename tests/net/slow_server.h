#ifndef COWSLIPMAST_TESTS_NET_SLOW_SERVER_H_
#define COWSLIPMAST_TESTS_NET_SLOW_SERVER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "cowslipmast/vm.h"
#include "src/net/asio.h"

namespace cowslipmast {

/** A response whose parts are sent one after the other. */
struct SlowResponse {
  std::string body;
  size_t parts = 1;
  std::chrono::milliseconds pause{0};  // before each part
};

/** Answers each request with the same status 200, as over a full link. */
class SlowServer {
 public:
  SlowServer(asio::io_context& io, SlowResponse response)
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        m_response(std::move(response)) {
    asio::co_spawn(io, Accept(), asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }
  /** Requests received so far. */
  int requests() const { return m_requests; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(m_acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    boost::system::error_code error;
    std::string received;
    std::array<char, 4096> part{};
    while (!error) {
      const size_t length = co_await socket.async_read_some(
          asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
      received.append(part.data(), length);
      if (!received.ends_with("\r\n\r\n"))
        continue;
      received.clear();
      ++m_requests;
      co_await Respond(socket, error);
    }
  }

  asio::awaitable<void> Respond(asio::ip::tcp::socket& socket,
                                boost::system::error_code& error) {
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(m_response.body.size()) +
                              "\r\n\r\n" + m_response.body;
    const size_t part = bytes.size() / m_response.parts + 1;
    asio::steady_timer timer(m_acceptor.get_executor());
    for (size_t sent = 0; sent < bytes.size() && !error; sent += part) {
      timer.expires_after(m_response.pause);
      co_await timer.async_wait(asio::use_awaitable);
      const std::string next = bytes.substr(sent, part);
      co_await asio::async_write(
          socket, asio::buffer(next),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  SlowResponse m_response;
  int m_requests = 0;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_NET_SLOW_SERVER_H_
