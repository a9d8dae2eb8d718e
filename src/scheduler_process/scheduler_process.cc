#include "src/scheduler_process/scheduler_process.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/daemon/metrics.h"
#include "src/scheduler_process/cell_load_codec.h"
#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/loop_lag.h"
#include "src/scheduler_process/manifest_follower.h"
#include "src/scheduler_process/owner_watch.h"
#include "src/scheduler_process/peer_health.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kLogFlushInterval = milliseconds(50);
// The load balancer checks readiness once a second and removes a process after
// two failed checks.
constexpr Duration kBalancerNoticeTime = milliseconds(2300);
// Grace time that is left when the remaining requests are abandoned.
constexpr Duration kStopMargin = milliseconds(500);
// A process that stops goes on owning a cell for this long if no other one can
// take it: several may stop at once, and one that has just started asks for the
// owner within 0.3 s.
constexpr Duration kMaxWaitForTaker = milliseconds(3000);
// Number of processes that a cell is offered to at first: an offer without a
// response takes 1.8 s of the grace time.
constexpr size_t kFirstOffers = 2;
constexpr Duration kOfferInterval = milliseconds(200);
// Left for one offer without a response, and for the release after it.
constexpr Duration kTimeToRelease = milliseconds(2300);
// Left for the last answers to reach their callers.
constexpr Duration kAnswerMargin = milliseconds(300);
constexpr Duration kStopPollInterval = milliseconds(50);
// A process that reaches neither the store nor the owner within these times
// reports that it is not ready.
constexpr Duration kMaxStoreResponseAgeWhenReady = milliseconds(3000);
constexpr Duration kMaxOwnerResponseAgeWhenReady = milliseconds(1500);

// Response time per worker that an owner asks others to allow for, as the
// listings of all workers coincide after a claim.
constexpr Duration kResponseTimeoutPerWorker = milliseconds(7);

// The number of workers counts as stable if it is the same after this time.
constexpr Duration kWorkerCountInterval = milliseconds(400);

// Connections of each server. Together, and with those to workers, they leave
// descriptors of the 3900 for sockets on the smallest VMs.
constexpr size_t kMaxCallerConnections = 1950;
constexpr size_t kMaxControlConnections = 900;
constexpr size_t kMaxReadinessConnections = 32;

struct OwnedCell {
  std::shared_ptr<Cell> cell;
  TimePoint since;
};

std::string StatusLabel(uint16_t status) {
  return std::to_string(status);
}

// A series is kept for as long as the process lives, so callers must not choose
// its labels.
std::string MethodLabel(std::string_view method) {
  for (const std::string_view served : {"GET", "POST", "DELETE"}) {
    if (method == served)
      return std::string(served);
  }
  return "other";
}

}  // namespace

struct SchedulerProcess::Impl
    : std::enable_shared_from_this<SchedulerProcess::Impl> {
  Impl(asio::io_context& context,
       HttpClient& http,
       const ProcessSettings& process_settings,
       const PlatformPorts& platform_ports)
      : io(context),
        peers(http),
        settings(process_settings),
        ports(platform_ports),
        metrics(Metrics::Make()),
        lag(LoopLag::Make(context)) {}

  bool Listen(StartError& reason);
  std::unique_ptr<HttpServer> Serve(const Endpoint& endpoint,
                                    std::string setting,
                                    size_t connections,
                                    HttpHandler handler,
                                    StartError& reason);
  void Connect(const CellChart& chart);
  void ConnectElection(const CellChart& chart);
  void StartOwnedCell(CellId id, Epoch epoch);
  void DropLostCell(CellId id);
  std::shared_ptr<Cell> FindCell(CellId id) const;
  asio::awaitable<std::optional<uint32_t>> CountCells();
  std::vector<CellLoad> OwnLoads() const;
  bool IsReady() const;
  asio::awaitable<HttpResponse> HandleCallerRequest(HttpRequest request);
  asio::awaitable<HttpResponse> HandleControlRequest(HttpRequest request);
  asio::awaitable<std::optional<HttpResponse>> HandleCellRequest(
      CellPath path,
      std::string body);
  HttpResponse HealthResponse(CellId id) const;
  asio::awaitable<HttpResponse> HandleOffer(CellId id, std::string body);
  std::string Dump() const;
  void RegisterGauges();
  void RegisterConnectionGauges();
  asio::awaitable<void> FlushLog();
  asio::awaitable<void> GiveUpCells(TimePoint latest);
  asio::awaitable<void> Drain(std::function<void()> on_stopped);

  asio::io_context& io;
  HttpClient& peers;
  ProcessSettings settings;
  PlatformPorts ports;
  std::unique_ptr<Metrics> metrics;
  std::shared_ptr<LoopLag> lag;
  std::unique_ptr<ManifestFollower> manifest_follower;
  std::shared_ptr<OwnerElection> election;
  std::shared_ptr<LoadExchange> loads;
  std::shared_ptr<JobService> service;
  std::map<CellId, OwnedCell> cells;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> control;
  bool stopping = false;
};

