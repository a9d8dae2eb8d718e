#ifndef COWSLIPMAST_TESTS_SCHED_ENDS_WITHOUT_FAULT_H_
#define COWSLIPMAST_TESTS_SCHED_ENDS_WITHOUT_FAULT_H_

#include <functional>
#include <string>

#include "tests/sched/crash_log.h"

namespace cowslipmast::sched {

/** A job "service" with one task, whose workers end or fall silent. */
struct EndsScenario {
  SimulatedCell cell;
  CrashLog log;
  bool is_long_running = true;
  bool tells_start_time = true;
};

inline constexpr int kEnds = 8;

/** The runs of a short task need far longer than estimated, so that each end
 * comes before theirs. */
EndsScenario MakeEndsScenario(int workers,
                              bool is_long_running,
                              bool tells_start_time);
std::string NameOf(const EndsScenario& scenario);
const TaskName& TaskOfScenario();
/** The worker of the task once that has just started there. Fails the test if
 * the job has ended. */
size_t WorkerOfTask(EndsScenario& scenario);
/** Another instance, which the platform does not list yet, answers at once. */
void Restart(EndsScenario& scenario, size_t worker);
/** Ends a partition: the worker answers at once. */
void Connect(EndsScenario& scenario, size_t worker);
void ReplaceOwner(EndsScenario& scenario);
/** Calls `end` with the worker of the task, `kEnds` times. */
void Repeat(EndsScenario& scenario, const std::function<void(size_t)>& end);
/** Calls `end` with the only worker when a start has been planned and not yet
 * been sent, `kEnds` times. */
void RepeatBeforeStart(EndsScenario& scenario,
                       const std::function<void(size_t)>& end);
/** Checks that the job goes on, or completes if its task is short. */
void CheckThatJobGoesOn(EndsScenario& scenario);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_ENDS_WITHOUT_FAULT_H_
