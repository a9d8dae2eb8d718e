#include <utility>
#include <variant>
#include <vector>

#include "src/fold/apply.h"

namespace cowslipmast {

namespace {

bool ApplyConfig(ControlState& state, const ConfigPublished& record) {
  if (record.base_version != state.config_version)
    return false;
  std::vector<ConfigError> reasons;
  auto config = ParseConfig(record.text, reasons);
  if (!config)
    return false;
  state.config_version = state.config_version.Next();
  state.config_text = record.text;
  state.config = std::move(*config);
  return true;
}

bool HasId(const ResourceId& resource) {
  return std::visit([](const auto& id) { return !id.empty(); }, resource);
}

bool ApplyClaim(ControlState& state, LogOffset offset, const Claim& record) {
  if (record.process.empty() || !HasId(record.resource))
    return false;
  const auto it = state.ownership.find(record.resource);
  const Epoch current =
      it == state.ownership.end() ? Epoch() : it->second.epoch;
  if (record.base_epoch != current)
    return false;
  const bool taken_over =
      it != state.ownership.end() && it->second.owner.has_value();
  state.ownership[record.resource] = {.owner = record.process,
                                      .epoch = current.Next(),
                                      .since = offset,
                                      .taken_over = taken_over};
  return true;
}

bool ApplyRelease(ControlState& state, const Release& record) {
  const auto it = state.ownership.find(record.resource);
  if (it == state.ownership.end() || !it->second.owner ||
      it->second.epoch != record.epoch)
    return false;
  it->second.owner.reset();
  it->second.taken_over = false;
  return true;
}

bool ApplyVmState(ControlState& state, const VmStateSet& record) {
  if (record.vm.empty())
    return false;
  if (record.state == VmServiceState::kInService)
    state.vm_states.erase(record.vm);
  else
    state.vm_states[record.vm] = record;
  return true;
}

struct ControlApplier {
  ControlState& state;
  LogOffset offset;

  // Written by a newer version; this version cannot apply it. The fold engine
  // counts it.
  bool operator()(const UnknownRecord&) { return true; }
  bool operator()(const Snapshot&) { return true; }
  bool operator()(const ConfigPublished& r) { return ApplyConfig(state, r); }
  bool operator()(const Claim& r) { return ApplyClaim(state, offset, r); }
  bool operator()(const Release& r) { return ApplyRelease(state, r); }
  bool operator()(const Join& r) { return ApplyJoin(state, offset, r); }
  bool operator()(const Leave& r) { return ApplyLeave(state, offset, r); }
  bool operator()(const MembersSettled& r) { return ApplySettled(state, r); }
  bool operator()(const VmStateSet& r) { return ApplyVmState(state, r); }
  bool operator()(const JobSubmitted& r) { return ApplyJobSubmitted(state, r); }
  bool operator()(const JobCancelled& r) { return ApplyJobCancelled(state, r); }
  bool operator()(const JobPlaced& r) { return ApplyJobPlaced(state, r); }
  bool operator()(const JobReleased& r) { return ApplyJobReleased(state, r); }
  bool operator()(const JobEnded& r) { return ApplyJobEnded(state, r); }
  // Belongs in the stream of a data centre.
  bool operator()(const TaskOutcomes&) { return false; }
};

}  // namespace

bool ApplyControlRecord(ControlState& state,
                        LogOffset offset,
                        const Record& record) {
  return std::visit(ControlApplier{state, offset}, record);
}

}  // namespace cowslipmast