std::shared_ptr<Cell> SchedulerProcess::Impl::FindCell(CellId id) const {
  const auto found = cells.find(id);
  return found == cells.end() ? nullptr : found->second.cell;
}

// Counts the workers twice, as they may be announcing themselves just now.
asio::awaitable<std::optional<uint32_t>> SchedulerProcess::Impl::CountCells() {
  std::optional<size_t> before;
  for (int i = 0; i < 2; ++i) {
    StoreError error;
    const auto snapshot =
        co_await ports.store.read_newest(StoreTopic::kWorkers, error);
    if (!snapshot)
      co_return std::nullopt;
    const auto workers = static_cast<size_t>(std::count_if(
        snapshot->records.begin(), snapshot->records.end(),
        [this](const KeyedRecord& record) {
          return !record.value.empty() && ports.decoders.worker(record);
        }));
    if (before && *before == workers)
      co_return ChooseCellCount(workers, settings.workers_per_cell);
    before = workers;
    co_await Sleep(kWorkerCountInterval);
  }
  co_return std::nullopt;
}

std::vector<CellLoad> SchedulerProcess::Impl::OwnLoads() const {
  std::vector<CellLoad> own;
  for (const auto& [id, entry] : cells) {
    if (auto load = entry.cell->Load())
      own.push_back(std::move(*load));
  }
  return own;
}

void SchedulerProcess::Impl::StartOwnedCell(CellId id, Epoch epoch) {
  CellOptions options;
  options.cell = id;
  options.layout = *election->layout();
  options.epoch = epoch;
  options.lease = settings.lease;
  options.log_listings = settings.log_listings;
  options.scheduler.features = settings.features;
  CellHooks hooks;
  hooks.manifest = [this]() -> const Manifest& {
    return manifest_follower->manifest();
  };
  hooks.own_lag = [this] { return lag->Recent(); };
  hooks.heard_at = [this] { return election->HeardAt(); };
  hooks.on_lost = [this, id] { DropLostCell(id); };
  auto cell = Cell::Make(io, ports.store, ports.workers, ports.decoders,
                         options, std::move(hooks));
  cell->Start();
  cells[id] = {std::move(cell), MonotonicNow()};
}

void SchedulerProcess::Impl::DropLostCell(CellId id) {
  election->OnFenced(id);
  const auto found = cells.find(id);
  if (found == cells.end())
    return;
  const std::shared_ptr<Cell> lost = found->second.cell;
  cells.erase(found);
  lost->Stop();
  // The cell itself may have called, so it is destroyed only after the call has
  // returned.
  asio::post(io, [lost] {});
}

