#include "src/record/record_reader.h"

#include <utility>

namespace cowslipmast {

namespace {

std::optional<VmServiceState> ReadVmServiceState(schema::VmServiceState from) {
  switch (from) {
    case schema::VmServiceState::IN_SERVICE:
      return VmServiceState::kInService;
    case schema::VmServiceState::DRAINING:
      return VmServiceState::kDraining;
    case schema::VmServiceState::QUARANTINED:
      return VmServiceState::kQuarantined;
  }
  return std::nullopt;
}

std::optional<TaskResult> ReadTaskResult(schema::TaskResult from) {
  switch (from) {
    case schema::TaskResult::DONE:
      return TaskResult::kDone;
    case schema::TaskResult::FAILED:
      return TaskResult::kFailed;
    case schema::TaskResult::EVICTED:
      return TaskResult::kEvicted;
    case schema::TaskResult::LOST:
      return TaskResult::kLost;
  }
  return std::nullopt;
}

Record ReadConfigPublished(schema::ConfigPublished::Reader from) {
  return ConfigPublished{ConfigVersion(from.getBaseVersion()),
                         ReadText(from.getText()), ReadText(from.getAuthor())};
}

Record ReadClaim(schema::Claim::Reader from) {
  auto resource = ReadResourceId(from.getResource());
  if (!resource)
    return UnknownRecord{};
  return Claim{std::move(*resource), ProcessId(ReadText(from.getProcess())),
               Epoch(from.getBaseEpoch())};
}

Record ReadRelease(schema::Release::Reader from) {
  auto resource = ReadResourceId(from.getResource());
  if (!resource)
    return UnknownRecord{};
  return Release{std::move(*resource), Epoch(from.getEpoch())};
}

Record ReadJoin(schema::Join::Reader from) {
  auto member = ReadMember(from.getMember());
  if (!member)
    return UnknownRecord{};
  return Join{std::move(*member), MembershipVersion(from.getBaseVersion())};
}

Record ReadLeave(schema::Leave::Reader from) {
  const auto role = ReadRole(from.getRole());
  if (!role)
    return UnknownRecord{};
  return Leave{ProcessId(ReadText(from.getProcess())),
               RegionId(ReadText(from.getRegion())), *role,
               MembershipVersion(from.getBaseVersion())};
}

Record ReadMembersSettled(schema::MembersSettled::Reader from) {
  const auto role = ReadRole(from.getRole());
  if (!role)
    return UnknownRecord{};
  return MembersSettled{RegionId(ReadText(from.getRegion())), *role,
                        MembershipVersion(from.getVersion())};
}

Record ReadVmStateSetRecord(schema::VmStateSet::Reader from) {
  auto state = ReadVmStateSet(from);
  if (!state)
    return UnknownRecord{};
  return std::move(*state);
}

Record ReadJobPlaced(schema::JobPlaced::Reader from) {
  return JobPlaced{JobId(ReadText(from.getJob())),
                   DataCentreId(ReadText(from.getDataCentre())),
                   Epoch(from.getEpoch())};
}

Record ReadJobReleased(schema::JobReleased::Reader from) {
  JobReleased record{JobId(ReadText(from.getJob())),
                     DataCentreId(ReadText(from.getDataCentre())),
                     Epoch(from.getEpoch()),
                     {}};
  for (schema::TaskProgress::Reader progress : from.getProgress())
    record.progress.push_back(ReadTaskProgress(progress));
  return record;
}

Record ReadTaskOutcomes(schema::TaskOutcomes::Reader from) {
  TaskOutcomes record{
      DataCentreId(ReadText(from.getDataCentre())), Epoch(from.getEpoch()), {}};
  for (schema::TaskOutcome::Reader outcome : from.getOutcomes()) {
    const auto result = ReadTaskResult(outcome.getResult());
    if (!result)
      return UnknownRecord{};
    record.outcomes.push_back(
        {TaskId{JobId(ReadText(outcome.getJob())), outcome.getIndex()},
         Attempt(outcome.getAttempt()), *result,
         ReadText(outcome.getCheckpoint())});
  }
  return record;
}

Record ReadSnapshot(schema::Snapshot::Reader from) {
  const auto bytes = from.getState().asChars();
  return Snapshot{LogOffset(from.getThrough()),
                  std::string(bytes.begin(), bytes.size())};
}

Record ReadJobEnded(schema::JobEnded::Reader from) {
  return JobEnded{JobId(ReadText(from.getJob())),
                  DataCentreId(ReadText(from.getDataCentre())),
                  Epoch(from.getEpoch()), from.getDone(), from.getFailed()};
}

}  // namespace

std::string ReadText(capnp::Text::Reader from) {
  return {from.begin(), from.size()};
}

std::optional<Role> ReadRole(schema::Role from) {
  switch (from) {
    case schema::Role::ENTRY:
      return Role::kEntry;
    case schema::Role::PLACER:
      return Role::kPlacer;
  }
  return std::nullopt;
}

std::optional<ResourceId> ReadResourceId(schema::ResourceId::Reader from) {
  switch (from.which()) {
    case schema::ResourceId::TARGET:
      return TargetId(ReadText(from.getTarget()));
    case schema::ResourceId::DATA_CENTRE:
      return DataCentreId(ReadText(from.getDataCentre()));
  }
  return std::nullopt;
}

std::optional<Member> ReadMember(schema::Member::Reader from) {
  const auto role = ReadRole(from.getRole());
  if (!role)
    return std::nullopt;
  return Member{ProcessId(ReadText(from.getProcess())),
                VmId(ReadText(from.getVm())),
                RegionId(ReadText(from.getRegion())), *role,
                Endpoint{ReadText(from.getAddress()), from.getPort()}};
}

std::optional<VmStateSet> ReadVmStateSet(schema::VmStateSet::Reader from) {
  const auto state = ReadVmServiceState(from.getState());
  if (!state)
    return std::nullopt;
  return VmStateSet{VmId(ReadText(from.getVm())), *state,
                    ReadText(from.getCause())};
}

JobSpec ReadJobSpec(schema::JobSpec::Reader from) {
  const auto resources = from.getResources();
  JobSpec spec;
  spec.id = JobId(ReadText(from.getId()));
  spec.team = TeamId(ReadText(from.getTeam()));
  spec.kind = TaskKind(ReadText(from.getKind()));
  spec.task_count = from.getTaskCount();
  spec.resources = {MilliCores(resources.getCpuMillis()),
                    Mebibytes(resources.getMemoryMib()),
                    Accelerators(resources.getAccelerators())};
  spec.run_time = Duration(from.getRunTimeMicros());
  spec.urgent = from.getUrgent();
  spec.latency_critical = from.getLatencyCritical();
  for (capnp::Text::Reader id : from.getDataCentres())
    spec.data_centres.emplace_back(ReadText(id));
  return spec;
}

TaskProgress ReadTaskProgress(schema::TaskProgress::Reader from) {
  return TaskProgress{.index = from.getIndex(),
                      .attempt = Attempt(from.getAttempt()),
                      .finished = from.getFinished(),
                      .failed = from.getFailed(),
                      .failures = from.getFailures(),
                      .checkpoint = ReadText(from.getCheckpoint())};
}

Record ReadRecord(schema::Record::Reader from) {
  switch (from.which()) {
    case schema::Record::UNKNOWN:
      return UnknownRecord{};
    case schema::Record::CONFIG_PUBLISHED:
      return ReadConfigPublished(from.getConfigPublished());
    case schema::Record::CLAIM:
      return ReadClaim(from.getClaim());
    case schema::Record::RELEASE:
      return ReadRelease(from.getRelease());
    case schema::Record::JOIN:
      return ReadJoin(from.getJoin());
    case schema::Record::LEAVE:
      return ReadLeave(from.getLeave());
    case schema::Record::MEMBERS_SETTLED:
      return ReadMembersSettled(from.getMembersSettled());
    case schema::Record::VM_STATE_SET:
      return ReadVmStateSetRecord(from.getVmStateSet());
    case schema::Record::JOB_SUBMITTED:
      return JobSubmitted{ReadJobSpec(from.getJobSubmitted())};
    case schema::Record::JOB_CANCELLED:
      return JobCancelled{JobId(ReadText(from.getJobCancelled()))};
    case schema::Record::JOB_PLACED:
      return ReadJobPlaced(from.getJobPlaced());
    case schema::Record::JOB_RELEASED:
      return ReadJobReleased(from.getJobReleased());
    case schema::Record::TASK_OUTCOMES:
      return ReadTaskOutcomes(from.getTaskOutcomes());
    case schema::Record::SNAPSHOT:
      return ReadSnapshot(from.getSnapshot());
    case schema::Record::JOB_ENDED:
      return ReadJobEnded(from.getJobEnded());
  }
  return UnknownRecord{};
}

}  // namespace cowslipmast
