#include "src/daemon/process.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>
#include <vector>

#include "src/daemon/admin.h"
#include "src/daemon/lifecycle.h"
#include "src/daemon/membership.h"
#include "src/net/http_server.h"
#include "src/net/vm_list_client.h"

namespace cowslipmast {

using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
constexpr Duration kVmListInterval = std::chrono::seconds(1);
constexpr Duration kVmListTimeout = std::chrono::seconds(2);
// Entries between two digests of the fold that peers compare.
constexpr uint64_t kDigestInterval = 256;
constexpr Duration kAppendTimeout = std::chrono::seconds(5);
// A process that owns nothing can stop without leaving the member table. The
// last one of a table with crashed members has no majority to settle its leave;
// the next process on its VM takes its place.
constexpr Duration kLeaveTimeout = std::chrono::seconds(5);

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

nlohmann::json ToJson(const std::optional<SteadyClock::time_point>& proof) {
  if (!proof)
    return nullptr;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - *proof)
      .count();
}

const char* LinkName(PeerLink link) {
  switch (link) {
    case PeerLink::kUp:
      return "up";
    case PeerLink::kSuspect:
      return "suspect";
    case PeerLink::kDown:
      return "down";
  }
  return "";
}

}  // namespace

struct Process::Impl : std::enable_shared_from_this<Process::Impl> {
  Impl(asio::io_context& asio_io, const Settings& process_settings)
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

  bool Open(const ChartSet& charts,
            const RoleFactory& make_role,
            ProcessError& reason);
  bool MakeLifecycle(const ChartSet& charts, ProcessError& reason);
  bool OpenPeers(ProcessError& reason);
  bool OpenAdmin(ProcessError& reason);
  void MakeControlLog();
  void Fold(const LogEntry& entry);
  void CompareDigests();
  void RegisterMetrics();

