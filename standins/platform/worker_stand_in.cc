#include "standins/platform/worker_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/net/http_message.h"
#include "src/scheduler_process/clock.h"

namespace cowslipmast::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kPollInterval = milliseconds(10);
constexpr auto kForever = std::chrono::hours(1);
constexpr int64_t kLongestLeaseMs = 10000;
// The first instance has run for so long when a test begins.
constexpr auto kFirstUptime = std::chrono::seconds(60);
// From the start of a deadly task to the crash.
constexpr auto kCrashDelay = milliseconds(50);
constexpr int64_t kDrainTimeMs = 5000;

struct ActiveTaskRun {
  uint64_t run = 0;
  TimePoint end;
  Duration task_duration{0};
};

// Completed part of the run, from 0 to 100.
int64_t PercentDone(const ActiveTaskRun& run) {
  const Duration left = std::max(Duration(0), run.end - sched::MonotonicNow());
  return 100 -
         100 * left.count() / std::max<int64_t>(1, run.task_duration.count());
}

}  // namespace

struct WorkerStandIn::Impl : std::enable_shared_from_this<WorkerStandIn::Impl> {
  Impl(std::string worker_id,
       std::string rack_name,
       RunObservations& run_observations)
      : id(std::move(worker_id)),
        rack(std::move(rack_name)),
        observations(run_observations) {}

  int64_t Clock() const {
    return sched::ToMillis(sched::MonotonicNow() - start_time);
  }
  asio::awaitable<void> UpdateRuns();
  void EndRun(const std::string& task, const std::string& how);
  HttpResponse Start(const json& body);
  HttpResponse Stop(const json& body);
  asio::awaitable<HttpResponse> Hold(json body);
  HttpResponse List() const;
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request);
  asio::awaitable<HttpResponse> Respond(HttpRequest request);
  void ExtendLease(int64_t until);
  bool Listen(asio::io_context& io, uint16_t port);
  void ForgetRuns();
  void BeginInstance();
  void Crash();
  void UpdateCrash();
  json Entry(const std::string& state) const;

  std::string id;
  std::string rack;
  RunObservations& observations;
  asio::io_context* io = nullptr;
  int64_t instance = 1;
  TimePoint start_time = sched::MonotonicNow() - kFirstUptime;
  milliseconds task_duration{300};
  bool unresponsive = false;
  bool drop_start_responses = false;
  bool stopped = false;
  std::string deadly_job;  // empty if none
  milliseconds downtime{0};
  std::optional<TimePoint> crash_at;
  std::optional<TimePoint> return_at;  // set while the worker is down
  uint64_t fence = 0;
  int64_t lease_end = 0;
  std::map<std::string, ActiveTaskRun> running;
  std::map<std::string, uint64_t> highest_run;
  std::vector<json> ended_rows;  // rows as listed on the wire
  uint64_t last_end_number = 0;
  std::unique_ptr<HttpServer> server;
};

void WorkerStandIn::Impl::EndRun(const std::string& task,
                                 const std::string& how) {
  const uint64_t run = running.at(task).run;
  running.erase(task);
  highest_run[task] = std::max(highest_run[task], run);
  observations.running[task].erase(id);
  if (how == "done")
    observations.done.insert(task);
  ended_rows.push_back(json::array({++last_end_number, task, run, how, ""}));
}

asio::awaitable<void> WorkerStandIn::Impl::UpdateRuns() {
  const auto self = shared_from_this();
  while (!stopped) {
    UpdateCrash();
    const TimePoint now = sched::MonotonicNow();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : running) {
      if (Clock() >= lease_end)
        ends.emplace_back(task, "lapsed");
      else if (now >= run.end)
        ends.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ends)
      EndRun(task, how);
    co_await sched::Sleep(kPollInterval);
  }
}

void WorkerStandIn::Impl::ExtendLease(int64_t until) {
  lease_end = std::max(lease_end, std::min(until, Clock() + kLongestLeaseMs));
}

HttpResponse WorkerStandIn::Impl::Start(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<uint64_t>();
  ExtendLease(body.at("until-ms").get<int64_t>());
  const auto found = running.find(task);
  if (found != running.end() && found->second.run == run)
    return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
  if (highest_run.count(task) > 0 && run <= highest_run[task]) {
    return MakeJsonResponse(
        409, json{{"clock-ms", Clock()}, {"reason", "old"}}.dump());
  }
  ++observations.starts[task];
  if (!observations.running[task].empty())
    observations.violations.push_back("runs on two workers: " + task);
  if (observations.done.count(task) > 0)
    observations.violations.push_back("started after it was completed: " +
                                      task);
  observations.running[task].insert(id);
  observations.workers[task].insert(id);
  running[task] =
      ActiveTaskRun{run, sched::MonotonicNow() + task_duration, task_duration};
  if (!deadly_job.empty() && task.starts_with(deadly_job + "."))
    crash_at = sched::MonotonicNow() + kCrashDelay;
  return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
}

HttpResponse WorkerStandIn::Impl::Stop(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<uint64_t>();
  const auto found = running.find(task);
  if (found != running.end() && found->second.run == run)
    EndRun(task, "stopped");
  highest_run[task] = std::max(highest_run[task], run);
  return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
}

HttpResponse WorkerStandIn::Impl::List() const {
  json rows = json::array();
  for (const auto& [task, run] : running)
    rows.push_back(json::array({task, run.run, "", PercentDone(run)}));
  return MakeJsonResponse(200, json{{"clock-ms", Clock()},
                                    {"born", instance},
                                    {"running", rows},
                                    {"ended", ended_rows}}
                                   .dump());
}

