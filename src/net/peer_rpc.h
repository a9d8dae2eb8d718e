#ifndef COWSLIPMAST_SRC_NET_PEER_RPC_H_
#define COWSLIPMAST_SRC_NET_PEER_RPC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/kj_thread.h"
#include "src/net/net_error.h"
#include "src/net/peer_message.h"
#include "src/net/peer_set.h"

namespace cowslipmast {

/** Outgoing RPC connection, shared by the calls that use it. */
class PeerChannel;
using PeerChannelPtr = std::shared_ptr<PeerChannel>;

/** Outcome of one call; `value` is absent on failure. */
template <typename T>
struct RpcResult {
  std::optional<T> value;
  NetError error;
};

/** Cap'n Proto RPC with the peers. No method blocks; results are delivered on
 * the Asio thread. */
class PeerRpc {
 public:
  static std::unique_ptr<PeerRpc> Make(asio::io_context& io,
                                       const Endpoint& listen,
                                       PeerHandlers handlers,
                                       NetError& reason);
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;

  uint16_t port() const;

  /** Connects in the background; calls on the channel wait for it. */
  PeerChannelPtr Connect(const Endpoint& endpoint);

  void CallHeartbeat(const PeerChannelPtr& channel,
                     const Heartbeat& heartbeat,
                     Duration timeout,
                     std::function<void(RpcResult<Heartbeat>)> done);
  void CallForward(const PeerChannelPtr& channel,
                   RouterRequest request,
                   Duration timeout,
                   std::function<void(RpcResult<RouterReply>)> done);
  void CallReadLog(const PeerChannelPtr& channel,
                   const StreamId& stream,
                   LogOffset from,
                   uint32_t max_entries,
                   Duration wait,
                   std::function<void(RpcResult<LogPage>)> done);

 private:
  struct Impl;
  explicit PeerRpc(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_RPC_H_