  void Start();
  void Handle(LifecycleEvent event);
  asio::awaitable<void> TickLoop();
  void Tick();
  void DecideAndUse();
  void Submit(std::vector<Record> records);
  asio::awaitable<void> AppendRecords(std::vector<Record> records);
  OwnershipView MakeView() const;
  asio::awaitable<void> WatchVmList();
  void UseVmList(VmListRead read);
  asio::awaitable<std::optional<LogPage>> ReadFromPeer(StreamId stream,
                                                       LogOffset from,
                                                       uint32_t max_entries,
                                                       Duration wait);
  void TickDrain();
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
  std::shared_ptr<void> role_keep;
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
  role_keep = std::move(made->keep);
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
  handlers.forward = [this](DeskRequest request) {
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
  fold.apply = [this](const LogEntry& entry) { Fold(entry); };
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

void Process::Impl::Fold(const LogEntry& entry) {
  control->Apply(entry.offset, entry.data);
  const LogOffset next = control->state().next;
  if (next.value() % kDigestInterval != 0 || !control->complete())
    return;
  digest = control->Digest();
  digest_at = next;
}

// Two folds that differ at one offset mean that the processes would act on
// different state; it is shown, and left to the operators to act on.
void Process::Impl::CompareDigests() {
  for (const PeerView& peer : peers->Peers()) {
    if (!peer.last || peer.last->digest_at != digest_at ||
        peer.last->digest == digest || diverged_at == digest_at)
      continue;
    diverged_at = digest_at;
    ++metrics->Counter("cowslipmast_diverged_folds_total", {});
    spdlog::error("the fold at {} differs from that of {}", digest_at.value(),
                  peer.member.process.value());
  }
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

void Process::Impl::Start() {
  Handle(LifecycleEvent::kPortsOpen);
  asio::co_spawn(io, WatchVmList(), asio::detached);
  asio::co_spawn(io, TickLoop(), asio::detached);
}

void Process::Impl::Handle(LifecycleEvent event) {
  const LifecycleState before = lifecycle->state();
  const LifecycleAction action = lifecycle->Process(event);
  if (lifecycle->state() != before)
    spdlog::info("state {}", lifecycle->state_name());
  switch (action) {
    case LifecycleAction::kFollowLog:
      control_log->Start();
      break;
    case LifecycleAction::kStartDrain:
      drain_started = SteadyClock::now();
      if (role.begin_grace)
        role.begin_grace();
      break;
    case LifecycleAction::kExit:
      control_log->Stop();
      io.stop();
      break;
    case LifecycleAction::kJoin:  // done at each tick until it took effect
    case LifecycleAction::kNone:
      break;
  }
}

asio::awaitable<void> Process::Impl::TickLoop() {
  const auto keep = shared_from_this();
  asio::steady_timer timer(io);
  while (lifecycle->state() != LifecycleState::kStopped) {
    Tick();
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Process::Impl::Tick() {
  if (lifecycle->state() == LifecycleState::kCatchingUp &&
      control_log->caught_up() && control->complete())
    Handle(LifecycleEvent::kCaughtUp);
  if (lifecycle->state() != LifecycleState::kServing &&
      lifecycle->state() != LifecycleState::kDraining)
    return;
  CompareDigests();
  DecideAndUse();
  if (lifecycle->state() == LifecycleState::kDraining)
    TickDrain();
}

void Process::Impl::DecideAndUse() {
  const OwnershipView view = MakeView();
  decision = DecideOwnership(control->state(), view, ownership_memory);
  role.on_ownership(decision);
  if (!append_pending)
    Submit(PlanRecords(control->state(), self,
                       lifecycle->state() == LifecycleState::kServing, decision,
                       role.idle));
}

void Process::Impl::Submit(std::vector<Record> records) {
  if (records.empty())
    return;
  append_pending = true;
  asio::co_spawn(io, AppendRecords(std::move(records)), asio::detached);
}

asio::awaitable<void> Process::Impl::AppendRecords(
    std::vector<Record> records) {
  const auto keep = shared_from_this();
  AppendError error;
  // A record that is void or late is planned again from the next state.
  co_await control_log->Append(std::move(records), kAppendTimeout, error);
  append_pending = false;
}

OwnershipView Process::Impl::MakeView() const {
  OwnershipView view;
  view.self = self.process;
  view.region = self.region;
  view.role = self.role;
  view.now = ToTimePoint(SteadyClock::now());
  if (const auto proof = control_log->proof())
    view.proof = ToTimePoint(*proof);
  for (const PeerView& peer : peers->Peers()) {
    if (peer.member.region != self.region || !peer.last)
      continue;
    view.peers.push_back({.process = peer.member.process,
                          .folded_next = peer.last->folded_next,
                          .asked_at = ToTimePoint(peer.asked_at),
                          .draining = peer.last->draining});
  }
  for (const VmInfo& vm : vms) {
    if (vm.kind == VmKind::kEntry)
      view.listed_vms.insert(vm.id);
  }
  view.resources = role.resources();
  // During the grace time the own targets still serve new requests.
  view.draining = drain_begun;
  return view;
}

asio::awaitable<void> Process::Impl::WatchVmList() {
  const auto keep = shared_from_this();
  asio::steady_timer timer(io);
  while (lifecycle->state() != LifecycleState::kStopped) {
    NetError error;
    auto read = co_await ReadVmList(*http, settings.vm_list, vm_list_tag,
                                    kVmListTimeout, error);
    ++metrics->Counter("cowslipmast_vm_list_reads_total",
                       {{"result", read ? "ok" : "failed"}});
    if (read)
      UseVmList(std::move(*read));
    timer.expires_after(kVmListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Process::Impl::UseVmList(VmListRead read) {
  vm_list_tag = std::move(read.entity_tag);
  if (!read.vms || *read.vms == vms)
    return;
  vms = std::move(*read.vms);
  role.on_change();
}

asio::awaitable<std::optional<LogPage>> Process::Impl::ReadFromPeer(
    StreamId stream,
    LogOffset from,
    uint32_t max_entries,
    Duration wait) {
  NetError error;
  for (const ProcessId& peer : LogSources(peers->Peers(), self)) {
    auto page =
        co_await peers->ReadLog(peer, stream, from, max_entries, wait, error);
    if (page)
      co_return page;
  }
  co_return std::nullopt;
}

// A planned stop: serve for the grace time, finish, give up what is owned,
// leave.
void Process::Impl::TickDrain() {
  const auto elapsed = SteadyClock::now() - drain_started;
  if (elapsed >= settings.drain_timeout) {
    Handle(LifecycleEvent::kDrainTimeout);
    return;
  }
  if (elapsed < settings.drain_grace)
    return;
  if (!std::exchange(drain_begun, true))
    role.begin_drain();
  if (!role.drained() || append_pending)
    return;
  // What is owned is released through `hand_over`, when it may be.
  if (OwnsAnything(control->state(), self.process))
    return;
  if (!released_at)
    released_at = SteadyClock::now();
  const bool waited = SteadyClock::now() - *released_at > kLeaveTimeout;
  if (!IsMember(control->state(), self) || waited)
    Handle(LifecycleEvent::kDrained);
  else if (const auto leave = PlanLeave(control->state(), self))
    Submit({*leave});
}

void Process::Impl::OnControlChanged() {
  const ControlState& state = control->state();
  if (state.config_version != logged_version) {
    logged_version = state.config_version;
    spdlog::info("configuration version {}", logged_version.value());
  }
  peers->SetPeers(ChoosePeers(state, self));
  role.on_change();
}

Heartbeat Process::Impl::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.process = self.process;
  heartbeat.region = self.region;
  heartbeat.role = self.role;
  heartbeat.folded_next = control->state().next;
  heartbeat.digest = digest;
  heartbeat.digest_at = digest_at;
  if (const auto proof = control_log->proof()) {
    heartbeat.proof_age =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - *proof);
  }
  heartbeat.free_slots = role.free_slots();
  heartbeat.draining = lifecycle->state() == LifecycleState::kDraining;
  return heartbeat;
}

nlohmann::json Process::Impl::Status() const {
  return {{"process", self.process.value()},
          {"role", self.role == Role::kEntry ? "entry" : "placer"},
          {"region", self.region.value()},
          {"data_centre", settings.data_centre.value()},
          {"state", lifecycle->state_name()},
          {"config_version", control->state().config_version.value()},
          {"folded_next", control->state().next.value()},
          {"digest", fmt::format("{:016x}", digest)},
          {"digest_at", digest_at.value()},
          {"proof_age_ms", ToJson(control_log->proof())},
          {"owned", decision.usable.size()}};
}

nlohmann::json Process::Impl::Dump() const {
  nlohmann::json dump = Status();
  for (const PeerView& peer : peers->Peers()) {
    dump["peers"].push_back(
        {{"process", peer.member.process.value()},
         {"region", peer.member.region.value()},
         {"link", LinkName(peer.link)},
         {"folded_next", peer.last ? peer.last->folded_next.value() : 0}});
  }
  dump["vms"] = vms.size();
  dump["jobs"] = control->state().jobs.size();
  dump["role_state"] = role.dump();
  return dump;
}

Process::Process(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Process::~Process() = default;

std::unique_ptr<Process> Process::Make(asio::io_context& io,
                                       const Settings& settings,
                                       const ChartSet& charts,
                                       const RoleFactory& make_role,
                                       ProcessError& reason) {
  auto impl = std::make_shared<Impl>(io, settings);
  if (!impl->Open(charts, make_role, reason))
    return nullptr;
  return std::unique_ptr<Process>(new Process(std::move(impl)));
}

void Process::Start() {
  m_impl->Start();
}

void Process::Terminate() {
  m_impl->Handle(LifecycleEvent::kSigterm);
}

}  // namespace cowslipmast
