#ifndef COWSLIPMAST_SRC_DAEMON_PROCESS_IMPL_H_
#define COWSLIPMAST_SRC_DAEMON_PROCESS_IMPL_H_

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/daemon/lifecycle.h"
#include "src/daemon/process.h"
#include "src/net/http_server.h"
#include "src/net/vm_list_client.h"

namespace cowslipmast {

using SteadyClock = std::chrono::steady_clock;

/** State of a process. process_open.cc creates the parts, process_view.cc
 * reports on them, process.cc runs them. */
struct Process::Impl : std::enable_shared_from_this<Process::Impl> {
  Impl(asio::io_context& asio_io, const Settings& process_settings);

  bool Open(const ChartSet& charts,
            const RoleFactory& make_role,
            ProcessError& reason);
  bool MakeLifecycle(const ChartSet& charts, ProcessError& reason);
  bool OpenPeers(ProcessError& reason);
  bool OpenAdmin(ProcessError& reason);
  void MakeControlLog();
  void FoldControlEntry(const LogEntry& entry);
  void CompareDigests();
  void RegisterMetrics();

  void Start();
  void Handle(LifecycleEvent event);
  asio::awaitable<void> TickLoop();
  void Tick();
  void UpdateOwnership();
  void StartAppend(std::vector<Record> records);
  asio::awaitable<void> AppendRecords(std::vector<Record> records);
  OwnershipView MakeView() const;
  asio::awaitable<void> WatchVmList();
  void UpdateVmList(VmListRead read);
  asio::awaitable<std::optional<LogPage>> ReadFromPeer(StreamId stream,
                                                       LogOffset from,
                                                       uint32_t max_entries,
                                                       Duration wait);
  void ContinueDrain();
  void OnControlChanged();
  Heartbeat MakeHeartbeat() const;
  nlohmann::json Status() const;
  nlohmann::json Dump() const;

  asio::io_context& io;
  Settings settings;
  Random random;
  Member self;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<LogClient> log;
  std::unique_ptr<Metrics> metrics;
  std::unique_ptr<ControlFold> control;
  std::unique_ptr<StreamFollower> control_log;
  std::unique_ptr<PeerSet> peers;
  std::unique_ptr<HttpServer> admin;
  std::optional<Lifecycle> lifecycle;
  std::vector<VmInfo> vms;
  std::string vm_list_tag;
  std::shared_ptr<void> role_owner;
  RoleHooks role;
  OwnershipMemory ownership_memory;
  OwnershipDecision decision;
  ConfigVersion logged_version;
  uint64_t digest = 0;
  LogOffset digest_at;
  LogOffset diverged_at;
  SteadyClock::time_point drain_started;
  std::optional<SteadyClock::time_point> released_at;  // by a planned stop
  bool drain_begun = false;
  bool append_pending = false;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PROCESS_IMPL_H_
