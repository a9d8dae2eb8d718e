#include "src/scheduler/process.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/daemon/metrics.h"
#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"
#include "src/scheduler/operator_watch.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kFlushLogEvery = milliseconds(50);
// The balancer asks once a second and takes a process out after two misses.
constexpr Duration kBalancerNotices = milliseconds(2300);
// Left of the grace time when the last requests are given up.
constexpr Duration kStopMargin = milliseconds(500);
constexpr Duration kStopPoll = milliseconds(50);
// A process that reaches neither the store nor the owner serves nobody.
constexpr Duration kStoreSilent = milliseconds(3000);
constexpr Duration kOwnerSilent = milliseconds(1500);

// What others should bear for each worker of an owner, besides the least that
// they wait: listings of all workers come together after a claim.
constexpr Duration kPatienceOfWorker = milliseconds(7);

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
        metrics(Metrics::Make()) {}

  bool Listen(StartError& reason);
  std::unique_ptr<HttpServer> Serve(const Endpoint& endpoint,
                                    std::string setting,
                                    HttpHandler handler,
                                    StartError& reason);
  void Connect(const CellChart& chart);
  void OwnCell(Epoch epoch);
  void LoseCell();
  bool IsReady() const;
  asio::awaitable<HttpResponse> AnswerCaller(HttpRequest request);
  asio::awaitable<HttpResponse> AnswerControl(HttpRequest request);
  HttpResponse AnswerOwner() const;
  asio::awaitable<HttpResponse> AnswerOffer(std::string body);
  std::string Dump() const;
  void RegisterGauges();
  asio::awaitable<void> FlushLog();
  asio::awaitable<void> Drain(std::function<void()> on_stopped);

  asio::io_context& io;
  HttpClient& peers;
  ProcessSettings settings;
  PlatformPorts ports;
  std::unique_ptr<Metrics> metrics;
  std::unique_ptr<OperatorWatch> operators;
  std::shared_ptr<OwnerWatch> watch;
  std::shared_ptr<JobService> service;
  std::shared_ptr<Cell> cell;
  TimePoint owned_since;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> control;
  bool stopping = false;
};

void SchedulerProcess::Impl::OwnCell(Epoch epoch) {
  CellOptions options;
  options.epoch = epoch;
  options.lease = settings.lease;
  options.log_listings = settings.log_listings;
  CellHooks hooks;
  hooks.manifest = [this]() -> const Manifest& {
    return operators->manifest();
  };
  hooks.on_lost = [this] { LoseCell(); };
  owned_since = MonotonicNow();
  cell = Cell::Make(io, ports.store, ports.workers, ports.readers, options,
                    std::move(hooks));
  cell->Start();
}

void SchedulerProcess::Impl::LoseCell() {
  // The cell calls this; it is dropped once the call has returned.
  asio::post(io, [self = shared_from_this(), lost = cell] {
    if (self->cell == lost)
      self->cell.reset();
  });
  watch->OnFenced();
}

