#ifndef COWSLIPMAST_SRC_DAEMON_OWNED_DATA_CENTRE_H_
#define COWSLIPMAST_SRC_DAEMON_OWNED_DATA_CENTRE_H_

#include <functional>
#include <map>
#include <memory>

#include "cowslipmast/fold.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/placement.h"
#include "src/daemon/role.h"
#include "src/net/worker_client.h"

namespace cowslipmast {

/** Last known addresses of workers. Kept after a worker leaves the VM list,
 * because it may still hold leases. */
using WorkerAddresses = std::map<VmId, WorkerAddress>;

/** A data centre that this process owns: follows its stream, sends the commands
 * of the placement to workers and applies their replies. */
class OwnedDataCentre {
 public:
  /** State shared by all owned data centres; must outlive them. */
  struct Shared {
    RoleContext& context;
    WorkerClient& workers;
    const WorkerAddresses& addresses;
    PlacementPolicy policy;
    std::shared_ptr<const PlacementCharts> charts;
    std::function<void()> request_decision;  // schedules one soon
    bool draining = false;
  };

  /** Starts following the stream of the data centre. */
  static std::unique_ptr<OwnedDataCentre> Make(Shared& shared,
                                               const DataCentreId& id,
                                               Epoch epoch);
  /** Stops sending; replies in flight are ignored. */
  ~OwnedDataCentre();
  OwnedDataCentre(const OwnedDataCentre&) = delete;
  OwnedDataCentre& operator=(const OwnedDataCentre&) = delete;

  Epoch epoch() const;
  /** Sets whether the ownership rules permit acting now. */
  void SetPermitted(bool permitted);
  void Decide();
  /** True if no start and no append is in flight. Listings and lease renewals
   * are ignored: some are always in flight, and none has a lasting effect. */
  bool idle() const;
  /** Null until acting is permitted for the first time. */
  const PlacementState* placement() const;
  const DataCentreState& state() const;

 private:
  struct Impl;
  explicit OwnedDataCentre(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_OWNED_DATA_CENTRE_H_
