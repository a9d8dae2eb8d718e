#include "standins/platform/worker_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/net/http_message.h"
#include "src/scheduler/clock.h"

namespace cowslipmast::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(10);
constexpr auto kNever = std::chrono::hours(1);

struct PresentRun {
  uint64_t run = 0;
  TimePoint end;
  Duration work{0};
};

// Of its work, from 0 to 100.
int64_t PercentDone(const PresentRun& run) {
  const Duration left = std::max(Duration(0), run.end - sched::MonotonicNow());
  return 100 - 100 * left.count() / std::max<int64_t>(1, run.work.count());
}

}  // namespace

struct WorkerStandIn::Impl : std::enable_shared_from_this<WorkerStandIn::Impl> {
  Impl(std::string worker_id, RunJudge& run_judge)
      : id(std::move(worker_id)), judge(run_judge) {}

  int64_t Clock() const {
    return sched::ToMillis(sched::MonotonicNow() - born);
  }
  asio::awaitable<void> Tick();
  void End(const std::string& task, const std::string& how);
  HttpResponse Start(const json& body);
  HttpResponse Stop(const json& body);
  asio::awaitable<HttpResponse> Hold(json body);
  HttpResponse List() const;
  asio::awaitable<HttpResponse> Answer(HttpRequest request);

  std::string id;
  RunJudge& judge;
  TimePoint born = sched::MonotonicNow();
  milliseconds work{300};
  bool silent = false;
  bool loses_start_answers = false;
  bool stopped = false;
  uint64_t fence = 0;
  int64_t lease_end = 0;
  std::map<std::string, PresentRun> running;
  std::map<std::string, uint64_t> highest;
  std::vector<json> ended;  // rows
  uint64_t last_end = 0;
  std::unique_ptr<HttpServer> server;
};

void WorkerStandIn::Impl::End(const std::string& task, const std::string& how) {
  const uint64_t run = running.at(task).run;
  running.erase(task);
  highest[task] = std::max(highest[task], run);
  judge.running[task].erase(id);
  if (how == "done")
    judge.done.insert(task);
  ended.push_back(json::array({++last_end, task, run, how, ""}));
}

asio::awaitable<void> WorkerStandIn::Impl::Tick() {
  const auto self = shared_from_this();
  while (!stopped) {
    const TimePoint now = sched::MonotonicNow();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : running) {
      if (Clock() >= lease_end)
        ends.emplace_back(task, "lapsed");
      else if (now >= run.end)
        ends.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ends)
      End(task, how);
    co_await sched::Sleep(kTick);
  }
}

HttpResponse WorkerStandIn::Impl::Start(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<uint64_t>();
  const auto present = running.find(task);
  if (present != running.end() && present->second.run == run)
    return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
  if (highest.count(task) > 0 && run <= highest[task]) {
    return MakeJsonResponse(
        409, json{{"clock-ms", Clock()}, {"reason", "old"}}.dump());
  }
  lease_end = std::max(lease_end, body.at("until-ms").get<int64_t>());
  ++judge.starts[task];
  if (!judge.running[task].empty())
    judge.broken.push_back("runs twice: " + task);
  if (judge.done.count(task) > 0)
    judge.broken.push_back("started after it was done: " + task);
  judge.running[task].insert(id);
  running[task] = PresentRun{run, sched::MonotonicNow() + work, work};
  return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
}

HttpResponse WorkerStandIn::Impl::Stop(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<uint64_t>();
  const auto present = running.find(task);
  if (present != running.end() && present->second.run == run)
    End(task, "stopped");
  highest[task] = std::max(highest[task], run);
  return MakeJsonResponse(200, json{{"clock-ms", Clock()}}.dump());
}

HttpResponse WorkerStandIn::Impl::List() const {
  json rows = json::array();
  for (const auto& [task, run] : running)
    rows.push_back(json::array({task, run.run, "", PercentDone(run)}));
  return MakeJsonResponse(200, json{{"clock-ms", Clock()},
                                    {"born", 1},
                                    {"running", rows},
                                    {"ended", ended}}
                                   .dump());
}

asio::awaitable<HttpResponse> WorkerStandIn::Impl::Hold(json body) {
  const auto seen = body.at("seen-upto").get<uint64_t>();
  std::erase_if(ended, [seen](const json& row) {
    return row.at(0).get<uint64_t>() <= seen;
  });
  lease_end = std::max(lease_end, body.value("until-ms", int64_t{0}));
  const auto limit =
      sched::MonotonicNow() + milliseconds(body.value("wait-ms", int64_t{0}));
  while (ended.empty() && sched::MonotonicNow() < limit)
    co_await sched::Sleep(kTick);
  co_return List();
}

asio::awaitable<HttpResponse> WorkerStandIn::Impl::Answer(HttpRequest request) {
  if (silent)
    co_await sched::Sleep(kNever);
  if (FindHeader(request.headers, "X-Expect-Instance") != id)
    co_return MakeJsonResponse(421, "{}");
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    co_return MakeJsonResponse(400, "{}");
  const uint64_t caller_fence = body.value("fence", uint64_t{0});
  if (caller_fence < fence) {
    co_return MakeJsonResponse(
        409, json{{"clock-ms", Clock()}, {"reason", "fence"}}.dump());
  }
  fence = caller_fence;
  if (request.path == "/run-start") {
    HttpResponse response = Start(body);
    if (loses_start_answers)
      co_await sched::Sleep(kNever);
    co_return response;
  }
  if (request.path == "/run-stop")
    co_return Stop(body);
  if (request.path == "/hold")
    co_return co_await Hold(body);
  co_return MakeJsonResponse(404, "{}");
}

WorkerStandIn::WorkerStandIn(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

WorkerStandIn::~WorkerStandIn() {
  m_impl->stopped = true;
}

std::unique_ptr<WorkerStandIn> WorkerStandIn::Make(asio::io_context& io,
                                                   const std::string& id,
                                                   RunJudge& judge) {
  auto impl = std::make_shared<Impl>(id, judge);
  NetError error;
  impl->server = HttpServer::Make(
      io, Endpoint{"127.0.0.1", 0}, HttpServerLimits{},
      [raw = impl.get()](HttpRequest request) {
        return raw->Answer(std::move(request));
      },
      error);
  if (!impl->server)
    return nullptr;
  asio::co_spawn(io, impl->Tick(), asio::detached);
  return std::unique_ptr<WorkerStandIn>(new WorkerStandIn(std::move(impl)));
}

std::string WorkerStandIn::Entry() const {
  return json{
      {"service", "desk"},
      {"address", "127.0.0.1:" + std::to_string(m_impl->server->port())},
      {"zone", "cebu"},
      {"state", "ready"},
      {"slots", 8},
      {"capacity", {{"cpu", 16000}, {"mem-mb", 64000}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}},
      {"born", 1}}
      .dump();
}

const std::string& WorkerStandIn::id() const {
  return m_impl->id;
}

void WorkerStandIn::SetWork(std::chrono::milliseconds work) {
  m_impl->work = work;
}

void WorkerStandIn::SetSilent(bool silent) {
  m_impl->silent = silent;
}

void WorkerStandIn::SetLosesStartAnswers(bool loses) {
  m_impl->loses_start_answers = loses;
}

}  // namespace cowslipmast::platform
