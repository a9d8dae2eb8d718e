#include <cstdint>
#include <vector>

#include "src/fold/snapshot_codec.h"
#include "src/record/message.h"
#include "src/record/record_writer.h"

namespace cowslipmast {

namespace {

void WriteProducers(const ProducerTable& from,
                    capnp::List<schema::ProducerEntry>::Builder to) {
  uint32_t i = 0;
  for (const auto& [producer, latest] : from.entries()) {
    auto out = to[i++];
    out.setHigh(producer.high);
    out.setLow(producer.low);
    out.setSequence(latest.sequence.value());
    out.setLastOffset(latest.last_offset.value());
  }
}

void WriteProgress(const std::vector<TaskProgress>& from,
                   capnp::List<schema::TaskProgress>::Builder to) {
  for (uint32_t i = 0; i < to.size(); ++i)
    WriteTaskProgress(from[i], to[i]);
}

void WriteMembers(const std::map<ProcessId, Member>& from,
                  capnp::List<schema::Member>::Builder to) {
  uint32_t i = 0;
  for (const auto& [process, member] : from)
    WriteMember(member, to[i++]);
}

void WriteOwnership(const ControlState& state,
                    schema::ControlSnapshot::Builder to) {
  auto list = to.initOwnership(state.ownership.size());
  uint32_t i = 0;
  for (const auto& [resource, ownership] : state.ownership) {
    auto out = list[i++];
    WriteResourceId(resource, out.initResource());
    out.setOwner(ownership.owner ? ownership.owner->value() : "");
    out.setEpoch(ownership.epoch.value());
    out.setSince(ownership.since.value());
    out.setTakenOver(ownership.taken_over);
  }
}

void WriteMemberTables(const ControlState& state,
                       schema::ControlSnapshot::Builder to) {
  auto list = to.initMembers(state.members.size());
  uint32_t i = 0;
  for (const auto& [key, table] : state.members) {
    auto out = list[i++];
    out.setRegion(key.first.value());
    out.setRole(ToSchema(key.second));
    out.setVersion(table.version.value());
    out.setSettled(table.settled.value());
    out.setChangedAt(table.changed_at.value());
    WriteMembers(table.members, out.initMembers(table.members.size()));
    WriteMembers(table.previous, out.initPrevious(table.previous.size()));
  }
}

void WriteVmStates(const ControlState& state,
                   schema::ControlSnapshot::Builder to) {
  auto list = to.initVmStates(state.vm_states.size());
  uint32_t i = 0;
  for (const auto& [vm, vm_state] : state.vm_states)
    WriteVmStateSet(vm_state, list[i++]);
}

void WriteJobs(const ControlState& state, schema::ControlSnapshot::Builder to) {
  auto list = to.initJobs(state.jobs.size());
  uint32_t i = 0;
  for (const auto& [id, job] : state.jobs) {
    auto out = list[i++];
    WriteJobSpec(job.spec, out.initSpec());
    out.setCancelled(job.cancelled);
    out.setDataCentre(job.data_centre ? job.data_centre->value() : "");
    WriteProgress(job.progress, out.initProgress(job.progress.size()));
  }
}

void WriteEndedJobs(const ControlState& state,
                    schema::ControlSnapshot::Builder to) {
  auto list = to.initEndedJobs(state.ended_jobs.size());
  uint32_t i = 0;
  for (const EndedJob& ended : state.ended_jobs) {
    auto out = list[i++];
    out.setId(ended.id.value());
    out.setDone(ended.done);
    out.setFailed(ended.failed);
    out.setCancelled(ended.cancelled);
  }
}

// The tasks are sorted by job, so the tasks of a job are adjacent in the map.
std::vector<std::pair<JobId, std::vector<TaskProgress>>> GroupByJob(
    const DataCentreState& state) {
  std::vector<std::pair<JobId, std::vector<TaskProgress>>> groups;
  for (const auto& [task, progress] : state.tasks) {
    if (groups.empty() || groups.back().first != task.job)
      groups.push_back({task.job, {}});
    groups.back().second.push_back(progress);
  }
  return groups;
}

}  // namespace

std::string EncodeFoldState(const ControlFoldState& fold_state) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::ControlSnapshot>();
  root.setConfigVersion(fold_state.state.config_version.value());
  root.setConfigText(fold_state.state.config_text);
  WriteOwnership(fold_state.state, root);
  WriteMemberTables(fold_state.state, root);
  WriteVmStates(fold_state.state, root);
  WriteJobs(fold_state.state, root);
  WriteEndedJobs(fold_state.state, root);
  WriteProducers(fold_state.producers,
                 root.initProducers(fold_state.producers.entries().size()));
  return EncodeMessage(message);
}

std::string EncodeFoldState(const DataCentreFoldState& fold_state) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::DataCentreSnapshot>();
  root.setEpoch(fold_state.highest_epoch.value());
  const auto groups = GroupByJob(fold_state.state);
  auto jobs = root.initJobs(groups.size());
  for (uint32_t i = 0; i < jobs.size(); ++i) {
    jobs[i].setJob(groups[i].first.value());
    WriteProgress(groups[i].second, jobs[i].initTasks(groups[i].second.size()));
  }
  WriteProducers(fold_state.producers,
                 root.initProducers(fold_state.producers.entries().size()));
  return EncodeMessage(message);
}

}  // namespace cowslipmast
