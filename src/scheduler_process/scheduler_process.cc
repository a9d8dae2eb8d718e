#include "src/scheduler_process/scheduler_process.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/daemon/metrics.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/loop_lag.h"
#include "src/scheduler_process/manifest_follower.h"
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
constexpr Duration kStopPollInterval = milliseconds(50);
// A process that reaches neither the store nor the owner within these times
// reports that it is not ready.
constexpr Duration kMaxStoreResponseAgeWhenReady = milliseconds(3000);
constexpr Duration kMaxOwnerResponseAgeWhenReady = milliseconds(1500);

// Response time per worker that an owner asks others to allow for, as the
// listings of all workers coincide after a claim.
constexpr Duration kResponseTimeoutPerWorker = milliseconds(7);

std::string StatusLabel(uint16_t status) {
  return std::to_string(status);
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
                                    HttpHandler handler,
                                    StartError& reason);
  void Connect(const CellChart& chart);
  void StartOwnedCell(Epoch epoch);
  void DropLostCell();
  bool IsReady() const;
  asio::awaitable<HttpResponse> HandleCallerRequest(HttpRequest request);
  asio::awaitable<HttpResponse> HandleControlRequest(HttpRequest request);
  HttpResponse HealthResponse() const;
  asio::awaitable<HttpResponse> HandleOffer(std::string body);
  std::string Dump() const;
  void RegisterGauges();
  asio::awaitable<void> FlushLog();
  asio::awaitable<void> Drain(std::function<void()> on_stopped);

  asio::io_context& io;
  HttpClient& peers;
  ProcessSettings settings;
  PlatformPorts ports;
  std::unique_ptr<Metrics> metrics;
  std::shared_ptr<LoopLag> lag;
  std::unique_ptr<ManifestFollower> manifest_follower;
  std::shared_ptr<OwnerElection> election;
  std::shared_ptr<JobService> service;
  std::shared_ptr<Cell> cell;
  TimePoint owned_since;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> control;
  bool stopping = false;
};

void SchedulerProcess::Impl::StartOwnedCell(Epoch epoch) {
  CellOptions options;
  options.epoch = epoch;
  options.lease = settings.lease;
  options.log_listings = settings.log_listings;
  CellHooks hooks;
  hooks.manifest = [this]() -> const Manifest& {
    return manifest_follower->manifest();
  };
  hooks.own_lag = [this] { return lag->Recent(); };
  hooks.on_lost = [this] { DropLostCell(); };
  owned_since = MonotonicNow();
  cell = Cell::Make(io, ports.store, ports.workers, ports.decoders, options,
                    std::move(hooks));
  cell->Start();
}

void SchedulerProcess::Impl::DropLostCell() {
  // Called by the cell itself, which is therefore destroyed only after the call
  // has returned.
  asio::post(io, [self = shared_from_this(), lost = cell] {
    if (self->cell == lost)
      self->cell.reset();
  });
  election->OnFenced();
}

