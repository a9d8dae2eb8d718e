#ifndef COWSLIPMAST_TESTS_PLACEMENT_FAKE_WORKER_H_
#define COWSLIPMAST_TESTS_PLACEMENT_FAKE_WORKER_H_

#include <map>
#include <utility>
#include <vector>

#include "cowslipmast/worker_commands.h"

namespace cowslipmast {

/** A worker in virtual time. It does not check its capacity, so that a test
 * checks what the placement itself guarantees. */
struct FakeWorker {
  struct Run {
    WorkerLease lease;
    TimePoint lease_end;
    TimePoint task_end;
  };

  Resources capacity;
  Duration clock_error{0};
  bool fails_all = false;
  Resources usage;  // usage of each task
  Epoch max_epoch;
  std::map<TaskId, Run> runs;
  std::vector<TaskOutcome> finished;
  std::map<std::pair<TaskId, Attempt>, int> accepted;
  std::vector<StartCommand> starts;
  // The results of all runs; unlike `finished`, kept after an acknowledgement.
  std::map<std::pair<TaskId, Attempt>, TaskOutcome> ends;

  void Advance(TimePoint now);
  void Restart();
  WorkerReply Handle(const WorkerCommand& command, TimePoint now);
  Resources Used() const;

 private:
  WorkerReply Do(const FenceCommand&, Epoch epoch, TimePoint now);
  WorkerReply Do(const ListCommand&, Epoch epoch, TimePoint now);
  WorkerReply Do(const StartCommand& start, Epoch epoch, TimePoint now);
  WorkerReply Do(const RenewCommand& renew, Epoch epoch, TimePoint now);
  WorkerReply Do(const ThrottleCommand& throttle, Epoch epoch, TimePoint now);
  WorkerReply Do(const CheckpointCommand& command, Epoch epoch, TimePoint now);
  WorkerReply Do(const StopCommand& stop, Epoch epoch, TimePoint now);
  WorkerReply Do(const AckCommand& ack, Epoch epoch, TimePoint now);
  WorkerReply End(const TaskId& task,
                  TaskResult result,
                  std::string checkpoint);
  bool IsLate(WallTime not_after, TimePoint now) const;
};

/** The wall clock of virtual time. */
inline WallTime ToWall(TimePoint now) {
  return WallTime(std::chrono::hours(1000) + now.time_since_epoch());
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_PLACEMENT_FAKE_WORKER_H_
