#ifndef COWSLIPMAST_SRC_NET_PEER_SERVER_H_
#define COWSLIPMAST_SRC_NET_PEER_SERVER_H_

#include <memory>

#include "src/net/asio.h"
#include "src/net/kj_thread.h"
#include "src/net/peer_set.h"
#include "src/schema/peer.capnp.h"

namespace cowslipmast {

/** Makes the RPC interface that runs `handlers` on the Asio thread. `io` must
 * outlive the kj event loop. */
schema::Peer::Client MakePeerServer(
    asio::io_context& io,
    std::weak_ptr<KjThread> thread,
    std::shared_ptr<const PeerHandlers> handlers);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_SERVER_H_
