#include "src/sched/workspace_caps.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cowslipmast::sched {

namespace {

// A sum of needs stays below it without an overflow.
constexpr int64_t kUnlimited = std::numeric_limits<int64_t>::max() / 4;

// The remainder goes to the cell for oversized tasks, whose part is then the
// largest.
int64_t PartOf(int64_t cap, int64_t cells, bool gets_remainder) {
  if (cap == 0)
    return kUnlimited;
  return cap / cells + (gets_remainder ? cap % cells : 0);
}

const WorkspacePolicy* FindWorkspacePolicy(const State& state,
                                           const TaskRef& ref) {
  const auto found =
      state.policy.workspaces.find(ref.iteration->job->spec.workspace);
  return found == state.policy.workspaces.end() ? nullptr : &found->second;
}

Resources UseOf(const State& state, const WorkspaceId& workspace) {
  const auto found = state.workspace_use.find(workspace);
  return found == state.workspace_use.end() ? Resources{} : found->second;
}

// The members of a gang start together or not at all.
Resources NeedToStart(const StepSpec& spec) {
  const int64_t tasks = spec.gang ? spec.count : 1;
  Resources need;
  need.cpu = MilliCores(spec.need.cpu.count() * tasks);
  need.memory = Mebibytes(spec.need.memory.count() * tasks);
  need.accelerators = Accelerators(spec.need.accelerators.count() * tasks);
  return need;
}

Resources PartHere(const State& state,
                   const WorkspacePolicy& policy,
                   const WorkspaceId& workspace) {
  return PartOfCap(policy.cap, state.options.layout, workspace,
                   state.options.cell);
}

}  // namespace

bool IsCapped(const State& state, const TaskRef& ref) {
  const WorkspacePolicy* policy = FindWorkspacePolicy(state, ref);
  return policy != nullptr && policy->cap != Resources{};
}

CellId CellForOversizedTasks(const CellLayout& layout,
                             const WorkspaceId& workspace) {
  return CellOfJob(layout, JobId(workspace.value()));
}

Resources PartOfCap(const Resources& cap,
                    const CellLayout& layout,
                    const WorkspaceId& workspace,
                    CellId cell) {
  const int64_t cells = std::max<int64_t>(1, layout.cells);
  const bool gets_remainder = cell == CellForOversizedTasks(layout, workspace);
  Resources part;
  part.cpu = MilliCores(PartOf(cap.cpu.count(), cells, gets_remainder));
  part.memory = Mebibytes(PartOf(cap.memory.count(), cells, gets_remainder));
  part.accelerators =
      Accelerators(PartOf(cap.accelerators.count(), cells, gets_remainder));
  return part;
}

void AddToWorkspace(State& state, const TaskRef& ref) {
  const WorkspaceId& workspace = ref.iteration->job->spec.workspace;
  if (!workspace.empty())
    state.workspace_use[workspace] += SpecOf(ref).need;
}

void RemoveFromWorkspace(State& state, const TaskRef& ref) {
  const auto found =
      state.workspace_use.find(ref.iteration->job->spec.workspace);
  if (found == state.workspace_use.end())
    return;
  found->second -= SpecOf(ref).need;
  if (found->second == Resources{})
    state.workspace_use.erase(found);
}

CapVerdict CheckCap(const State& state, const TaskRef& ref) {
  const WorkspacePolicy* policy = FindWorkspacePolicy(state, ref);
  if (policy == nullptr)
    return CapVerdict::kAllowed;
  const WorkspaceId& workspace = ref.iteration->job->spec.workspace;
  const StepSpec& spec = SpecOf(ref);
  const Resources part = PartHere(state, *policy, workspace);
  const Resources need = NeedToStart(spec);
  const Resources use = UseOf(state, workspace);
  if (Fits(need, part)) {
    return Fits(use + need, part) ? CapVerdict::kAllowed
                                  : CapVerdict::kPartUsedUp;
  }
  // One task may be larger than the part of one cell: with the parts of the
  // others, the cap is then exceeded by less than this task. The members of a
  // gang would exceed it by more.
  if (spec.gang || state.options.cell !=
                       CellForOversizedTasks(state.options.layout, workspace))
    return CapVerdict::kOversized;
  return use == Resources{} ? CapVerdict::kAllowed : CapVerdict::kPartUsedUp;
}

bool IsHeldBackByCap(const State& state, const ReadyKey& key) {
  const StepState& step = key.iteration->steps[key.step];
  return !step.ready_tasks.empty() &&
         CheckCap(state,
                  TaskRef{key.iteration, key.step, step.ready_tasks.back()}) !=
             CapVerdict::kAllowed;
}

std::optional<CellId> CellOfOversizedStep(const State& state,
                                          const ReadyKey& key) {
  const TaskRef ref{key.iteration, key.step, 0};
  const CellId cell = CellForOversizedTasks(state.options.layout,
                                            key.iteration->job->spec.workspace);
  if (cell == state.options.cell ||
      CheckCap(state, ref) != CapVerdict::kOversized)
    return std::nullopt;
  return cell;
}

std::string DescribeCap(const State& state, const TaskRef& ref) {
  const WorkspaceId& workspace = ref.iteration->job->spec.workspace;
  const WorkspacePolicy* policy = FindWorkspacePolicy(state, ref);
  if (policy == nullptr)
    return {};
  const CapVerdict verdict = CheckCap(state, ref);
  const Resources use = UseOf(state, workspace);
  const Resources part = PartHere(state, *policy, workspace);
  std::string text = " workspace=" + workspace.value() + " held_by_cap=" +
                     (verdict == CapVerdict::kAllowed      ? "no"
                      : verdict == CapVerdict::kPartUsedUp ? "part_used_up"
                                                           : "oversized") +
                     " running_cpu=" + std::to_string(use.cpu.count()) +
                     " running_mb=" + std::to_string(use.memory.count());
  if (policy->cap.cpu.count() != 0)
    text += " part_cpu=" + std::to_string(part.cpu.count());
  if (policy->cap.memory.count() != 0)
    text += " part_mb=" + std::to_string(part.memory.count());
  return text;
}

}  // namespace cowslipmast::sched
