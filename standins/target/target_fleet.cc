#include "standins/target/target_fleet.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::standins {

namespace {

const char* ViolationName(TargetViolationKind kind) {
  switch (kind) {
    case TargetViolationKind::kOverSlots:
      return "over_slots";
    case TargetViolationKind::kRanMoreThanOnce:
      return "ran_more_than_once";
  }
  return "";
}

}  // namespace

TargetFleet::TargetFleet(const std::vector<VmInfo>& targets) {
  for (const VmInfo& vm : targets) {
    Target target;
    target.name = vm.id.value();
    target.slots = static_cast<uint64_t>(vm.slots.count());
    m_targets.push_back(std::move(target));
  }
}

void TargetFleet::Begin(size_t target,
                        const std::string& request_id,
                        bool idempotent) {
  Target& at = m_targets[target];
  ++at.runs;
  ++at.running;
  at.most_running = std::max(at.most_running, at.running);
  if (at.running > at.slots)
    m_violations.push_back(
        {TargetViolationKind::kOverSlots, at.name, request_id, at.running});
  Request& request = m_requests[request_id];
  ++request.runs;
  request.idempotent = request.idempotent && idempotent;
  if (request.runs > 1 && !request.idempotent)
    m_violations.push_back({TargetViolationKind::kRanMoreThanOnce, at.name,
                            request_id, request.runs});
}

void TargetFleet::End(size_t target) {
  --m_targets[target].running;
}

size_t TargetFleet::Find(const std::string& name) const {
  const auto found =
      std::find_if(m_targets.begin(), m_targets.end(),
                   [&name](const Target& at) { return at.name == name; });
  return static_cast<size_t>(found - m_targets.begin());
}

uint64_t TargetFleet::Runs(const std::string& request_id) const {
  const auto found = m_requests.find(request_id);
  return found == m_requests.end() ? 0 : found->second.runs;
}

Json TargetFleet::Stats() const {
  Json targets = Json::object();
  uint64_t runs = 0;
  for (const Target& at : m_targets) {
    runs += at.runs;
    targets[at.name] = {{"runs", at.runs},
                        {"running", at.running},
                        {"most_running", at.most_running}};
  }
  Json violations = Json::array();
  for (const TargetViolation& violation : m_violations) {
    violations.push_back({{"kind", ViolationName(violation.kind)},
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
