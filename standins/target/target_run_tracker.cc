#include "standins/target/target_run_tracker.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::standins {

namespace {

const char* TargetViolationName(TargetViolationKind kind) {
  switch (kind) {
    case TargetViolationKind::kOverSlotLimit:
      return "over_slots";
    case TargetViolationKind::kRanMoreThanOnce:
      return "ran_more_than_once";
  }
  return "";
}

}  // namespace

TargetRunTracker::TargetRunTracker(const std::vector<VmInfo>& targets) {
  for (const VmInfo& vm : targets) {
    Target target;
    target.name = vm.id.value();
    target.slots = static_cast<uint64_t>(vm.slots.count());
    m_targets.push_back(std::move(target));
  }
}

void TargetRunTracker::BeginRun(size_t target,
                                const std::string& request_id,
                                bool idempotent) {
  Target& state = m_targets[target];
  ++state.runs;
  ++state.running;
  state.peak_running = std::max(state.peak_running, state.running);
  if (state.running > state.slots)
    m_violations.push_back({TargetViolationKind::kOverSlotLimit, state.name,
                            request_id, state.running});
  Request& request = m_requests[request_id];
  ++request.runs;
  request.idempotent = request.idempotent && idempotent;
  if (request.runs > 1 && !request.idempotent)
    m_violations.push_back({TargetViolationKind::kRanMoreThanOnce, state.name,
                            request_id, request.runs});
}

void TargetRunTracker::EndRun(size_t target) {
  --m_targets[target].running;
}

size_t TargetRunTracker::FindTarget(const std::string& name) const {
  const auto found =
      std::find_if(m_targets.begin(), m_targets.end(),
                   [&name](const Target& state) { return state.name == name; });
  return static_cast<size_t>(found - m_targets.begin());
}

uint64_t TargetRunTracker::RunCount(const std::string& request_id) const {
  const auto found = m_requests.find(request_id);
  return found == m_requests.end() ? 0 : found->second.runs;
}

Json TargetRunTracker::Stats() const {
  Json targets = Json::object();
  uint64_t runs = 0;
  for (const Target& state : m_targets) {
    runs += state.runs;
    targets[state.name] = {{"runs", state.runs},
                           {"running", state.running},
                           {"most_running", state.peak_running}};
  }
  Json violations = Json::array();
  for (const TargetViolation& violation : m_violations) {
    violations.push_back({{"kind", TargetViolationName(violation.kind)},
                          {"target", violation.target},
                          {"request_id", violation.request_id},
                          {"count", violation.count}});
  }
  return {{"runs", runs},
          {"request_ids", m_requests.size()},
          {"targets", std::move(targets)},
          {"violations", std::move(violations)}};
}

}  // namespace cowslipmast::standins
