#include "tests/platform/test_system.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/caller_api.h"
#include "platform/store_client.h"
#include "platform/store_records.h"
#include "platform/worker_client.h"
#include "src/daemon/chart_files.h"
#include "src/net/beast_message.h"
#include "src/scheduler_process/clock.h"

namespace cowslipmast::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxProcesses = 3;
constexpr int kWorkersPerRack = 4;
// Fewer than the cells of some tests.
constexpr uint32_t kPartitions = 2;

// Below the ephemeral ports, from which stand-ins and outgoing connections get
// theirs: a port that was free here could otherwise be taken before use.
constexpr uint16_t kFirstPort = 21000;
constexpr uint16_t kPortsPerProgram = 500;
constexpr uint16_t kPortRanges = 20;

bool IsFree(asio::io_context& io, uint16_t port) {
  boost::system::error_code error;
  asio::ip::tcp::acceptor acceptor(io);
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
  return !error;
}

// Each port is returned once in a test program.
Endpoint FreeEndpoint(asio::io_context& io) {
  static std::atomic<uint16_t> next{0};
  const auto first =
      static_cast<uint16_t>(kFirstPort + static_cast<uint16_t>(getpid()) %
                                             kPortRanges * kPortsPerProgram);
  while (true) {
    const auto port = static_cast<uint16_t>(first + next++ % kPortsPerProgram);
    if (IsFree(io, port))
      return {"127.0.0.1", port};
  }
}

std::string NameOfOnlyTask(const std::string& job) {
  return job + ".0.0.0";
}

sched::CellChart ReadCellChart() {
  ChartFileError error;
  std::string missing;
  const auto chart =
      LoadChart(std::string(COWSLIPMAST_CHARTS_DIR) + "/cell.toml", error);
  return *sched::CellChart::Make(*chart, missing);
}

std::string MakeConfig() {
  return json{{"version", 1},
              {"routes",
               {{{"name", "quotes"},
                 {"hostname", "quotes.example"},
                 {"path-prefix", "/q/"},
                 {"service", "quote-server"},
                 {"priority", 0},
                 {"attempts", 2},
                 {"stretch", 2.0},
                 {"target-latency-ms", 500}}}}}
      .dump();
}

HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.push_back({"Host", "quotes.example"});
  request.body = body;
  return request;
}

}  // namespace

LoopThread::LoopThread() : m_io(1), m_work(asio::make_work_guard(m_io)) {
  Thaw();
}

LoopThread::~LoopThread() {
  Freeze();
}

void LoopThread::Freeze() {
  m_io.stop();
  if (m_thread.joinable())
    m_thread.join();
}

void LoopThread::Thaw() {
  m_io.restart();
  m_thread = std::thread([this] { m_io.run(); });
}

// A store port whose calls fail while `unreachable` is set.
sched::StorePort MakeInterruptibleStorePort(
    const sched::StorePort& store,
    const std::atomic<bool>& unreachable) {
  using sched::AppendRequest;
  using sched::KeyedRecord;
  using sched::StoreError;
  using sched::StoreStream;
  using sched::TopicSnapshot;
  sched::StorePort port;
  port.append = [store, &unreachable](
                    AppendRequest request,
                    StoreError& reason) -> asio::awaitable<bool> {
    if (unreachable)
      co_return false;
    co_return co_await store.append(std::move(request), reason);
  };
  port.read_newest =
      [store, &unreachable](
          StoreStream stream,
          StoreError& reason) -> asio::awaitable<std::optional<TopicSnapshot>> {
    if (unreachable)
      co_return std::nullopt;
    co_return co_await store.read_newest(stream, reason);
  };
  port.read_record =
      [store, &unreachable](
          StoreStream stream, std::string key,
          StoreError& reason) -> asio::awaitable<std::optional<KeyedRecord>> {
    if (unreachable)
      co_return std::nullopt;
    co_return co_await store.read_record(stream, std::move(key), reason);
  };
  port.follow =
      [store, &unreachable](
          StoreStream stream, uint64_t from, Duration wait,
          StoreError& reason) -> asio::awaitable<std::optional<TopicSnapshot>> {
    if (unreachable)
      co_return std::nullopt;
    co_return co_await store.follow(stream, from, wait, reason);
  };
  return port;
}

