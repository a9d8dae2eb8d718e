#include "src/sched/dump.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

using nlohmann::json;

namespace {

json DescribeWorkspace(const State& state,
                       const WorkspaceId& workspace,
                       const WorkspacePolicy& policy) {
  const auto found = state.workspace_use.find(workspace);
  const Resources use =
      found == state.workspace_use.end() ? Resources{} : found->second;
  const Resources part = PartOfCap(policy.cap, state.options.layout, workspace,
                                   state.options.cell);
  const auto describe = [](const Resources& resources) {
    return json{{"cpu", resources.cpu.count()},
                {"memory_mb", resources.memory.count()},
                {"accelerators", resources.accelerators.count()}};
  };
  return json{{"weight", policy.weight},
              {"running", describe(use)},
              {"cap", describe(policy.cap)},
              {"part_of_cap", describe(part)}};
}

}  // namespace

std::string DescribeTasks(const WorkerState& worker) {
  json tasks = json::array();
  for (const TaskRef& ref : worker.tasks) {
    const Task& task = TaskOf(ref);
    const StepSpec& spec = SpecOf(ref);
    tasks.push_back({{"job", ref.iteration->job->spec.id.value()},
                     {"image", spec.image.value()},
                     {"cpu", spec.need.cpu.count()},
                     {"target_ms", spec.latency_target.count() / 1000},
                     {"fills", spec.best_effort},
                     {"lasting", spec.long_running},
                     {"percent", task.progress_percent},
                     {"pace", task.pace_percent},
                     {"load", task.load.value_or(-1)}});
  }
  return json{{"capacity", worker.info.capacity.cpu.count()},
              {"tasks", std::move(tasks)}}
      .dump();
}

std::string DumpState(const State& state, TimePoint now) {
  json workers = json::array();
  for (const WorkerState& worker : state.workers) {
    workers.push_back(
        {{"worker", worker.info.id.value()},
         {"listed", worker.listed},
         {"draining", worker.info.draining},
         {"contact", static_cast<int>(worker.reachability)},
         {"tasks", worker.tasks.size()},
         {"reserved_millicores", worker.reserved.cpu.count()},
         {"filling_millicores", worker.best_effort_cpu.count()},
         {"fill_factor", worker.best_effort_pace_factor},
         {"lease_left_ms", (worker.lease_expiry - now).count() / 1000}});
  }
  json jobs = json::array();
  for (const auto& [id, job] : state.jobs) {
    if (job->ended_at)
      continue;
    jobs.push_back({{"job", id.value()},
                    {"queue", job->spec.queue.value()},
                    {"workspace", job->spec.workspace.value()},
                    {"state", JobStateName(job->state)},
                    {"placed", job->placed_tasks},
                    {"age_ms", (now - job->arrived).count() / 1000}});
  }
  json interference = json::object();
  for (const auto& [latency_critical, i] :
       state.interference.latency_critical_index) {
    for (const auto& [best_effort, k] : state.interference.best_effort_index)
      interference[latency_critical.value()][best_effort.value()] =
          EstimateInterference(state.interference, i, k);
  }
  json workspaces = json::object();
  for (const auto& [workspace, policy] : state.policy.workspaces)
    workspaces[workspace.value()] = DescribeWorkspace(state, workspace, policy);
  return json{{"workspaces", std::move(workspaces)},
              {"pressures", std::move(interference)},
              {"policy_version", state.policy.version.value()},
              {"ready_steps", state.ready_steps.size()},
              {"workers", std::move(workers)},
              {"jobs", std::move(jobs)}}
      .dump(2);
}

}  // namespace cowslipmast::sched
