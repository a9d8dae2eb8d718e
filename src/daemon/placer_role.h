#ifndef COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_
#define COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_

#include <memory>
#include <string>

#include "cowslipmast/placement.h"
#include "src/daemon/role.h"

namespace cowslipmast {

enum class PlacerErrorKind {
  kChartFile,  // the charts cannot be read
  kChartName,  // a chart lacks a name that the code uses
};

/** Why a placement process cannot start. */
struct PlacerError {
  PlacerErrorKind kind = PlacerErrorKind::kChartFile;
  std::string detail;
};

/** Placement process: owns data centres, starts tasks on their workers and
 * accepts jobs on the admin port. */
class PlacerRole {
 public:
  /** Reads `task.toml` and `lease.toml` from the charts directory. */
  static std::unique_ptr<PlacerRole> Make(const RoleContext& context,
                                          const PlacementPolicy& policy,
                                          PlacerError& reason);
  ~PlacerRole();
  PlacerRole(const PlacerRole&) = delete;
  PlacerRole& operator=(const PlacerRole&) = delete;

  /** Starts periodic decisions; they run until the role is destroyed. */
  void Start();
  /** The hooks are valid as long as the role. */
  RoleHooks hooks();

 private:
  struct Impl;
  explicit PlacerRole(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PLACER_ROLE_H_
