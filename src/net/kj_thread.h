#ifndef COWSLIPMAST_SRC_NET_KJ_THREAD_H_
#define COWSLIPMAST_SRC_NET_KJ_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>

#include "absl/functional/any_invocable.h"

namespace cowslipmast {

/** Thread that runs a kj event loop and tasks posted to it. */
class KjThread {
 public:
  using Task = absl::AnyInvocable<void()>;

  static std::shared_ptr<KjThread> Make();
  /** Runs `at_exit` on the thread, then ends it. */
  ~KjThread();
  KjThread(const KjThread&) = delete;
  KjThread& operator=(const KjThread&) = delete;

  /** Runs a task on the thread; never blocks. Callable from any thread. */
  void Post(Task task);
  /** Runs on the thread before its event loop is destroyed. */
  void SetAtExit(Task at_exit);
  /** Network and timer; only for use on the thread. */
  kj::AsyncIoContext& io();

 private:
  struct Impl;
  explicit KjThread(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_KJ_THREAD_H_
