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
  kChart,       // charts/process.toml lacks a state or event that is needed
  kPeerListen,  // the port for peers could not be opened
  kAdminListen,
  kRole,  // the role could not be made, such as when its port is taken
};

/** Why a process could not start. */
struct ProcessError {
  ProcessErrorKind kind = ProcessErrorKind::kRole;
  std::string detail;
};

/** A role and what keeps its hooks valid. */
struct MadeRole {
  RoleHooks hooks;
  std::shared_ptr<void> keep;
};

/** Makes the role of a process; nothing on failure, with `reason` set. */
using RoleFactory =
    std::function<std::optional<MadeRole>(const RoleContext&,
                                          ProcessError& reason)>;

/** One cowslipmastd process: what both roles share. */
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

  /** Follows the log and takes part; stops `io` after a planned stop. */
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
