#include <kj/exception.h>

#include <utility>
#include <vector>

#include "src/fold/snapshot_codec.h"
#include "src/record/message.h"
#include "src/record/record_reader.h"

namespace cowslipmast {

namespace {

// The functions below return false or nothing for a snapshot with values of a
// newer version: an incomplete state must not be installed.

ProducerTable ReadProducers(capnp::List<schema::ProducerEntry>::Reader from) {
  ProducerTable table;
  for (schema::ProducerEntry::Reader entry : from)
    table.Restore(
        {entry.getHigh(), entry.getLow()},
        {BatchSequence(entry.getSequence()), LogOffset(entry.getLastOffset())});
  return table;
}

std::vector<TaskProgress> ReadProgress(
    capnp::List<schema::TaskProgress>::Reader from) {
  std::vector<TaskProgress> progress;
  for (schema::TaskProgress::Reader entry : from)
    progress.push_back(ReadTaskProgress(entry));
  return progress;
}

bool ReadMembers(capnp::List<schema::Member>::Reader from,
                 std::map<ProcessId, Member>& to) {
  for (schema::Member::Reader entry : from) {
    auto member = ReadMember(entry);
    if (!member)
      return false;
    to.emplace(member->process, *member);
  }
  return true;
}

bool ReadOwnership(schema::ControlSnapshot::Reader from, ControlState& state) {
  for (schema::Ownership::Reader entry : from.getOwnership()) {
    auto resource = ReadResourceId(entry.getResource());
    if (!resource)
      return false;
    Ownership& ownership = state.ownership[std::move(*resource)];
    if (entry.getOwner().size() > 0)
      ownership.owner = ProcessId(ReadText(entry.getOwner()));
    ownership.epoch = Epoch(entry.getEpoch());
    ownership.since = LogOffset(entry.getSince());
    ownership.taken_over = entry.getTakenOver();
  }
  return true;
}

bool ReadMemberTables(schema::ControlSnapshot::Reader from,
                      ControlState& state) {
  for (schema::MemberTable::Reader entry : from.getMembers()) {
    const auto role = ReadRole(entry.getRole());
    if (!role)
      return false;
    MemberTable& table =
        state.members[{RegionId(ReadText(entry.getRegion())), *role}];
    table.version = MembershipVersion(entry.getVersion());
    table.settled = MembershipVersion(entry.getSettled());
    table.changed_at = LogOffset(entry.getChangedAt());
    if (!ReadMembers(entry.getMembers(), table.members) ||
        !ReadMembers(entry.getPrevious(), table.previous))
      return false;
  }
  return true;
}

bool ReadVmStates(schema::ControlSnapshot::Reader from, ControlState& state) {
  for (schema::VmStateSet::Reader entry : from.getVmStates()) {
    auto vm_state = ReadVmStateSet(entry);
    if (!vm_state)
      return false;
    state.vm_states.emplace(vm_state->vm, *vm_state);
  }
  return true;
}

void ReadJobs(schema::ControlSnapshot::Reader from, ControlState& state) {
  for (schema::JobEntry::Reader entry : from.getJobs()) {
    JobEntry job;
    job.spec = ReadJobSpec(entry.getSpec());
    job.cancelled = entry.getCancelled();
    if (entry.getDataCentre().size() > 0)
      job.data_centre = DataCentreId(ReadText(entry.getDataCentre()));
    job.progress = ReadProgress(entry.getProgress());
    const JobId id = job.spec.id;
    state.jobs.emplace(id, std::move(job));
  }
}

void ReadEndedJobs(schema::ControlSnapshot::Reader from, ControlState& state) {
  for (schema::EndedJob::Reader entry : from.getEndedJobs())
    state.ended_jobs.push_back({JobId(ReadText(entry.getId())), entry.getDone(),
                                entry.getFailed(), entry.getCancelled()});
}

bool ReadConfig(schema::ControlSnapshot::Reader from, ControlState& state) {
  state.config_version = ConfigVersion(from.getConfigVersion());
  state.config_text = ReadText(from.getConfigText());
  if (state.config_version == ConfigVersion())
    return true;
  std::vector<ConfigError> reasons;
  auto config = ParseConfig(state.config_text, reasons);
  if (!config)
    return false;
  state.config = std::move(*config);
  return true;
}

std::optional<ControlFoldState> ReadControl(
    schema::ControlSnapshot::Reader from) {
  ControlFoldState fold_state;
  if (!ReadConfig(from, fold_state.state) ||
      !ReadOwnership(from, fold_state.state) ||
      !ReadMemberTables(from, fold_state.state) ||
      !ReadVmStates(from, fold_state.state))
    return std::nullopt;
  ReadJobs(from, fold_state.state);
  ReadEndedJobs(from, fold_state.state);
  fold_state.producers = ReadProducers(from.getProducers());
  return fold_state;
}

std::optional<DataCentreFoldState> ReadDataCentre(
    schema::DataCentreSnapshot::Reader from) {
  DataCentreFoldState fold_state;
  fold_state.highest_epoch = Epoch(from.getEpoch());
  for (schema::JobProgress::Reader job : from.getJobs()) {
    const JobId id(ReadText(job.getJob()));
    for (TaskProgress& progress : ReadProgress(job.getTasks()))
      fold_state.state.tasks.emplace(TaskId{id, progress.index}, progress);
  }
  fold_state.producers = ReadProducers(from.getProducers());
  return fold_state;
}

template <typename Schema, typename FoldState>
std::optional<FoldState> Decode(
    std::string_view bytes,
    DecodeError& reason,
    std::optional<FoldState> (*read)(typename Schema::Reader)) {
  const auto words = CopyMessage(bytes, reason);
  if (!words)
    return std::nullopt;
  try {
    capnp::FlatArrayMessageReader message(*words,
                                          MakeReaderOptions(words->size()));
    auto fold_state = read(message.getRoot<Schema>());
    if (!fold_state)
      reason = {DecodeErrorKind::kUnknownVersion};
    return fold_state;
  } catch (const kj::Exception&) {
    reason = {DecodeErrorKind::kMalformed};
    return std::nullopt;
  }
}

}  // namespace

std::optional<ControlFoldState> DecodeControlFoldState(std::string_view bytes,
                                                       DecodeError& reason) {
  return Decode<schema::ControlSnapshot>(bytes, reason, ReadControl);
}

std::optional<DataCentreFoldState> DecodeDataCentreFoldState(
    std::string_view bytes,
    DecodeError& reason) {
  return Decode<schema::DataCentreSnapshot>(bytes, reason, ReadDataCentre);
}

}  // namespace cowslipmast
