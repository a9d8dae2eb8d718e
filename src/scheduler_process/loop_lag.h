#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOOP_LAG_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOOP_LAG_H_

#include <memory>

#include "cowslipmast/units.h"
#include "src/net/asio.h"

namespace cowslipmast::sched {

/** Measures how late the event loop of this process handles its events, because
 * the VM is short of processor time or was paused. */
class LoopLag {
 public:
  static std::shared_ptr<LoopLag> Make(asio::io_context& io);
  ~LoopLag();

  /** Longest delay of a timer within the last two seconds. */
  Duration Recent() const;

 private:
  struct Impl;
  explicit LoopLag(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/** True if `failures_in_row` requests to a worker without a response show that
 * it cannot be reached. While this process itself is late, responses time out
 * although they have arrived. */
bool IsSilent(int failures_in_row, Duration own_lag);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOOP_LAG_H_
