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

/** Last known addresses of workers, kept while a worker may hold leases. */
using WorkerAddresses = std::map<VmId, WorkerAddress>;

/** A data centre that this process owns: follows its stream, sends the
 * commands that the placement decides, and feeds the replies back. */
class OwnedDataCentre {
 public:
  /** What the owned data centres share; outlives them. */
  struct Shared {
    RoleContext& context;
    WorkerClient& workers;
    const WorkerAddresses& addresses;
    PlacementPolicy policy;
    std::shared_ptr<const PlacementCharts> charts;
    std::function<void()> changed;  // asks for a decision soon
    bool draining = false;
  };

  /** Starts to follow the data centre's stream. */
  static std::unique_ptr<OwnedDataCentre> Make(Shared& shared,
                                               const DataCentreId& id,
                                               Epoch epoch);
  /** Sends nothing more; replies on their way are ignored. */
  ~OwnedDataCentre();
  OwnedDataCentre(const OwnedDataCentre&) = delete;
  OwnedDataCentre& operator=(const OwnedDataCentre&) = delete;

  Epoch epoch() const;
  /** Whether the ownership rules permit to act now. */
  void SetPermitted(bool permitted);
  void Decide();
  /** True if no start and no append is on its way. Lists and renewals do not
   * count: they are always on their way and change nothing of later effect. */
  bool idle() const;
  /** Nothing before the first permission to act. */
  const Placement* placement() const;
  const DataCentreState& state() const;

 private:
  struct Impl;
  explicit OwnedDataCentre(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_OWNED_DATA_CENTRE_H_
