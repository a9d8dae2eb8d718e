#include "src/record/record_writer.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cowslipmast {

namespace {

schema::VmServiceState ToSchema(VmServiceState state) {
  switch (state) {
    case VmServiceState::kInService:
      return schema::VmServiceState::IN_SERVICE;
    case VmServiceState::kDraining:
      return schema::VmServiceState::DRAINING;
    case VmServiceState::kQuarantined:
      return schema::VmServiceState::QUARANTINED;
  }
  return schema::VmServiceState::IN_SERVICE;
}

schema::TaskResult ToSchema(TaskResult result) {
  switch (result) {
    case TaskResult::kDone:
      return schema::TaskResult::DONE;
    case TaskResult::kFailed:
      return schema::TaskResult::FAILED;
    case TaskResult::kEvicted:
      return schema::TaskResult::EVICTED;
    case TaskResult::kLost:
      return schema::TaskResult::LOST;
  }
  return schema::TaskResult::LOST;
}

void WriteTaskOutcome(const TaskOutcome& from,
                      schema::TaskOutcome::Builder to) {
  to.setJob(from.task.job.value());
  to.setIndex(from.task.index);
  to.setAttempt(from.attempt.value());
  to.setResult(ToSchema(from.result));
  to.setCheckpoint(from.checkpoint);
}

// One overload per record kind, for std::visit.
struct RecordWriter {
  schema::Record::Builder to;

  void operator()(const UnknownRecord&) { to.setUnknown(); }
  void operator()(const ConfigPublished& from) {
    auto out = to.initConfigPublished();
    out.setBaseVersion(from.base_version.value());
    out.setText(from.text);
    out.setAuthor(from.author);
  }
  void operator()(const Claim& from) {
    auto out = to.initClaim();
    WriteResourceId(from.resource, out.initResource());
    out.setProcess(from.process.value());
    out.setBaseEpoch(from.base_epoch.value());
  }
  void operator()(const Release& from) {
    auto out = to.initRelease();
    WriteResourceId(from.resource, out.initResource());
    out.setEpoch(from.epoch.value());
  }
  void operator()(const Join& from) {
    auto out = to.initJoin();
    WriteMember(from.member, out.initMember());
    out.setBaseVersion(from.base_version.value());
  }
  void operator()(const Leave& from) {
    auto out = to.initLeave();
    out.setProcess(from.process.value());
    out.setRegion(from.region.value());
    out.setRole(cowslipmast::ToSchema(from.role));
    out.setBaseVersion(from.base_version.value());
  }
  void operator()(const MembersSettled& from) {
    auto out = to.initMembersSettled();
    out.setRegion(from.region.value());
    out.setRole(cowslipmast::ToSchema(from.role));
    out.setVersion(from.version.value());
  }
  void operator()(const VmStateSet& from) {
    WriteVmStateSet(from, to.initVmStateSet());
  }
  void operator()(const JobSubmitted& from) {
    WriteJobSpec(from.spec, to.initJobSubmitted());
  }
  void operator()(const JobCancelled& from) {
    to.setJobCancelled(from.job.value());
  }
  void operator()(const JobPlaced& from) {
    auto out = to.initJobPlaced();
    out.setJob(from.job.value());
    out.setDataCentre(from.data_centre.value());
    out.setEpoch(from.epoch.value());
  }
  void operator()(const JobReleased& from) {
    auto out = to.initJobReleased();
    out.setJob(from.job.value());
    out.setDataCentre(from.data_centre.value());
    out.setEpoch(from.epoch.value());
    auto progress = out.initProgress(from.progress.size());
    for (uint32_t i = 0; i < progress.size(); ++i)
      WriteTaskProgress(from.progress[i], progress[i]);
  }
  void operator()(const JobEnded& from) {
    auto out = to.initJobEnded();
    out.setJob(from.job.value());
    out.setDataCentre(from.data_centre.value());
    out.setEpoch(from.epoch.value());
    out.setDone(from.done);
    out.setFailed(from.failed);
  }
  void operator()(const TaskOutcomes& from) {
    auto out = to.initTaskOutcomes();
    out.setDataCentre(from.data_centre.value());
    out.setEpoch(from.epoch.value());
    auto outcomes = out.initOutcomes(from.outcomes.size());
    for (uint32_t i = 0; i < outcomes.size(); ++i)
      WriteTaskOutcome(from.outcomes[i], outcomes[i]);
  }
  void operator()(const Snapshot& from) {
    auto out = to.initSnapshot();
    out.setThrough(from.through.value());
    out.setState(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(from.state.data()),
        from.state.size()));
  }
};

}  // namespace

schema::Role ToSchema(Role role) {
  return role == Role::kEntry ? schema::Role::ENTRY : schema::Role::PLACER;
}

void WriteResourceId(const ResourceId& from, schema::ResourceId::Builder to) {
  if (const auto* target = std::get_if<TargetId>(&from))
    to.setTarget(target->value());
  else
    to.setDataCentre(std::get<DataCentreId>(from).value());
}

void WriteMember(const Member& from, schema::Member::Builder to) {
  to.setProcess(from.process.value());
  to.setVm(from.vm.value());
  to.setRegion(from.region.value());
  to.setRole(ToSchema(from.role));
  to.setAddress(from.peer_endpoint.address);
  to.setPort(from.peer_endpoint.port);
}

void WriteVmStateSet(const VmStateSet& from, schema::VmStateSet::Builder to) {
  to.setVm(from.vm.value());
  to.setState(ToSchema(from.state));
  to.setCause(from.cause);
}

void WriteJobSpec(const JobSpec& from, schema::JobSpec::Builder to) {
  to.setId(from.id.value());
  to.setTeam(from.team.value());
  to.setKind(from.kind.value());
  to.setTaskCount(from.task_count);
  auto resources = to.initResources();
  resources.setCpuMillis(from.resources.cpu.count());
  resources.setMemoryMib(from.resources.memory.count());
  resources.setAccelerators(from.resources.accelerators.count());
  to.setRunTimeMicros(from.run_time.count());
  to.setUrgent(from.urgent);
  to.setLatencyCritical(from.latency_critical);
  auto data_centres = to.initDataCentres(from.data_centres.size());
  for (uint32_t i = 0; i < data_centres.size(); ++i)
    data_centres.set(i, from.data_centres[i].value());
}

void WriteTaskProgress(const TaskProgress& from,
                       schema::TaskProgress::Builder to) {
  to.setIndex(from.index);
  to.setAttempt(from.attempt.value());
  to.setFinished(from.finished);
  to.setFailed(from.failed);
  to.setFailures(from.failures);
  to.setCheckpoint(from.checkpoint);
}

void WriteRecord(const Record& from, schema::Record::Builder to) {
  std::visit(RecordWriter{to}, from);
}

}  // namespace cowslipmast
