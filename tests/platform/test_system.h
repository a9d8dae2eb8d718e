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
#include "src/scheduler/process.h"
#include "standins/platform/store_stand_in.h"
#include "standins/platform/worker_stand_in.h"

namespace cowslipmast::platform {

/** An event loop on a thread of its own. */
class LoopThread {
 public:
  LoopThread();
  ~LoopThread();

  asio::io_context& io() { return m_io; }
  /** Runs a function on the loop and waits for its result. */
  template <typename Function>
  auto Do(Function function) {
    std::promise<decltype(function())> promise;
    asio::post(m_io, [&] { promise.set_value(function()); });
    return promise.get_future().get();
  }
  /** Stops the loop at once: what it was doing stays undone. */
  void Freeze();
  void Thaw();

 private:
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/** One scheduler process on a loop of its own. */
class TestProcess {
 public:
  TestProcess(const std::string& name,
              const Endpoint& store,
              const std::vector<Endpoint>& seeds,
              const Endpoint& control);
  ~TestProcess();

  LoopThread& loop() { return m_loop; }
  /** Asks the process to stop, as the platform does before a restart. */
  void Terminate();
  /** Refuses all calls of this process to the store. */
  void CutFromStore(bool cut) { m_cut = cut; }
  const Endpoint& callers() const { return m_settings.callers; }
  const Endpoint& control() const { return m_settings.control; }

 private:
  std::atomic<bool> m_cut{false};
  LoopThread m_loop;
  sched::ProcessSettings m_settings;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<sched::SchedulerProcess> m_process;
};

/** Store, workers and a caller, with a judge of the runs. */
class TestSystem {
 public:
  explicit TestSystem(int workers, int processes = 0);
  ~TestSystem();

  TestProcess& AddProcess();
  TestProcess& process(size_t index) { return *m_processes[index]; }
  void SetStoreFault(StoreFault fault);
  void DropHistory();
  void WithWorker(size_t index, std::function<void(WorkerStandIn&)> change);
  RunJudge Judge();

  /** Sends a call to a process and returns the answer; nothing if none comes
   * within 3 s. */
  std::optional<HttpResponse> Call(TestProcess& process,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body = "");
  /** Submits a job of one step; returns the status, 0 without an answer. */
  int Submit(TestProcess& process, const std::string& id, int tasks);
  /** Epoch of the owner that the process knows; nothing if it does not answer.
   */
  std::optional<int> EpochAt(TestProcess& process);
  /** State as the process shows it; empty if it does not. */
  std::string StateOf(TestProcess& process, const std::string& id);
  /** Asks until the job is in the state or the limit has passed. */
  bool WaitForState(TestProcess& process,
                    const std::string& id,
                    const std::string& state,
                    std::chrono::seconds limit);
  /** Index of the process that owns the cell, waiting up to `limit`. */
  std::optional<size_t> WaitForOwner(std::chrono::seconds limit);

 private:
  LoopThread m_platform;
  LoopThread m_caller;
  std::unique_ptr<HttpClient> m_client;
  RunJudge m_judge;
  std::unique_ptr<StoreStandIn> m_store;
  std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
  std::vector<std::unique_ptr<TestProcess>> m_processes;
  std::vector<Endpoint> m_seeds;
};

}  // namespace cowslipmast::platform

#endif  // COWSLIPMAST_TESTS_PLATFORM_TEST_SYSTEM_H_
