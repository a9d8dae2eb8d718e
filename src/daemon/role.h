#ifndef COWSLIPMAST_SRC_DAEMON_ROLE_H_
#define COWSLIPMAST_SRC_DAEMON_ROLE_H_

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "cowslipmast/fold.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/ownership.h"
#include "cowslipmast/vm.h"
#include "src/core/random.h"
#include "src/daemon/metrics.h"
#include "src/daemon/settings.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/http_message.h"
#include "src/net/log_client.h"
#include "src/net/peer_message.h"
#include "src/net/peer_set.h"
#include "src/net/stream_follower.h"

namespace cowslipmast {

/** Services that the process provides to its role; all outlive the role. */
struct RoleContext {
  asio::io_context& io;
  const Settings& settings;
  const ProcessId& self;
  HttpClient& http;
  LogClient& log;
  Metrics& metrics;
  Random& random;
  const ControlFold& control;
  StreamFollower& control_log;
  PeerSet& peers;
  /** Latest VM list; empty until the first successful read. */
  const std::vector<VmInfo>& vms;
};

/** Callbacks of a role; all run on the Asio thread. */
struct RoleHooks {
  /** Called every 200 ms with the usable resources; see ownership.h. */
  std::function<void(const OwnershipDecision&)> on_ownership;
  /** Resources of this region that should have an owner. */
  std::function<std::set<ResourceId>()> resources;
  /** True if no work is in progress on a resource to be handed over. */
  std::function<bool(const ResourceId&)> idle;
  /** Called after the `control` fold or the VM list has changed. */
  std::function<void()> on_change;
  std::function<FreeSlots()> free_slots;
  std::function<asio::awaitable<RouterReply>(RouterRequest)> forward;
  /** Handles a request on the admin port that is not a page of the process. */
  std::function<asio::awaitable<std::optional<HttpResponse>>(HttpRequest)>
      admin;
  std::function<nlohmann::json()> dump;
  /** Called at the start of a planned stop; new work is still accepted. May be
   * empty. */
  std::function<void()> begin_grace;
  /** Stops accepting work; called after the grace time of a planned stop. */
  std::function<void()> begin_drain;
  /** True once no work is in progress. */
  std::function<bool()> drained;
};

/** Converts a time of the steady clock to the library's monotonic time. */
inline TimePoint ToTimePoint(std::chrono::steady_clock::time_point time) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ROLE_H_
