#ifndef COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_
#define COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_

#include <memory>

#include "cowslipmast/placement.h"
#include "src/daemon/role.h"

namespace cowslipmast {

/** The placer: owns data centres, starts tasks on their workers, and accepts
 * jobs on the admin port. */
class PlacerRole {
 public:
  static std::unique_ptr<PlacerRole> Make(const RoleContext& context,
                                          const PlacementPolicy& policy);
  ~PlacerRole();
  PlacerRole(const PlacerRole&) = delete;
  PlacerRole& operator=(const PlacerRole&) = delete;

  /** Starts the timer of decisions; runs until the role is destroyed. */
  void Start();
  /** Valid as long as the role. */
  RoleHooks hooks();

 private:
  struct Impl;
  explicit PlacerRole(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_
