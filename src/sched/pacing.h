#ifndef COWSLIPMAST_SRC_SCHED_PACING_H_
#define COWSLIPMAST_SRC_SCHED_PACING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Learns from a listing how tasks disturb each other, and sets the pace of the
 * tasks that fill the worker.
 *
 * Answers filling tasks that disturb serving ones by amounts that depend on
 * the pair of images, are not known beforehand and change within seconds. Only
 * the images that press on a task near its target are slowed down, as far as
 * the task's own load of the moment makes necessary. A tail over the target
 * that the model does not explain slows all of them down. */
void PaceFillingTasks(State& state, int32_t worker);

/** Adds a command for each run whose pace is not the wanted one. */
void PlanPaces(State& state, Plan& plan);

/** True if the worker runs both tasks with a latency target and tasks that
 * fill. */
bool IsShared(const Worker& worker);

/** Least room, as utilisation, that a filling task of `cpu` would leave to the
 * serving tasks that it presses on; `kAmpleRoom` if it presses on none. */
double RoomBeside(const State& state,
                  const Worker& worker,
                  ImageIndex filling,
                  MilliCores cpu);
inline constexpr double kAmpleRoom = 0.3;

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PACING_H_