TestProcess::TestProcess(const std::string& name,
                         const Endpoint& store,
                         const std::vector<Endpoint>& seeds,
                         const Endpoint& control,
                         const TestOptions& options) {
  asio::io_context& io = m_loop.io();
  m_settings.process = ProcessId(name);
  m_settings.caller_endpoint = FreeEndpoint(io);
  m_settings.readiness_endpoint = FreeEndpoint(io);
  m_settings.control_endpoint = control;
  m_settings.seed_endpoints = seeds;
  m_settings.lease = options.lease;
  m_settings.workers_per_cell = options.workers_per_cell;
  m_settings.stop_grace = options.stop_grace;
  m_settings.max_body_bytes = 262144;
  m_settings.seed = std::hash<std::string>{}(name);
  m_client = HttpClient::Make(io, HttpClientLimits{});
  sched::PlatformPorts ports;
  ports.store = MakeInterruptibleStorePort(
      MakeStorePort(*m_client, store, kPartitions), m_store_unreachable);
  ports.workers = MakeWorkerPort(*m_client);
  ports.decoders = {DecodeWorkerEntry, DecodeOperatorSetting};
  ports.handle_caller_request = HandleCallerRequest;
  m_process = m_loop.RunAndWait([&] {
    sched::StartError error;
    return sched::SchedulerProcess::Make(io, *m_client, m_settings, ports,
                                         ReadCellChart(), error);
  });
}

void TestProcess::Terminate() {
  m_loop.RunAndWait([&] {
    m_process->Terminate([] {});
    return true;
  });
}

TestProcess::~TestProcess() {
  m_loop.Freeze();
}

TestSystem::TestSystem(int workers, int processes, const TestOptions& options)
    : m_options(options) {
  m_client = HttpClient::Make(m_caller.io(), HttpClientLimits{});
  asio::io_context& io = m_platform.io();
  for (int i = 0; i < kMaxProcesses; ++i)
    m_seeds.push_back(FreeEndpoint(io));
  m_store = m_platform.RunAndWait([&] { return StoreStandIn::Make(io); });
  m_platform.RunAndWait([&] {
    m_store->Put("keyed.op", "config", MakeConfig());
    for (int i = 0; i < workers; ++i) {
      const std::string id = "i-" + std::to_string(i);
      const std::string rack = "r1-" + std::to_string(1 + i / kWorkersPerRack);
      m_workers.push_back(WorkerStandIn::Make(io, id, rack, m_observations));
      m_store->Put("keyed.servers", id, m_workers.back()->StoreEntry());
    }
    return true;
  });
  for (int i = 0; i < processes; ++i)
    AddProcess();
}

TestSystem::~TestSystem() {
  m_processes.clear();
  m_caller.Freeze();
  m_platform.Freeze();
}

TestProcess& TestSystem::AddProcess() {
  const std::string name = "edge-" + std::to_string(m_processes.size());
  m_processes.push_back(
      std::make_unique<TestProcess>(name, m_store->endpoint(), m_seeds,
                                    m_seeds[m_processes.size()], m_options));
  return *m_processes.back();
}

void TestSystem::SetStoreFault(StoreFault fault) {
  m_platform.RunAndWait([&] {
    m_store->SetFault(fault);
    return true;
  });
}

void TestSystem::PutRecord(const std::string& topic,
                           const std::string& key,
                           const std::string& value) {
  m_platform.RunAndWait([&] {
    m_store->Put(topic, key, value);
    return true;
  });
}

void TestSystem::RestartProcess(size_t index) {
  m_processes[index].reset();
  m_processes[index] = std::make_unique<TestProcess>(
      "edge-" + std::to_string(index), m_store->endpoint(), m_seeds,
      m_seeds[index], m_options);
}

std::string TestSystem::SendBytes(const Endpoint& endpoint,
                                  const std::string& bytes) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  std::string received;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        boost::system::error_code error;
        stream.expires_after(std::chrono::seconds(1));
        co_await stream.async_connect(
            {asio::ip::make_address(endpoint.address), endpoint.port},
            asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(
            stream, asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, error));
        while (!error) {
          char part[512];
          const size_t count = co_await stream.async_read_some(
              asio::buffer(part),
              asio::redirect_error(asio::use_awaitable, error));
          received.append(part, count);
        }
      },
      asio::detached);
  io.run();
  return received;
}

void TestSystem::DropHistory() {
  m_platform.RunAndWait([&] {
    m_store->DropHistory();
    return true;
  });
}

void TestSystem::WithWorker(size_t index,
                            std::function<void(WorkerStandIn&)> change) {
  m_platform.RunAndWait([&] {
    change(*m_workers[index]);
    return true;
  });
}

