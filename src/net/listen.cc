#include "src/net/listen.h"

namespace cowslipmast {

using asio::ip::tcp;

bool Listen(tcp::acceptor& acceptor,
            const Endpoint& endpoint,
            NetError& reason) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    reason = {NetErrorKind::kBadAddress, false, endpoint.address};
    return false;
  }
  const tcp::endpoint local(address, endpoint.port);
  acceptor.open(local.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(local, error);
  if (!error)
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    reason = {NetErrorKind::kListenFailed, false, error.message()};
    return false;
  }
  return true;
}

}  // namespace cowslipmast
