#ifndef COWSLIPMAST_SRC_NET_LISTEN_H_
#define COWSLIPMAST_SRC_NET_LISTEN_H_

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Opens an acceptor on an endpoint; port 0 selects a free port. */
bool Listen(asio::ip::tcp::acceptor& acceptor,
            const Endpoint& endpoint,
            NetError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_LISTEN_H_
