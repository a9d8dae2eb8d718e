#ifndef COWSLIPMAST_SRC_NET_PEER_SET_H_
#define COWSLIPMAST_SRC_NET_PEER_SET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/log_client.h"
#include "src/net/net_error.h"
#include "src/net/peer_link.h"
#include "src/net/peer_message.h"

namespace cowslipmast {

/** Connection state and last heartbeat of one peer. */
struct PeerView {
  Member member;
  PeerLink link = PeerLink::kDown;
  std::optional<Heartbeat> last;
  /** When the request that returned `last` was sent. */
  std::chrono::steady_clock::time_point asked_at;
};

/** Peer to stay connected to. */
struct PeerSpec {
  Member member;
  /** A peer is suspect after 3 and down after 10 intervals without a
   * response. */
  Duration heartbeat_interval = std::chrono::milliseconds(500);
};

/** Handlers of requests from peers; all run on the Asio thread. */
struct PeerHandlers {
  std::function<Heartbeat()> heartbeat;
  std::function<asio::awaitable<RouterReply>(RouterRequest)> forward;
  /** Returns std::nullopt if this process does not follow the stream. */
  std::function<asio::awaitable<std::optional<LogPage>>(StreamId stream,
                                                        LogOffset from,
                                                        uint32_t max_entries,
                                                        Duration wait)>
      read_log;
};

/** Connections to the other processes of the system, over Cap'n Proto RPC. */
class PeerSet {
 public:
  static std::unique_ptr<PeerSet> Make(asio::io_context& io,
                                       const Endpoint& listen,
                                       PeerHandlers handlers,
                                       NetError& reason);
  ~PeerSet();
  PeerSet(const PeerSet&) = delete;
  PeerSet& operator=(const PeerSet&) = delete;

  uint16_t port() const;
  /** Connects to new peers and disconnects those not in the list. */
  void SetPeers(const std::vector<PeerSpec>& peers);
  std::vector<PeerView> Peers() const;

  /** If it fails with `request_sent`, the peer may have run the request. */
  asio::awaitable<std::optional<RouterReply>> Forward(ProcessId peer,
                                                      RouterRequest request,
                                                      Duration timeout,
                                                      NetError& reason);
  asio::awaitable<std::optional<LogPage>> ReadLog(ProcessId peer,
                                                  StreamId stream,
                                                  LogOffset from,
                                                  uint32_t max_entries,
                                                  Duration wait,
                                                  NetError& reason);

 private:
  struct Impl;
  explicit PeerSet(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_SET_H_
