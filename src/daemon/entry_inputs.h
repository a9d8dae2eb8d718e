#ifndef COWSLIPMAST_SRC_DAEMON_ENTRY_INPUTS_H_
#define COWSLIPMAST_SRC_DAEMON_ENTRY_INPUTS_H_

#include <set>
#include <vector>

#include "cowslipmast/config.h"
#include "cowslipmast/ownership.h"
#include "cowslipmast/router.h"
#include "cowslipmast/shared_state.h"
#include "cowslipmast/vm.h"
#include "src/daemon/caller_headers.h"
#include "src/net/peer_set.h"

namespace cowslipmast {

/** Targets of a region, with the limits and data centres of the
 * configuration. A target in an unknown data centre is out of service. */
std::vector<RouterTargetInfo> FindTargets(const std::vector<VmInfo>& vms,
                                          const ControlState& control,
                                          const RegionId& region);

/** The targets of a region as resources that can be owned. */
std::set<ResourceId> FindTargetResources(const std::vector<VmInfo>& vms,
                                         const RegionId& region);

std::set<ServiceId> FindServices(const Config& config);

/** The targets among the usable resources of `decision`. */
std::set<TargetId> FindUsableTargets(const OwnershipDecision& decision);

/** Entry processes that are connected and not draining. */
std::vector<RouterPeerInfo> FindPeers(const std::vector<PeerView>& peers,
                                      const RegionId& region);

/** Converts a caller's request. `generated` is used as the request id if the
 * caller gave none. */
RouterRequest MakeRouterRequest(HttpRequest request,
                                const CallerHeaders& headers,
                                const Config& config,
                                const RequestId& generated);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ENTRY_INPUTS_H_