bool SchedulerProcess::Impl::IsReady() const {
  if (stopping || !manifest_follower->manifest().known)
    return false;
  const auto store_age = manifest_follower->Age();
  const auto owner_age = election->OwnerResponseAge();
  const bool reaches_store =
      store_age && *store_age < kMaxStoreResponseAgeWhenReady;
  const bool reaches_owner =
      cell != nullptr ||
      (owner_age && *owner_age < kMaxOwnerResponseAgeWhenReady);
  return reaches_store || reaches_owner;
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleCallerRequest(
    HttpRequest request) {
  const TimePoint begin = MonotonicNow();
  const std::string method = request.method;
  HttpResponse response = co_await ports.handle_caller_request(
      std::move(request), manifest_follower->manifest(), *service);
  ++metrics->Counter(
      "cowslipmast_calls_total",
      {{"method", method}, {"status", StatusLabel(response.status)}});
  metrics->Latency("cowslipmast_call_seconds", {{"method", method}})
      .Record(MonotonicNow() - begin);
  co_return response;
}

HttpResponse SchedulerProcess::Impl::HealthResponse() const {
  PeerHealth health;
  health.owning = cell != nullptr;
  if (cell) {
    health.epoch = cell->epoch();
    health.proof_age = cell->ProofAge();
    health.response_timeout = cell->WorkerCount() * kResponseTimeoutPerWorker;
    if (MonotonicNow() - owned_since < kOwnerStartupPeriod)
      health.response_timeout =
          std::max(health.response_timeout, kOwnerStartupPeriod);
  }
  return MakeJsonResponse(200, EncodePeerHealth(health));
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleOffer(
    std::string body) {
  const auto offered = DecodeCellClaim(body);
  if (!offered)
    co_return MakeJsonResponse(400, R"({"error":"bad_offer"})");
  const auto claim = co_await election->AcceptOffer(offered->epoch);
  co_return claim ? MakeJsonResponse(200, EncodeCellClaim(*claim))
                  : MakeJsonResponse(409, R"({"error":"not_claimed"})");
}

std::string SchedulerProcess::Impl::Dump() const {
  nlohmann::json j = {{"process", settings.process.value()},
                      {"ready", IsReady()},
                      {"cell", election->state()},
                      {"manifest_version",
                       manifest_follower->manifest().policy.version.value()},
                      {"dropped_log_lines", DroppedLogLines()}};
  if (const auto owner = election->owner()) {
    j["owner"] = owner->process.value();
    j["epoch"] = owner->epoch.value();
  }
  if (cell)
    j["scheduler"] = nlohmann::json::parse(cell->Dump());
  return j.dump(2);
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::HandleControlRequest(
    HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == kHealthPath) {
    if (const auto candidate = DecodeCandidate(request.body))
      election->OnHealthRequest(*candidate);
    co_return HealthResponse();
  }
  if (path == kOfferPath)
    co_return co_await HandleOffer(std::move(request.body));
  if (path == kClaimPath) {
    const auto owner = election->owner();
    co_return owner ? MakeJsonResponse(200, EncodeCellClaim(*owner))
                    : MakeJsonResponse(404, R"({"error":"no_owner"})");
  }
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
      return cell ? static_cast<double>(read(*cell)) : 0.0;
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
  counter("cowslipmast_starts_without_room",
          [](const Cell& c) { return c.counters().starts_without_capacity; });
  counter("cowslipmast_listings",
          [](const Cell& c) { return c.calls().listings; });
  counter("cowslipmast_failed_listings",
          [](const Cell& c) { return c.calls().failed_listings; });
  metrics->Gauge("cowslipmast_owning", {}, [this] { return cell ? 1.0 : 0.0; });
  metrics->Gauge("cowslipmast_loop_lag_seconds", {}, [this] {
    return static_cast<double>(lag->Recent().count()) / 1e6;
  });
  metrics->Gauge("cowslipmast_dropped_log_lines", {},
                 [] { return static_cast<double>(DroppedLogLines()); });
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
    HttpHandler handler,
    StartError& reason) {
  HttpServerLimits limits;
  limits.body_bytes = settings.max_body_bytes;
  NetError error;
  auto server =
      HttpServer::Make(io, endpoint, limits, std::move(handler), error);
  if (!server)
    reason = {StartErrorKind::kListen, std::move(setting), error.detail};
  return server;
}

bool SchedulerProcess::Impl::Listen(StartError& reason) {
  caller_server = Serve(
      settings.caller_endpoint, "callers",
      [this](HttpRequest request) {
        return HandleCallerRequest(std::move(request));
      },
      reason);
  readiness = Serve(
      settings.readiness_endpoint, "readiness",
      [this](HttpRequest) -> asio::awaitable<HttpResponse> {
        co_return MakeJsonResponse(IsReady() ? 200 : 503, "{}");
      },
      reason);
  control = Serve(
      settings.control_endpoint, "control",
      [this](HttpRequest request) {
        return HandleControlRequest(std::move(request));
      },
      reason);
  return caller_server && readiness && control;
}

void SchedulerProcess::Impl::Connect(const CellChart& chart) {
  manifest_follower =
      ManifestFollower::Make(io, ports.store, ports.decoders, [this] {
        if (cell)
          cell->OnManifest();
      });
  OwnerElectionOptions options;
  options.self.process = settings.process;
  options.self.control = settings.control_endpoint;
  options.seeds = settings.seed_endpoints;
  options.cores = settings.cores;
  options.seed = settings.seed;
  OwnerElectionHooks hooks;
  hooks.on_won = [this](Epoch epoch) { StartOwnedCell(epoch); };
  // Without a manifest the owner would not know the queues of its jobs.
  hooks.may_claim = [this] {
    return !stopping && manifest_follower->manifest().known;
  };
  election = OwnerElection::Make(io, ports.store, peers, chart, options,
                                 std::move(hooks));
  service = JobService::Make(io, ports.store, peers, election,
                             [this] { return cell; });
  election->Start();
}

asio::awaitable<void> SchedulerProcess::Impl::Drain(
    std::function<void()> on_stopped) {
  const auto self = shared_from_this();
  const TimePoint begin = MonotonicNow();
  const TimePoint last = begin + settings.stop_grace - kStopMargin;
  const bool handed_over = co_await election->HandOver();
  if (cell)
    cell->Stop();
  cell.reset();
  if (!handed_over)
    co_await election->Release();
  caller_server->CloseAfterResponse();
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
  Spawn(io, "log_flush", impl->FlushLog());
  LogEvent("started", {{"control_port", impl->settings.control_endpoint.port}});
  return std::unique_ptr<SchedulerProcess>(
      new SchedulerProcess(std::move(impl)));
}

void SchedulerProcess::Terminate(std::function<void()> on_stopped) {
  if (m_impl->stopping)
    return;
  m_impl->stopping = true;
  LogEvent("stopping",
           {{"owning", static_cast<int64_t>(m_impl->cell != nullptr)}});
  Spawn(m_impl->io, "drain", m_impl->Drain(on_stopped), on_stopped);
}

}  // namespace cowslipmast::sched
