#ifndef COWSLIPMAST_SRC_DAEMON_PROCESS_H_
#define COWSLIPMAST_SRC_DAEMON_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/daemon/chart_files.h"
#include "src/daemon/role.h"
#include "src/daemon/settings.h"
#include "src/net/asio.h"
#include "src/net/net_error.h"

namespace cowslipmast {

enum class ProcessErrorKind {
  kChart,       // charts/process.toml lacks a required state or event
  kPeerListen,  // the port for peers could not be opened
  kAdminListen,
  kRole,  // the role could not be created, for example if its port is in use
};

/** Why a process could not start. */
struct ProcessError {
  ProcessErrorKind kind = ProcessErrorKind::kRole;
  std::string detail;
};

/** Hooks of a role, and the object that must stay alive for them. */
struct RoleInstance {
  RoleHooks hooks;
  std::shared_ptr<void> owner;
};

/** Creates the role of a process; sets `reason` on failure. */
using RoleFactory =
    std::function<std::optional<RoleInstance>(const RoleContext&,
                                              ProcessError& reason)>;

/** One cowslipmastd process: the part that both roles share. */
class Process {
 public:
  /** Opens the ports. `io` must outlive the process. */
  static std::unique_ptr<Process> Make(asio::io_context& io,
                                       const Settings& settings,
                                       const ChartSet& charts,
                                       const RoleFactory& make_role,
                                       ProcessError& reason);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Starts following the log, then joins the member table. Stops `io` at the
   * end of a planned stop. */
  void Start();
  /** Begins a planned stop. */
  void Terminate();

 private:
  struct Impl;
  explicit Process(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PROCESS_H_
