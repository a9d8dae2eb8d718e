#include <random>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "src/daemon/admin.h"
#include "src/daemon/process_impl.h"

namespace cowslipmast {

namespace {

ProcessId MakeProcessId(const Settings& settings, Random& random) {
  const char* role = settings.role == Role::kEntry ? "entry" : "placer";
  return ProcessId(
      fmt::format("{}/{}/{:016x}", settings.vm.value(), role, random()));
}

uint64_t ChooseSeed(const Settings& settings) {
  if (settings.seed != 0)
    return settings.seed;
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace

Process::Impl::Impl(asio::io_context& asio_io, const Settings& process_settings)
    : io(asio_io),
      settings(process_settings),
      random(ChooseSeed(settings)),
      http(HttpClient::Make(io, HttpClientLimits{})),
      log(LogClient::Make(*http, settings.store)),
      metrics(Metrics::Make()),
      control(ControlFold::Make()) {
  self.process = MakeProcessId(settings, random);
  self.vm = settings.vm;
  self.region = settings.region;
  self.role = settings.role;
  self.peer_endpoint = settings.peer_listen;
}

bool Process::Impl::Open(const ChartSet& charts,
                         const RoleFactory& make_role,
                         ProcessError& reason) {
  if (!MakeLifecycle(charts, reason) || !OpenPeers(reason))
    return false;
  MakeControlLog();
  const RoleContext context{io,           settings, self.process, *http,
                            *log,         *metrics, random,       *control,
                            *control_log, *peers,   vms};
  auto made = make_role(context, reason);
  if (!made)
    return false;
  role = std::move(made->hooks);
  role_owner = std::move(made->owner);
  RegisterMetrics();
  return OpenAdmin(reason);
}

bool Process::Impl::MakeLifecycle(const ChartSet& charts,
                                  ProcessError& reason) {
  reason.kind = ProcessErrorKind::kChart;
  reason.detail = "process.toml";
  const auto chart = charts.find("process");
  if (chart == charts.end())
    return false;
  lifecycle = Lifecycle::Make(chart->second, reason.detail);
  return lifecycle.has_value();
}

bool Process::Impl::OpenPeers(ProcessError& reason) {
  PeerHandlers handlers;
  handlers.heartbeat = [this] { return MakeHeartbeat(); };
  handlers.forward = [this](RouterRequest request) {
    return role.forward(std::move(request));
  };
  handlers.read_log =
      [this](StreamId stream, LogOffset from, uint32_t max_entries,
             Duration wait) -> asio::awaitable<std::optional<LogPage>> {
    if (stream != StreamId("control"))
      co_return std::nullopt;
    auto page = co_await control_log->ServePeer(from, max_entries, wait);
    co_return page;
  };
  NetError error;
  peers = PeerSet::Make(io, settings.peer_listen, std::move(handlers), error);
  if (!peers)
    reason = {ProcessErrorKind::kPeerListen, error.detail};
  return peers != nullptr;
}

bool Process::Impl::OpenAdmin(ProcessError& reason) {
  AdminPages pages;
  pages.serving = [this] {
    return lifecycle->state() == LifecycleState::kServing;
  };
  pages.status = [this] { return Status(); };
  pages.dump = [this] { return Dump(); };
  pages.metrics = [this] { return metrics->Render(); };
  pages.role = role.admin;
  NetError error;
  admin = HttpServer::Make(io, settings.admin_listen, HttpServerLimits{},
                           MakeAdminHandler(std::move(pages)), error);
  if (!admin)
    reason = {ProcessErrorKind::kAdminListen, error.detail};
  return admin != nullptr;
}

void Process::Impl::MakeControlLog() {
  StreamFold fold;
  fold.next = [this] { return control->state().next; };
  fold.apply = [this](const LogEntry& entry) { FoldControlEntry(entry); };
  fold.restart = [this](LogOffset oldest) { control->Restart(oldest); };
  fold.complete = [this] { return control->complete(); };
  fold.encode_snapshot = [this] { return control->EncodeSnapshot(); };
  fold.changed = [this] { OnControlChanged(); };
  control_log =
      StreamFollower::Make(io, *log, StreamId("control"),
                           MakeProducerId(random), random(), std::move(fold));
  control_log->SetPeerSource([this](StreamId stream, LogOffset from,
                                    uint32_t max_entries, Duration wait) {
    return ReadFromPeer(std::move(stream), from, max_entries, wait);
  });
}

void Process::Impl::RegisterMetrics() {
  const auto gauge = [this](const char* name, auto read) {
    metrics->Gauge(name, {}, [read] { return static_cast<double>(read()); });
  };
  gauge("cowslipmast_control_folded_next",
        [this] { return control->state().next.value(); });
  gauge("cowslipmast_control_bad_entries",
        [this] { return control->counters().bad_entries; });
  gauge("cowslipmast_control_void_records",
        [this] { return control->counters().void_records; });
  gauge("cowslipmast_control_duplicate_batches",
        [this] { return control->counters().duplicate_batches; });
  gauge("cowslipmast_config_version",
        [this] { return control->state().config_version.value(); });
  gauge("cowslipmast_log_reads",
        [this] { return control_log->counters().reads; });
  gauge("cowslipmast_log_peer_reads",
        [this] { return control_log->counters().peer_reads; });
  gauge("cowslipmast_log_read_failures",
        [this] { return control_log->counters().read_failures; });
  gauge("cowslipmast_log_appends",
        [this] { return control_log->counters().appends; });
  gauge("cowslipmast_log_append_failures",
        [this] { return control_log->counters().append_failures; });
  gauge("cowslipmast_owned_resources",
        [this] { return decision.usable.size(); });
}

}  // namespace cowslipmast
