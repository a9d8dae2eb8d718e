#include "src/net/kj_thread.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace cowslipmast {

struct KjThread::Impl {
  void Run();
  kj::Promise<void> RunTasks(kj::AsyncInputStream& wake_stream);
  void Wake() const;
  std::vector<Task> TakeTasks();

  std::thread thread;
  std::mutex mutex;
  std::vector<Task> tasks;  // guarded by `mutex`
  Task at_exit;
  int wake_fd = -1;
  kj::AsyncIoContext* io = nullptr;
  bool stopping = false;  // used on the thread only
  std::promise<void> started;
  std::array<char, 8> wake_buffer{};
};

void KjThread::Impl::Wake() const {
  const uint64_t one = 1;
  // The counter of an eventfd cannot overflow before it is read.
  [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof(one));
}

std::vector<KjThread::Task> KjThread::Impl::TakeTasks() {
  const std::lock_guard<std::mutex> lock(mutex);
  return std::exchange(tasks, {});
}

kj::Promise<void> KjThread::Impl::RunTasks(kj::AsyncInputStream& wake_stream) {
  return wake_stream.read(wake_buffer.data(), wake_buffer.size())
      .then([this, &wake_stream]() -> kj::Promise<void> {
        for (Task& task : TakeTasks())
          task();
        if (stopping)
          return kj::READY_NOW;
        return RunTasks(wake_stream);
      });
}

void KjThread::Impl::Run() {
  kj::AsyncIoContext context = kj::setupAsyncIo();
  io = &context;
  auto wake_stream = context.lowLevelProvider->wrapInputFd(wake_fd);
  started.set_value();
  RunTasks(*wake_stream).wait(context.waitScope);
  if (at_exit)
    at_exit();
  // Posted tasks destroy the objects that belong to the thread.
  for (std::vector<Task> rest = TakeTasks(); !rest.empty();
       rest = TakeTasks()) {
    for (Task& task : rest)
      task();
  }
}

KjThread::KjThread(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

KjThread::~KjThread() {
  Impl* impl = m_impl.get();
  Post([impl] { impl->stopping = true; });
  m_impl->thread.join();
  close(m_impl->wake_fd);
}

std::shared_ptr<KjThread> KjThread::Make() {
  auto impl = std::make_unique<Impl>();
  impl->wake_fd = eventfd(0, EFD_CLOEXEC);
  Impl* raw = impl.get();
  std::future<void> started = raw->started.get_future();
  raw->thread = std::thread([raw] { raw->Run(); });
  started.wait();
  return std::shared_ptr<KjThread>(new KjThread(std::move(impl)));
}

void KjThread::Post(Task task) {
  {
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    m_impl->tasks.push_back(std::move(task));
  }
  m_impl->Wake();
}

void KjThread::SetAtExit(Task at_exit) {
  m_impl->at_exit = std::move(at_exit);
}

kj::AsyncIoContext& KjThread::io() {
  return *m_impl->io;
}

}  // namespace cowslipmast
