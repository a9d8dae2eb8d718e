#ifndef COWSLIPMAST_SRC_DAEMON_DESK_RUNNER_H_
#define COWSLIPMAST_SRC_DAEMON_DESK_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cowslipmast/desk.h"
#include "src/core/random.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Longest time that a call to a target uses its slot: the longest deadline.
 * A call goes on after its caller's deadline, because the target still works on
 * it; a silent connection would otherwise use the slot for ever. */
inline constexpr Duration kTargetCallLimit = std::chrono::seconds(60);

/** Sends a request to a peer; see PeerSet::Forward(). */
using PeerForward =
    std::function<asio::awaitable<std::optional<DeskReply>>(ProcessId peer,
                                                            DeskRequest request,
                                                            Duration timeout,
                                                            NetError& reason)>;

/** Runs the routing decisions of desk.h: calls, timers and replies. */
class DeskRunner {
 public:
  /** `http` and `random` must outlive `io`'s last handler. */
  static std::unique_ptr<DeskRunner> Make(asio::io_context& io,
                                          HttpClient& http,
                                          Random& random,
                                          PeerForward forward,
                                          const DeskLimits& limits);
  ~DeskRunner();
  DeskRunner(const DeskRunner&) = delete;
  DeskRunner& operator=(const DeskRunner&) = delete;

  /** Serves one request; returns by its deadline. */
  asio::awaitable<DeskReply> Serve(DeskRequest request, DeskOrigin origin);

  void SetTargets(const std::set<ServiceId>& known_services,
                  const std::vector<DeskTargetInfo>& targets);
  void SetUsableTargets(const std::set<TargetId>& usable, TimePoint until);
  void SetPeers(const std::vector<DeskPeerInfo>& peers);
  void BeginDrain();
  bool CloseIfDrained();

  const DeskState& state() const;

 private:
  struct Impl;
  explicit DeskRunner(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_DESK_RUNNER_H_