RunObservations TestSystem::Observations() {
  return m_platform.RunAndWait([&] { return m_observations; });
}

std::optional<HttpResponse> TestSystem::Call(TestProcess& process,
                                             const std::string& method,
                                             const std::string& path,
                                             const std::string& body) {
  return Send(process, MakeRequest(method, path, body));
}

std::optional<HttpResponse> TestSystem::CallWithKey(TestProcess& process,
                                                    const std::string& key,
                                                    const std::string& method,
                                                    const std::string& path,
                                                    const std::string& body) {
  HttpRequest request = MakeRequest(method, path, body);
  request.headers.push_back({"X-Api-Key", key});
  return Send(process, std::move(request));
}

std::optional<HttpResponse> TestSystem::Send(TestProcess& process,
                                             HttpRequest request) {
  const std::string& path = request.path;
  const Endpoint endpoint =
      path.starts_with("/v1/") || path == "/dump" || path == "/metrics"
          ? process.control()
          : process.callers();
  std::promise<std::optional<HttpResponse>> promise;
  asio::co_spawn(
      m_caller.io(),
      [&]() -> asio::awaitable<void> {
        NetError error;
        auto response = co_await m_client->Call(endpoint, request,
                                                std::chrono::seconds(3), error);
        promise.set_value(std::move(response));
      },
      asio::detached);
  return promise.get_future().get();
}

int TestSystem::Submit(TestProcess& process, const std::string& id, int tasks) {
  const json body = {
      {"spec", "work"},
      {"steps",
       {{{"count", tasks}, {"cpu", 2000}, {"mem-mb", 500}, {"est-ms", 300}}}}};
  const auto response = Call(process, "POST", "/q/" + id, body.dump());
  return response ? response->status : 0;
}

int TestSystem::SubmitOneTask(const std::string& id, TaskKind kind) {
  json step = {{"count", 1}, {"cpu", 2000}, {"mem-mb", 500}, {"est-ms", 3000}};
  if (kind == TaskKind::kLongRunning)
    step["long-running"] = true;
  const json body = {{"spec", "work"}, {"steps", json::array({step})}};
  const auto response = Call(process(0), "POST", "/q/" + id, body.dump());
  return response ? response->status : 0;
}

std::optional<size_t> TestSystem::WaitForRun(const std::string& id,
                                             std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    RunObservations observations = Observations();
    const auto& running = observations.running[NameOfOnlyTask(id)];
    for (size_t i = 0; i < m_workers.size(); ++i) {
      if (running.count(m_workers[i]->id()) > 0)
        return i;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return std::nullopt;
}

bool TestSystem::WaitForEndOfRun(const std::string& id,
                                 size_t worker,
                                 std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    RunObservations observations = Observations();
    if (observations.running[NameOfOnlyTask(id)].count(
            m_workers[worker]->id()) == 0)
      return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

void TestSystem::AnnounceWorker(size_t worker) {
  m_platform.RunAndWait([&] {
    m_store->Put("keyed.servers", m_workers[worker]->id(),
                 m_workers[worker]->StoreEntry());
    return true;
  });
}

void TestSystem::SetTaskDuration(milliseconds duration) {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    WithWorker(i,
               [duration](WorkerStandIn& w) { w.SetTaskDuration(duration); });
  }
}

std::optional<int> TestSystem::KnownEpoch(TestProcess& process) {
  const auto response = Call(process, "GET", "/dump");
  if (!response)
    return std::nullopt;
  const json cells = json::parse(response->body).value("cells", json());
  return cells.contains("0") ? cells["0"].value("epoch", 0) : 0;
}

std::string TestSystem::StateOf(TestProcess& process, const std::string& id) {
  const auto response = Call(process, "GET", "/q/" + id);
  if (!response || response->status != 200)
    return "";
  return json::parse(response->body).value("state", "");
}

bool TestSystem::WaitForState(TestProcess& process,
                              const std::string& id,
                              const std::string& state,
                              std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (StateOf(process, id) == state)
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::optional<size_t> TestSystem::WaitForOwner(std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    for (size_t i = 0; i < m_processes.size(); ++i) {
      const auto response = Call(*m_processes[i], "GET", "/v1/cells/0/owner");
      if (response && json::parse(response->body).value("owning", false))
        return i;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return std::nullopt;
}

}  // namespace cowslipmast::platform