bool SchedulerProcess::Impl::IsReady() const {
  if (stopping || !operators->manifest().known)
    return false;
  const auto store_age = operators->Age();
  const auto owner_age = watch->OwnerAnswerAge();
  const bool reaches_store = store_age && *store_age < kStoreSilent;
  const bool reaches_owner =
      cell != nullptr || (owner_age && *owner_age < kOwnerSilent);
  return reaches_store || reaches_owner;
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::AnswerCaller(
    HttpRequest request) {
  const TimePoint begin = MonotonicNow();
  const std::string method = request.method;
  HttpResponse response = co_await ports.answer_caller(
      std::move(request), operators->manifest(), *service);
  ++metrics->Counter(
      "cowslipmast_calls_total",
      {{"method", method}, {"status", StatusLabel(response.status)}});
  metrics->Latency("cowslipmast_call_seconds", {{"method", method}})
      .Record(MonotonicNow() - begin);
  co_return response;
}

HttpResponse SchedulerProcess::Impl::AnswerOwner() const {
  PeerHealth health;
  health.owning = cell != nullptr;
  if (cell) {
    health.epoch = cell->epoch();
    health.proof_age = cell->ProofAge();
    health.patience = cell->WorkerCount() * kPatienceOfWorker;
    if (MonotonicNow() - owned_since < kOwnerSettles)
      health.patience = std::max(health.patience, kOwnerSettles);
  }
  return MakeJsonResponse(200, EncodePeerHealth(health));
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::AnswerOffer(
    std::string body) {
  const auto offered = DecodeClaim(body);
  if (!offered)
    co_return MakeJsonResponse(400, R"({"error":"bad_offer"})");
  const auto claim = co_await watch->TakeOffer(offered->epoch);
  co_return claim ? MakeJsonResponse(200, EncodeClaim(*claim))
                  : MakeJsonResponse(409, R"({"error":"not_claimed"})");
}

std::string SchedulerProcess::Impl::Dump() const {
  nlohmann::json j = {
      {"process", settings.process.value()},
      {"ready", IsReady()},
      {"cell", watch->state()},
      {"manifest_version", operators->manifest().policy.version.value()},
      {"dropped_log_lines", DroppedLogLines()}};
  if (const auto owner = watch->owner()) {
    j["owner"] = owner->process.value();
    j["epoch"] = owner->epoch.value();
  }
  if (cell)
    j["scheduler"] = nlohmann::json::parse(cell->Dump());
  return j.dump(2);
}

asio::awaitable<HttpResponse> SchedulerProcess::Impl::AnswerControl(
    HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == kHealthPath) {
    if (const auto candidate = DecodeCandidate(request.body))
      watch->OnAsked(*candidate);
    co_return AnswerOwner();
  }
  if (path == kOfferPath)
    co_return co_await AnswerOffer(std::move(request.body));
  if (path == kClaimPath) {
    const auto owner = watch->owner();
    co_return owner ? MakeJsonResponse(200, EncodeClaim(*owner))
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
  auto answer = co_await service->AnswerPeer(std::move(request));
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
  metrics->Gauge("cowslipmast_dropped_log_lines", {},
                 [] { return static_cast<double>(DroppedLogLines()); });
}

asio::awaitable<void> SchedulerProcess::Impl::FlushLog() {
  const auto self = shared_from_this();
  while (true) {
    FlushEventLog();
    co_await Sleep(kFlushLogEvery);
  }
}

std::unique_ptr<HttpServer> SchedulerProcess::Impl::Serve(
    const Endpoint& endpoint,
    std::string setting,
    HttpHandler handler,
    StartError& reason) {
  HttpServerLimits limits;
  limits.body_bytes = settings.body_bytes;
  NetError error;
  auto server =
      HttpServer::Make(io, endpoint, limits, std::move(handler), error);
  if (!server)
    reason = {StartErrorKind::kListen, std::move(setting), error.detail};
  return server;
}

bool SchedulerProcess::Impl::Listen(StartError& reason) {
  callers = Serve(
      settings.callers, "callers",
      [this](HttpRequest request) { return AnswerCaller(std::move(request)); },
      reason);
  readiness = Serve(
      settings.readiness, "readiness",
      [this](HttpRequest) -> asio::awaitable<HttpResponse> {
        co_return MakeJsonResponse(IsReady() ? 200 : 503, "{}");
      },
      reason);
  control = Serve(
      settings.control, "control",
      [this](HttpRequest request) { return AnswerControl(std::move(request)); },
      reason);
  return callers && readiness && control;
}

void SchedulerProcess::Impl::Connect(const CellChart& chart) {
  operators = OperatorWatch::Make(io, ports.store, ports.readers, [this] {
    if (cell)
      cell->OnManifest();
  });
  OwnerWatchOptions options;
  options.self.process = settings.process;
  options.self.control = settings.control;
  options.seeds = settings.seeds;
  options.cores = settings.cores;
  options.seed = settings.seed;
  OwnerWatchHooks hooks;
  hooks.on_won = [this](Epoch epoch) { OwnCell(epoch); };
  // Without a manifest the owner would not know the queues of its jobs.
  hooks.may_claim = [this] { return !stopping && operators->manifest().known; };
  watch = OwnerWatch::Make(io, ports.store, peers, chart, options,
                           std::move(hooks));
  service =
      JobService::Make(io, ports.store, peers, watch, [this] { return cell; });
  watch->Start();
}

asio::awaitable<void> SchedulerProcess::Impl::Drain(
    std::function<void()> on_stopped) {
  const auto self = shared_from_this();
  const TimePoint begin = MonotonicNow();
  const TimePoint last = begin + settings.stop_grace - kStopMargin;
  const bool handed_over = co_await watch->HandOver();
  if (cell)
    cell->Stop();
  cell.reset();
  if (!handed_over)
    co_await watch->Release();
  callers->CloseAfterAnswer();
  while (MonotonicNow() < last) {
    const bool noticed = MonotonicNow() - begin >= kBalancerNotices;
    if (noticed && callers->in_progress() == 0)
      break;
    co_await Sleep(kStopPoll);
  }
  LogEvent("stopped",
           {{"in_progress", static_cast<int64_t>(callers->in_progress())},
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
  asio::co_spawn(io, impl->FlushLog(), asio::detached);
  LogEvent("started", {{"control_port", impl->settings.control.port}});
  return std::unique_ptr<SchedulerProcess>(
      new SchedulerProcess(std::move(impl)));
}

void SchedulerProcess::Terminate(std::function<void()> on_stopped) {
  if (m_impl->stopping)
    return;
  m_impl->stopping = true;
  LogEvent("stopping",
           {{"owning", static_cast<int64_t>(m_impl->cell != nullptr)}});
  asio::co_spawn(m_impl->io, m_impl->Drain(std::move(on_stopped)),
                 asio::detached);
}

}  // namespace cowslipmast::sched