asio::awaitable<HttpResponse> WorkerStandIn::Impl::Hold(json body) {
  const auto seen = body.at("seen-upto").get<uint64_t>();
  std::erase_if(ended_rows, [seen](const json& row) {
    return row.at(0).get<uint64_t>() <= seen;
  });
  ExtendLease(body.value("until-ms", int64_t{0}));
  const auto limit =
      sched::MonotonicNow() + milliseconds(body.value("wait-ms", int64_t{0}));
  while (ended_rows.empty() && sched::MonotonicNow() < limit)
    co_await sched::Sleep(kPollInterval);
  co_return List();
}

// A request that began before a restart or a crash gets no response.
asio::awaitable<HttpResponse> WorkerStandIn::Impl::HandleRequest(
    HttpRequest request) {
  const auto self = shared_from_this();
  const int64_t received_by = instance;
  if (unresponsive || return_at)
    co_await sched::Sleep(kForever);
  HttpResponse response = co_await Respond(std::move(request));
  if (unresponsive || return_at || received_by != instance)
    co_await sched::Sleep(kForever);
  co_return response;
}

asio::awaitable<HttpResponse> WorkerStandIn::Impl::Respond(
    HttpRequest request) {
  if (FindHeader(request.headers, "X-Expect-Instance") != id)
    co_return MakeJsonResponse(421, "{}");
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    co_return MakeJsonResponse(400, "{}");
  const uint64_t request_fence = body.value("fence", uint64_t{0});
  if (request_fence < fence) {
    co_return MakeJsonResponse(
        409, json{{"clock-ms", Clock()}, {"reason", "fence"}}.dump());
  }
  fence = request_fence;
  if (request.path == "/run-start") {
    HttpResponse response = Start(body);
    if (drop_start_responses)
      co_await sched::Sleep(kForever);
    co_return response;
  }
  if (request.path == "/run-stop")
    co_return Stop(body);
  if (request.path == "/hold")
    co_return co_await Hold(body);
  co_return MakeJsonResponse(404, "{}");
}

bool WorkerStandIn::Impl::Listen(asio::io_context& context, uint16_t port) {
  io = &context;
  NetError error;
  auto listening = HttpServer::Make(
      context, Endpoint{"127.0.0.1", port}, HttpServerLimits{},
      [this](HttpRequest request) { return HandleRequest(std::move(request)); },
      error);
  if (!listening)
    return false;
  server = std::move(listening);
  return true;
}

void WorkerStandIn::Impl::ForgetRuns() {
  for (const auto& [task, run] : running)
    observations.running[task].erase(id);
  for (const json& row : ended_rows) {
    if (row.at(3) == "done")
      observations.done.erase(row.at(1).get<std::string>());
  }
  running.clear();
  highest_run.clear();
  ended_rows.clear();
  last_end_number = 0;
}

void WorkerStandIn::Impl::BeginInstance() {
  ++instance;
  start_time = sched::MonotonicNow();
  lease_end = 0;
  fence = 0;
}

void WorkerStandIn::Impl::Crash() {
  ForgetRuns();
  crash_at.reset();
  return_at = sched::MonotonicNow() + downtime;
  server->StopAccepting();
}

void WorkerStandIn::Impl::UpdateCrash() {
  const TimePoint now = sched::MonotonicNow();
  if (crash_at && now >= *crash_at)
    Crash();
  // Another program may hold the port for a moment.
  if (!return_at || now < *return_at || !Listen(*io, server->port()))
    return;
  return_at.reset();
  BeginInstance();
}

json WorkerStandIn::Impl::Entry(const std::string& state) const {
  return {{"service", "quote-server"},
          {"address", "127.0.0.1:" + std::to_string(server->port())},
          {"zone", "cebu"},
          {"state", state},
          {"slots", 8},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 64000}, {"gpu", 0}}},
          {"labels", {"a", rack}},
          {"born", instance}};
}

WorkerStandIn::WorkerStandIn(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

WorkerStandIn::~WorkerStandIn() {
  m_impl->stopped = true;
}

std::unique_ptr<WorkerStandIn> WorkerStandIn::Make(
    asio::io_context& io,
    const std::string& id,
    const std::string& rack,
    RunObservations& observations) {
  auto impl = std::make_shared<Impl>(id, rack, observations);
  if (!impl->Listen(io, 0))
    return nullptr;
  asio::co_spawn(io, impl->UpdateRuns(), asio::detached);
  return std::unique_ptr<WorkerStandIn>(new WorkerStandIn(std::move(impl)));
}

std::string WorkerStandIn::StoreEntry() const {
  return m_impl->Entry("ready").dump();
}

std::string WorkerStandIn::DrainingStoreEntry() const {
  json entry = m_impl->Entry("draining");
  entry["remaining-ms"] = kDrainTimeMs;
  return entry.dump();
}

const std::string& WorkerStandIn::id() const {
  return m_impl->id;
}

void WorkerStandIn::SetTaskDuration(std::chrono::milliseconds task_duration) {
  m_impl->task_duration = task_duration;
}

bool WorkerStandIn::Restart() {
  m_impl->ForgetRuns();
  m_impl->BeginInstance();
  const uint16_t port = m_impl->server->port();
  m_impl->server->StopAccepting();
  return m_impl->Listen(*m_impl->io, port);
}

void WorkerStandIn::SetDeadlyJob(const std::string& job,
                                 milliseconds downtime) {
  m_impl->deadly_job = job;
  m_impl->downtime = downtime;
}

bool WorkerStandIn::IsDown() const {
  return m_impl->return_at.has_value();
}

void WorkerStandIn::SetUnresponsive(bool unresponsive) {
  m_impl->unresponsive = unresponsive;
}

void WorkerStandIn::SetDropStartResponses(bool drop) {
  m_impl->drop_start_responses = drop;
}

}  // namespace cowslipmast::platform
