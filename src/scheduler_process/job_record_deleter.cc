#include "src/scheduler_process/job_record_deleter.h"

#include <deque>
#include <utility>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// The store refuses an append when earlier ones take 2 s.
constexpr Duration kTimeout = milliseconds(2200);
constexpr Duration kRetryDelay = milliseconds(100);
// Between two deletions, so that several jobs share an append.
constexpr Duration kInterval = milliseconds(1000);
// Far below the size of an append that the store refuses for good.
constexpr size_t kMaxRecordsOfAppend = 2000;

}  // namespace

struct JobRecordDeleter::Impl
    : std::enable_shared_from_this<JobRecordDeleter::Impl> {
  Impl(asio::io_context& context,
       const StorePort& store_port,
       CellId cell,
       Hooks deleter_hooks)
      : io(context),
        store(store_port),
        stream(StoreTopic::kJobs, cell),
        hooks(std::move(deleter_hooks)) {}

  void Start();
  AppendRequest TakeBatch(std::vector<JobId>& of_jobs);
  asio::awaitable<void> Run();

  asio::io_context& io;
  StorePort store;
  StoreStream stream;
  Hooks hooks;
  std::deque<JobId> jobs;
  std::deque<std::string> keys;
  bool running = false;
  bool stopped = false;
};

void JobRecordDeleter::Impl::Start() {
  if ((!jobs.empty() || !keys.empty()) && !std::exchange(running, true))
    Spawn(io, "deletions", Run());
}

AppendRequest JobRecordDeleter::Impl::TakeBatch(std::vector<JobId>& of_jobs) {
  AppendRequest request;
  request.stream = stream;
  request.timeout = kTimeout;
  for (; !keys.empty() && request.records.size() < kMaxRecordsOfAppend;
       keys.pop_front())
    request.records.push_back({std::move(keys.front()), ""});
  for (; !jobs.empty() && request.records.size() < kMaxRecordsOfAppend;
       jobs.pop_front()) {
    for (std::string& key : hooks.take_keys(jobs.front()))
      request.records.push_back({std::move(key), ""});
    of_jobs.push_back(std::move(jobs.front()));
  }
  return request;
}

asio::awaitable<void> JobRecordDeleter::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped && (!jobs.empty() || !keys.empty())) {
    std::vector<JobId> of_jobs;
    const AppendRequest request = TakeBatch(of_jobs);
    bool stored = false;
    while (!stopped && !stored) {
      if (hooks.may_delete()) {
        StoreError error;
        stored = co_await store.append(request, error);
      }
      if (!stored)
        co_await Sleep(kRetryDelay);
    }
    if (stopped)
      break;
    hooks.on_deleted(of_jobs);
    co_await Sleep(kInterval);
  }
  running = false;
}

JobRecordDeleter::JobRecordDeleter(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

JobRecordDeleter::~JobRecordDeleter() {
  Stop();
}

std::shared_ptr<JobRecordDeleter> JobRecordDeleter::Make(asio::io_context& io,
                                                         const StorePort& store,
                                                         CellId cell,
                                                         Hooks hooks) {
  return std::shared_ptr<JobRecordDeleter>(new JobRecordDeleter(
      std::make_shared<Impl>(io, store, cell, std::move(hooks))));
}

void JobRecordDeleter::DeleteJobs(const std::vector<JobId>& jobs) {
  m_impl->jobs.insert(m_impl->jobs.end(), jobs.begin(), jobs.end());
  m_impl->Start();
}

void JobRecordDeleter::DeleteKeys(const std::vector<std::string>& keys) {
  m_impl->keys.insert(m_impl->keys.end(), keys.begin(), keys.end());
  m_impl->Start();
}

void JobRecordDeleter::Stop() {
  m_impl->stopped = true;
}

}  // namespace cowslipmast::sched