bool SchedulerProcess::Impl::IsReady() const {
  if (stopping || !manifest_follower->manifest().known)
    return false;
  const auto store_age = manifest_follower->Age();
  const auto owner_age = election->LatestResponseAge();
  const bool reaches_store =
      store_age && *store_age < kMaxStoreResponseAgeWhenReady;
  const bool reaches_owner =
      !cells.empty() ||
      (owner_age && *owner_age < kMaxOwnerResponseAgeWhenReady);
  return reaches_store || reaches_owner;
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleCallerRequest(
    HttpRequest request) {
  const TimePoint begin = MonotonicNow();
  const std::string method = MethodLabel(request.method);
  HttpResponse response = co_await ports.handle_caller_request(
      std::move(request), manifest_follower->manifest(), *service);
  ++metrics->Counter(
      "cowslipmast_calls_total",
      {{"method", method}, {"status", StatusLabel(response.status)}});
  metrics->Latency("cowslipmast_call_seconds", {{"method", method}})
      .Record(MonotonicNow() - begin);
  co_return response;
}

HttpResponse SchedulerProcess::Impl::HealthResponse(CellId id) const {
  PeerHealth health;
  const auto found = cells.find(id);
  health.owning = found != cells.end();
  if (health.owning) {
    const auto& [cell, since] = found->second;
    health.epoch = cell->epoch();
    health.proof_age = cell->ProofAge();
    health.response_timeout = cell->WorkerCount() * kResponseTimeoutPerWorker;
    if (MonotonicNow() - since < kOwnerStartupPeriod)
      health.response_timeout =
          std::max(health.response_timeout, kOwnerStartupPeriod);
  }
  return MakeJsonResponse(200, EncodePeerHealth(health));
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleOffer(
    CellId id,
    std::string body) {
  const auto offered = DecodeCellClaim(body);
  if (!offered)
    co_return MakeJsonResponse(400, R"({"error":"bad_offer"})");
  const auto claim = co_await election->AcceptOffer(id, offered->epoch);
  co_return claim ? MakeJsonResponse(200, EncodeCellClaim(*claim))
                  : MakeJsonResponse(409, R"({"error":"not_claimed"})");
}

std::string SchedulerProcess::Impl::Dump() const {
  nlohmann::json j = {{"process", settings.process.value()},
                      {"ready", IsReady()},
                      {"manifest_version",
                       manifest_follower->manifest().policy.version.value()},
                      {"loop_lag_ms", ToMillis(lag->Recent())},
                      {"dropped_log_lines", DroppedLogLines()}};
  const ClaimTable table = election->claims();
  if (table.layout)
    j["layout"] = {{"version", table.layout->version},
                   {"cells", table.layout->cells}};
  for (const auto& [id, claim] : table.claims) {
    nlohmann::json& entry = j["cells"][std::to_string(id.value())];
    entry = {{"owner", claim.process.value()},
             {"epoch", claim.epoch.value()},
             {"state", election->state(id)}};
    if (const auto cell = FindCell(id))
      entry["scheduler"] = nlohmann::json::parse(cell->Dump(), nullptr, false);
  }
  // Names in the store may contain any bytes.
  return j.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Handles a request to the owner of a cell; nothing for an unknown resource.
asio::awaitable<std::optional<HttpResponse>>
SchedulerProcess::Impl::HandleCellRequest(CellPath path, std::string body) {
  if (path.resource == kHealthResource) {
    if (const auto candidate = DecodeCandidate(body))
      election->OnHealthRequest(path.cell, *candidate);
    co_return HealthResponse(path.cell);
  }
  if (path.resource == kOfferResource)
    co_return co_await HandleOffer(path.cell, std::move(body));
  if (path.resource == kInterferenceResource) {
    const auto cell = FindCell(path.cell);
    HttpResponse response;
    response.status = cell ? 200 : 503;
    response.headers.push_back({"Content-Type", "application/cbor"});
    if (cell)
      response.body = cell->OwnInterference();
    co_return response;
  }
  if (path.resource == kLoadResource) {
    const auto cell = FindCell(path.cell);
    const auto load = cell ? cell->Load() : std::nullopt;
    co_return load ? MakeJsonResponse(200, EncodeCellLoad(*load))
                   : MakeJsonResponse(503, R"({"error":"not_owner"})");
  }
  co_return std::nullopt;
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleControlRequest(
    HttpRequest request) {
  const std::string path(PathWithoutQuery(request.path));
  if (const auto cell_path = ParseCellPath(path)) {
    const CellPath& parsed = *cell_path;
    auto response = co_await HandleCellRequest(parsed, request.body);
    if (response)
      co_return std::move(*response);
  }
  if (path == kClaimsPath)
    co_return MakeJsonResponse(200, EncodeClaimTable(election->claims()));
  if (path == "/metrics") {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = metrics->Render();
    co_return response;
  }
  if (path == "/dump")
    co_return MakeJsonResponse(200, Dump());
  auto answer = co_await service->HandlePeerRequest(std::move(request));
  if (answer)
    co_return std::move(*answer);
  co_return MakeJsonResponse(404, R"({"error":"no_such_page"})");
}

void SchedulerProcess::Impl::RegisterGauges() {
  const auto counter = [this](const std::string& name, const auto read) {
    metrics->Gauge(name, {}, [this, read] {
      double sum = 0;
      for (const auto& [id, entry] : cells)
        sum += static_cast<double>(read(*entry.cell));
      return sum;
    });
  };
  counter("cowslipmast_starts",
          [](const Cell& c) { return c.counters().starts; });
  counter("cowslipmast_runs_done",
          [](const Cell& c) { return c.counters().done; });
  counter("cowslipmast_runs_failed",
          [](const Cell& c) { return c.counters().failed; });
  counter("cowslipmast_runs_lapsed",
          [](const Cell& c) { return c.counters().lease_expired; });
  counter("cowslipmast_runs_lost",
          [](const Cell& c) { return c.counters().lost; });
  counter("cowslipmast_worker_crashes",
          [](const Cell& c) { return c.counters().worker_crashes; });
  counter("cowslipmast_jobs_given_up",
          [](const Cell& c) { return c.counters().jobs_given_up; });
  counter("cowslipmast_starts_without_room",
          [](const Cell& c) { return c.counters().starts_without_capacity; });
  counter("cowslipmast_listings",
          [](const Cell& c) { return c.calls().listings; });
  counter("cowslipmast_failed_listings",
          [](const Cell& c) { return c.calls().failed_listings; });
  counter("cowslipmast_moved_jobs",
          [](const Cell& c) { return c.counters().moved_jobs; });
  counter("cowslipmast_moved_tasks",
          [](const Cell& c) { return c.counters().moved_tasks; });
  counter("cowslipmast_late_steps",
          [](const Cell& c) { return c.counters().late_steps; });
  counter("cowslipmast_late_turns",
          [](const Cell& c) { return c.counters().turns; });
  counter("cowslipmast_capacity_holds_made",
          [](const Cell& c) { return c.counters().capacity_holds_made; });
  counter("cowslipmast_capacity_holds_used",
          [](const Cell& c) { return c.counters().capacity_holds_used; });
  counter("cowslipmast_displaced_tasks",
          [](const Cell& c) { return c.counters().displaced_tasks; });
  counter("cowslipmast_relocated_tasks",
          [](const Cell& c) { return c.counters().relocated_tasks; });
  counter("cowslipmast_reservations_made",
          [](const Cell& c) { return c.counters().reservations_made; });
  counter("cowslipmast_reservations_kept",
          [](const Cell& c) { return c.counters().reservations_kept; });
  counter("cowslipmast_reservations_failed",
          [](const Cell& c) { return c.counters().reservations_failed; });
  counter("cowslipmast_tasks_backfilled",
          [](const Cell& c) { return c.counters().tasks_backfilled; });
  counter("cowslipmast_overdue_tasks",
          [](const Cell& c) { return c.Waiting().overdue_tasks; });
  counter("cowslipmast_starved_jobs",
          [](const Cell& c) { return c.Waiting().starved_jobs; });
  const auto longest = [this](const std::string& name, const auto read) {
    metrics->Gauge(name, {}, [this, read] {
      Duration longest_wait{0};
      for (const auto& [id, entry] : cells)
        longest_wait = std::max(longest_wait, read(entry.cell->Waiting()));
      return static_cast<double>(longest_wait.count()) / 1e6;
    });
  };
  longest("cowslipmast_longest_overdue_wait_seconds",
          [](const WaitingSummary& w) { return w.longest_wait; });
  longest("cowslipmast_longest_starvation_seconds",
          [](const WaitingSummary& w) { return w.longest_starvation; });
  metrics->Gauge("cowslipmast_owned_cells", {},
                 [this] { return static_cast<double>(cells.size()); });
  metrics->Gauge("cowslipmast_loop_lag_seconds", {}, [this] {
    return static_cast<double>(lag->Recent().count()) / 1e6;
  });
  metrics->Gauge("cowslipmast_dropped_log_lines", {},
                 [] { return static_cast<double>(DroppedLogLines()); });
}

void SchedulerProcess::Impl::RegisterConnectionGauges() {
  const auto server = [this](const std::string& name, const auto read) {
    for (const auto& [label, entry] :
         {std::pair("callers", caller_server.get()),
          std::pair("control", control.get())}) {
      metrics->Gauge(name, {{"server", label}}, [entry = entry, read] {
        return static_cast<double>(read(*entry));
      });
    }
  };
  server("cowslipmast_connections",
         [](const HttpServer& s) { return s.connections(); });
  server("cowslipmast_refused_connections",
         [](const HttpServer& s) { return s.counters().refused_connections; });
  server("cowslipmast_replaced_connections",
         [](const HttpServer& s) { return s.counters().replaced_connections; });
  server("cowslipmast_shed_requests",
         [](const HttpServer& s) { return s.counters().shed_requests; });
  server("cowslipmast_oversized_requests",
         [](const HttpServer& s) { return s.counters().oversized_requests; });
  metrics->Gauge("cowslipmast_shed_responses", {}, [this] {
    return static_cast<double>(peers.counters().shed_responses);
  });
}

asio::awaitable<void> SchedulerProcess::Impl::FlushLog() {
  const auto self = shared_from_this();
  while (true) {
    FlushEventLog();
    co_await Sleep(kLogFlushInterval);
  }
}

std::unique_ptr<HttpServer> SchedulerProcess::Impl::Serve(
    const Endpoint& endpoint,
    std::string setting,
    size_t connections,
    HttpHandler handler,
    StartError& reason) {
  HttpServerLimits limits;
  limits.body_bytes = settings.max_body_bytes;
  limits.connections = connections;
  NetError error;
  auto server =
      HttpServer::Make(io, endpoint, limits, std::move(handler), error);
  if (!server)
    reason = {StartErrorKind::kListen, std::move(setting), error.detail};
  return server;
}

bool SchedulerProcess::Impl::Listen(StartError& reason) {
  caller_server = Serve(
      settings.caller_endpoint, "callers", kMaxCallerConnections,
      [this](HttpRequest request) {
        return HandleCallerRequest(std::move(request));
      },
      reason);
  readiness = Serve(
      settings.readiness_endpoint, "readiness", kMaxReadinessConnections,
      [this](HttpRequest) -> asio::awaitable<HttpResponse> {
        co_return MakeJsonResponse(IsReady() ? 200 : 503, "{}");
      },
      reason);
  control = Serve(
      settings.control_endpoint, "control", kMaxControlConnections,
      [this](HttpRequest request) {
        return HandleControlRequest(std::move(request));
      },
      reason);
  return caller_server && readiness && control;
}

void SchedulerProcess::Impl::Connect(const CellChart& chart) {
  manifest_follower =
      ManifestFollower::Make(io, ports.store, ports.decoders, [this] {
        for (const auto& [id, entry] : cells)
          entry.cell->OnManifest();
      });
  ConnectElection(chart);
  LoadExchangeHooks load_hooks;
  load_hooks.own_loads = [this] { return OwnLoads(); };
  load_hooks.on_loads = [this](const std::vector<CellLoad>& all) {
    for (const auto& [id, entry] : cells)
      entry.cell->SetCellLoads(all);
  };
  load_hooks.own_interference = [this] {
    std::map<CellId, std::string> learned;
    for (const auto& [id, entry] : cells)
      learned[id] = entry.cell->OwnInterference();
    return learned;
  };
  load_hooks.on_interference =
      [this](const std::map<CellId, std::string>& learned) {
        for (const auto& [id, entry] : cells) {
          std::vector<std::string> others;
          for (const auto& [peer, encoded] : learned) {
            if (peer != id && !encoded.empty())
              others.push_back(encoded);
          }
          entry.cell->SetPeerInterference(others);
        }
      };
  loads = LoadExchange::Make(io, peers, election, std::move(load_hooks));
  service = JobService::Make(
      io, ports.store, peers, election, loads,
      [this](CellId id) { return FindCell(id); }, settings.features);
  election->Start();
}

void SchedulerProcess::Impl::ConnectElection(const CellChart& chart) {
  OwnerElectionOptions options;
  options.process = settings.process;
  options.control = settings.control_endpoint;
  options.seeds = settings.seed_endpoints;
  options.cores = settings.cores;
  options.seed = settings.seed;
  OwnerElectionHooks hooks;
  hooks.on_won = [this](CellId id, Epoch epoch) { StartOwnedCell(id, epoch); };
  hooks.on_superseded = [this](CellId id) { DropLostCell(id); };
  hooks.own_lag = [this] { return lag->Recent(); };
  hooks.count_cells = [this] { return CountCells(); };
  // Without a manifest the owner would not know the queues of its jobs.
  hooks.may_claim = [this] {
    return !stopping && manifest_follower->manifest().known;
  };
  election = OwnerElection::Make(io, ports.store, peers, chart, options,
                                 std::move(hooks));
}

// Hands each owned cell over, or gives its claim up if no process has taken it
// by then.
asio::awaitable<void> SchedulerProcess::Impl::GiveUpCells(TimePoint latest) {
  std::vector<CellId> owned;
  for (const auto& [id, entry] : cells)
    owned.push_back(id);
  for (const CellId id : owned) {
    bool handed_over = co_await election->HandOver(id, kFirstOffers);
    while (!handed_over && election->IsOwner(id) && MonotonicNow() < latest) {
      co_await Sleep(kOfferInterval);
      handed_over = co_await election->HandOver(id, 1);
    }
    const auto cell = FindCell(id);
    if (cell)
      cell->Stop();
    cells.erase(id);
    if (!handed_over)
      co_await election->Release(id);
  }
}

asio::awaitable<void> SchedulerProcess::Impl::Drain(
    std::function<void()> on_stopped) {
  const auto self = shared_from_this();
  const TimePoint begin = MonotonicNow();
  const TimePoint last = begin + settings.stop_grace - kStopMargin;
  // Later ones are answered at once: no other process has them.
  service->AnswerAllBefore(last - kAnswerMargin);
  caller_server->CloseAfterResponse();
  co_await GiveUpCells(
      std::min(begin + kMaxWaitForTaker, last - kTimeToRelease));
  while (MonotonicNow() < last) {
    const bool balancer_noticed = MonotonicNow() - begin >= kBalancerNoticeTime;
    if (balancer_noticed && caller_server->in_progress() == 0)
      break;
    co_await Sleep(kStopPollInterval);
  }
  LogEvent("stopped",
           {{"in_progress", static_cast<int64_t>(caller_server->in_progress())},
            {"took_ms", ToMillis(MonotonicNow() - begin)}});
  FlushEventLog();
  on_stopped();
}

SchedulerProcess::SchedulerProcess(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
SchedulerProcess::~SchedulerProcess() = default;

std::unique_ptr<SchedulerProcess> SchedulerProcess::Make(
    asio::io_context& io,
    HttpClient& peers,
    const ProcessSettings& settings,
    const PlatformPorts& ports,
    const CellChart& chart,
    StartError& reason) {
  auto impl = std::make_shared<Impl>(io, peers, settings, ports);
  impl->Connect(chart);
  if (!impl->Listen(reason))
    return nullptr;
  impl->RegisterGauges();
  impl->RegisterConnectionGauges();
  Spawn(io, "log_flush", impl->FlushLog());
  LogEvent("started", {{"control_port", impl->settings.control_endpoint.port}});
  return std::unique_ptr<SchedulerProcess>(
      new SchedulerProcess(std::move(impl)));
}

void SchedulerProcess::Terminate(const std::function<void()>& on_stopped) {
  if (m_impl->stopping)
    return;
  m_impl->stopping = true;
  LogEvent("stopping", {{"cells", static_cast<int64_t>(m_impl->cells.size())}});
  Spawn(m_impl->io, "drain", m_impl->Drain(on_stopped), on_stopped);
}

}  // namespace cowslipmast::sched
