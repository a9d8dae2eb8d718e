#ifndef COWSLIPMAST_VM_H_
#define COWSLIPMAST_VM_H_

#include <cstdint>
#include <string>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** An IP address and a port. */
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

enum class VmKind { kEntry, kTarget, kWorker };

/** State of a VM in the platform's list. */
enum class VmListState { kLive, kLeaving };

/** State of a VM set by operators or by observed failures. */
enum class VmServiceState { kInService, kDraining, kQuarantined };

/** One row of the platform's list of VMs. */
struct VmInfo {
  VmId id;
  VmKind kind = VmKind::kWorker;
  ServiceId service;  // targets only
  DataCentreId data_centre;
  RegionId region;
  std::string rack;
  Endpoint endpoint;
  std::string base_path;  // path prefix of the worker's API
  VmListState state = VmListState::kLive;
  Slots slots;          // targets only
  Resources resources;  // workers only

  bool operator==(const VmInfo&) const = default;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_VM_H_
