#ifndef COWSLIPMAST_SRC_SCHED_STEP_NAME_H_
#define COWSLIPMAST_SRC_SCHED_STEP_NAME_H_

#include <optional>
#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

StepName NameOfStep(const ReadyKey& key);
StepName NameOfStep(const TaskRef& ref);

/** The task of the step that is placed next; nothing if none waits. */
std::optional<TaskRef> FindWaitingTask(const State& state,
                                       const StepName& step);

/** For logs, such as "job/0/1". */
std::string ToString(const StepName& step);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_STEP_NAME_H_
