#ifndef COWSLIPMAST_TESTS_PLATFORM_TEST_SYSTEM_H_
#define COWSLIPMAST_TESTS_PLATFORM_TEST_SYSTEM_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/net/http_client.h"
#include "src/scheduler_process/scheduler_process.h"
#include "standins/platform/store_stand_in.h"
#include "standins/platform/worker_stand_in.h"

namespace cowslipmast::platform {

/** An event loop on its own thread. */
class LoopThread {
 public:
  LoopThread();
  ~LoopThread();

  asio::io_context& io() { return m_io; }
  /** Runs a function on the loop and returns its result. */
  template <typename Function>
  auto RunAndWait(Function function) {
    std::promise<decltype(function())> promise;
    asio::post(m_io, [&] { promise.set_value(function()); });
    return promise.get_future().get();
  }
  /** Stops the loop at once; pending work stays undone until `Thaw`. */
  void Freeze();
  void Thaw();

 private:
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/** Settings of the processes that a test may choose. */
struct TestOptions {
  std::chrono::milliseconds lease{2000};
  size_t workers_per_cell = 100;
  std::chrono::milliseconds stop_grace{6000};
};

enum class TaskKind { kShort, kLongRunning };

/** A scheduler process on its own event loop. */
class TestProcess {
 public:
  TestProcess(const std::string& name,
              const Endpoint& store,
              const std::vector<Endpoint>& seeds,
              const Endpoint& control,
              const TestOptions& options);
  ~TestProcess();

  LoopThread& loop() { return m_loop; }
  /** Starts a planned stop, as the platform does before a restart. */
  void Terminate();
  /** While set, all store calls of this process fail. */
  void SetStoreUnreachable(bool unreachable) {
    m_store_unreachable = unreachable;
  }
  const Endpoint& callers() const { return m_settings.caller_endpoint; }
  const Endpoint& control() const { return m_settings.control_endpoint; }
  const Endpoint& readiness() const { return m_settings.readiness_endpoint; }

 private:
  std::atomic<bool> m_store_unreachable{false};
  LoopThread m_loop;
  sched::ProcessSettings m_settings;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<sched::SchedulerProcess> m_process;
};

/** A store, workers, scheduler processes and a caller, with observations of all
 * runs. */
class TestSystem {
 public:
  explicit TestSystem(int workers,
                      int processes = 0,
                      const TestOptions& options = TestOptions());
  ~TestSystem();

  TestProcess& AddProcess();
  TestProcess& process(size_t index) { return *m_processes[index]; }
  void SetStoreFault(StoreFault fault);
  void DropHistory();
  /** Writes a record to the store, as operators, workers or others do. */
  void PutRecord(const std::string& topic,
                 const std::string& key,
                 const std::string& value);
  /** Ends a process at once, as a kill does, and starts it again. */
  void RestartProcess(size_t index);
  /** Sends bytes to an address and returns what comes back within a second. */
  std::string SendBytes(const Endpoint& endpoint, const std::string& bytes);
  void WithWorker(size_t index, std::function<void(WorkerStandIn&)> change);
  RunObservations Observations();

  /** Sends a request to a process; returns nothing without a response within 3
   * s. */
  std::optional<HttpResponse> Call(TestProcess& process,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body = "");
  /** As `Call`, with a workspace's key. */
  std::optional<HttpResponse> CallWithKey(TestProcess& process,
                                          const std::string& key,
                                          const std::string& method,
                                          const std::string& path,
                                          const std::string& body = "");
  /** Submits a job of one step; returns the HTTP status, 0 without a response.
   */
  int Submit(TestProcess& process, const std::string& id, int tasks);
  /** Submits a job of one task; returns the HTTP status, 0 without a response.
   */
  int SubmitOneTask(const std::string& id, TaskKind kind);
  /** Index of the worker that runs the only task of the job, waiting up to
   * `limit` for one. */
  std::optional<size_t> WaitForRun(const std::string& id,
                                   std::chrono::seconds limit);
  /** Waits until the worker no longer runs the only task of the job; false if
   * `limit` has passed. */
  bool WaitForEndOfRun(const std::string& id,
                       size_t worker,
                       std::chrono::seconds limit);
  /** The worker's entry in the store is the one it has now. */
  void AnnounceWorker(size_t worker);
  /** Duration of tasks that start from now on. */
  void SetTaskDuration(std::chrono::milliseconds duration);
  /** Epoch of the owner known to the process; nothing if it does not respond.
   */
  std::optional<int> KnownEpoch(TestProcess& process);
  /** Job state that the process reports; empty if it reports none. */
  std::string StateOf(TestProcess& process, const std::string& id);
  /** Polls until the job is in the state or `limit` has passed; false in that
   * case. */
  bool WaitForState(TestProcess& process,
                    const std::string& id,
                    const std::string& state,
                    std::chrono::seconds limit);
  /** Index of the process that owns the cell, waiting up to `limit` for one. */
  std::optional<size_t> WaitForOwner(std::chrono::seconds limit);

 private:
  std::optional<HttpResponse> Send(TestProcess& process, HttpRequest request);

  LoopThread m_platform;
  LoopThread m_caller;
  std::unique_ptr<HttpClient> m_client;
  RunObservations m_observations;
  std::unique_ptr<StoreStandIn> m_store;
  std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
  std::vector<std::unique_ptr<TestProcess>> m_processes;
  std::vector<Endpoint> m_seeds;
  TestOptions m_options;
};

}  // namespace cowslipmast::platform

#endif  // COWSLIPMAST_TESTS_PLATFORM_TEST_SYSTEM_H_
