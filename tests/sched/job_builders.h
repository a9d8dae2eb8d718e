#ifndef COWSLIPMAST_TESTS_SCHED_JOB_BUILDERS_H_
#define COWSLIPMAST_TESTS_SCHED_JOB_BUILDERS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/policy.h"

namespace cowslipmast::sched {

/** A step with `count` tasks that need `cores` and `memory_mb` and run for
 * `seconds`. */
StepSpec MakeStep(uint32_t count,
                  int64_t cores,
                  int64_t memory_mb,
                  double seconds);

/** A step with `count` tasks that need `cores` and run until they are
 * cancelled. */
StepSpec MakeLongRunningStep(uint32_t count, int64_t cores);

JobDefinition MakeJob(const std::string& id,
                      const std::string& queue,
                      std::vector<StepSpec> steps);

/** A record as it is stored. */
std::string AsBytes(const nlohmann::json& record);

/** Policy of a queue whose tasks run on the service "pool". */
QueuePolicy MakePolicy(uint32_t priority, uint32_t max_attempts);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_JOB_BUILDERS_H_
