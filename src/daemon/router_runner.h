#ifndef COWSLIPMAST_SRC_DAEMON_ROUTER_RUNNER_H_
#define COWSLIPMAST_SRC_DAEMON_ROUTER_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cowslipmast/router.h"
#include "src/core/random.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Timeout of a call to a target: the maximum deadline. A call outlives the
 * deadline of its caller, because the target is still working on it; without a
 * timeout an unresponsive connection would occupy the slot for ever. */
inline constexpr Duration kTargetCallTimeout = std::chrono::seconds(60);

/** Sends a request to a peer; see PeerSet::Forward(). */
using PeerForward = std::function<asio::awaitable<std::optional<RouterReply>>(
    ProcessId peer,
    RouterRequest request,
    Duration timeout,
    NetError& reason)>;

/** Carries out the routing decisions of router.h: calls, timers, replies. */
class RouterRunner {
 public:
  /** `http` and `random` must outlive the last handler of `io`. */
  static std::unique_ptr<RouterRunner> Make(asio::io_context& io,
                                            HttpClient& http,
                                            Random& random,
                                            PeerForward forward,
                                            const RouterLimits& limits);
  ~RouterRunner();
  RouterRunner(const RouterRunner&) = delete;
  RouterRunner& operator=(const RouterRunner&) = delete;

  /** Serves one request; returns by its deadline. */
  asio::awaitable<RouterReply> Serve(RouterRequest request,
                                     RequestOrigin origin);

  void SetTargets(const std::set<ServiceId>& known_services,
                  const std::vector<RouterTargetInfo>& targets);
  void SetUsableTargets(const std::set<TargetId>& usable, TimePoint until);
  void SetPeers(const std::vector<RouterPeerInfo>& peers);
  void BeginDrain();
  bool CloseIfDrained();

  const RouterState& state() const;

 private:
  struct Impl;
  explicit RouterRunner(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ROUTER_RUNNER_H_
