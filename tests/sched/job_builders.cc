#include "tests/sched/job_builders.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslipmast::sched {

StepSpec MakeStep(uint32_t count,
                  int64_t cores,
                  int64_t memory_mb,
                  double seconds) {
  StepSpec step;
  step.count = count;
  step.need.cpu = MilliCores(cores * 1000);
  step.need.memory = Mebibytes(memory_mb);
  step.estimate = Duration(static_cast<int64_t>(seconds * 1e6));
  return step;
}

StepSpec MakeLongRunningStep(uint32_t count, int64_t cores) {
  StepSpec step = MakeStep(count, cores, 1000, 0);
  step.long_running = true;
  return step;
}

JobDefinition MakeJob(const std::string& id,
                      const std::string& queue,
                      std::vector<StepSpec> steps) {
  JobDefinition spec;
  spec.id = JobId(id);
  spec.queue = QueueId(queue);
  spec.steps = std::move(steps);
  return spec;
}

QueuePolicy MakePolicy(uint32_t priority, uint32_t max_attempts) {
  QueuePolicy policy;
  policy.service = ServiceId("pool");
  policy.priority = priority;
  policy.max_attempts = max_attempts;
  policy.critical_path_factor = 2;
  policy.objective_offset = std::chrono::seconds(1);
  return policy;
}

std::string AsBytes(const nlohmann::json& record) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(record);
  return {bytes.begin(), bytes.end()};
}

}  // namespace cowslipmast::sched
