#ifndef COWSLIPMAST_TESTS_NET_RELAY_H_
#define COWSLIPMAST_TESTS_NET_RELAY_H_

#include <array>
#include <memory>
#include <set>

#include "src/net/asio.h"

namespace cowslipmast {

/** TCP relay that can drop the data of open connections while new ones work. */
class Relay {
 public:
  Relay(asio::io_context& io, uint16_t target_port)
      : m_io(io),
        m_target(asio::ip::address_v4::loopback(), target_port),
        m_acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(m_io, Accept(), asio::detached);
  }

  uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  int accepted() const { return m_accepted; }

  /** Drops all further data of the connections that are open now. */
  void BlackholeOpenConnections() { ++m_generation; }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  asio::awaitable<void> Accept() {
    while (true) {
      auto client_socket = std::make_shared<asio::ip::tcp::socket>(m_io);
      auto server_socket = std::make_shared<asio::ip::tcp::socket>(m_io);
      co_await m_acceptor.async_accept(*client_socket, asio::use_awaitable);
      co_await server_socket->async_connect(m_target, asio::use_awaitable);
      ++m_accepted;
      asio::co_spawn(m_io, Copy(client_socket, server_socket, m_generation),
                     asio::detached);
      asio::co_spawn(m_io, Copy(server_socket, client_socket, m_generation),
                     asio::detached);
    }
  }

  asio::awaitable<void> Copy(Socket from, Socket to, int generation) {
    std::array<char, 4096> buffer{};
    while (true) {
      boost::system::error_code error;
      const size_t count = co_await from->async_read_some(
          asio::buffer(buffer),
          asio::redirect_error(asio::use_awaitable, error));
      if (error)
        co_return;
      if (generation != m_generation)
        continue;
      co_await asio::async_write(
          *to, asio::buffer(buffer.data(), count),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  int m_generation = 0;
  int m_accepted = 0;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_NET_RELAY_H_
