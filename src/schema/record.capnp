@0xd2a1b6f0c3e84b57;
# Records of the platform's log. Fields are only ever added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cowslipmast::schema");

enum Role { entry @0; placer @1; }
enum VmServiceState { inService @0; draining @1; quarantined @2; }
enum TaskResult { done @0; failed @1; evicted @2; lost @3; }

struct Resources {
  cpuMillis @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct ResourceId {
  union {
    target @0 :Text;
    dataCentre @1 :Text;
  }
}

struct ConfigPublished {
  baseVersion @0 :UInt64;
  text @1 :Text;
  author @2 :Text;
}

struct Claim {
  resource @0 :ResourceId;
  process @1 :Text;
  baseEpoch @2 :UInt64;
}

struct Release {
  resource @0 :ResourceId;
  epoch @1 :UInt64;
}

struct Member {
  process @0 :Text;
  vm @1 :Text;
  region @2 :Text;
  role @3 :Role;
  address @4 :Text;
  port @5 :UInt16;
}

struct Join {
  member @0 :Member;
  baseVersion @1 :UInt64;
}

struct Leave {
  process @0 :Text;
  region @1 :Text;
  role @2 :Role;
  baseVersion @3 :UInt64;
}

struct MembersSettled {
  region @0 :Text;
  role @1 :Role;
  version @2 :UInt64;
}

struct VmStateSet {
  vm @0 :Text;
  state @1 :VmServiceState;
  cause @2 :Text;
}

struct JobSpec {
  id @0 :Text;
  team @1 :Text;
  kind @2 :Text;
  taskCount @3 :UInt32;
  resources @4 :Resources;
  runTimeMicros @5 :Int64;
  urgent @6 :Bool;
  latencyCritical @7 :Bool;
  dataCentres @8 :List(Text);
}

struct JobPlaced {
  job @0 :Text;
  dataCentre @1 :Text;
  epoch @2 :UInt64;
}

struct TaskProgress {
  index @0 :UInt32;
  attempt @1 :UInt64;
  finished @2 :Bool;
  failed @3 :Bool;
  failures @4 :UInt32;
  checkpoint @5 :Text;
}

struct JobReleased {
  job @0 :Text;
  dataCentre @1 :Text;
  epoch @2 :UInt64;
  progress @3 :List(TaskProgress);
}

struct JobEnded {
  job @0 :Text;
  dataCentre @1 :Text;
  epoch @2 :UInt64;
  done @3 :UInt32;
  failed @4 :UInt32;
}

struct TaskOutcome {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt64;
  result @3 :TaskResult;
  checkpoint @4 :Text;
}

struct TaskOutcomes {
  dataCentre @0 :Text;
  epoch @1 :UInt64;
  outcomes @2 :List(TaskOutcome);
}

struct Snapshot {
  through @0 :UInt64;
  state @1 :Data;
}

struct Record {
  union {
    unknown @0 :Void;
    configPublished @1 :ConfigPublished;
    claim @2 :Claim;
    release @3 :Release;
    join @4 :Join;
    leave @5 :Leave;
    membersSettled @6 :MembersSettled;
    vmStateSet @7 :VmStateSet;
    jobSubmitted @8 :JobSpec;
    jobCancelled @9 :Text;
    jobPlaced @10 :JobPlaced;
    jobReleased @11 :JobReleased;
    taskOutcomes @12 :TaskOutcomes;
    snapshot @13 :Snapshot;
    jobEnded @14 :JobEnded;
  }
}

struct Batch {
  # Identifies entries of this system; other entries of the stream are skipped.
  magic @0 :UInt64;
  version @1 :UInt32;
  producerHigh @2 :UInt64;
  producerLow @3 :UInt64;
  sequence @4 :UInt64;
  records @5 :List(Record);
}

# State of a fold, as stored in Snapshot.state.

struct Ownership {
  resource @0 :ResourceId;
  owner @1 :Text;  # empty if there is none
  epoch @2 :UInt64;
  since @3 :UInt64;
  takenOver @4 :Bool;
}

struct MemberTable {
  region @0 :Text;
  role @1 :Role;
  version @2 :UInt64;
  settled @3 :UInt64;
  changedAt @4 :UInt64;
  members @5 :List(Member);
  previous @6 :List(Member);
}

struct JobEntry {
  spec @0 :JobSpec;
  cancelled @1 :Bool;
  dataCentre @2 :Text;  # empty if the job is not placed
  progress @3 :List(TaskProgress);
}

struct EndedJob {
  id @0 :Text;
  done @1 :UInt32;
  failed @2 :UInt32;
  cancelled @3 :Bool;
}

struct ProducerEntry {
  high @0 :UInt64;
  low @1 :UInt64;
  sequence @2 :UInt64;
  lastOffset @3 :UInt64;
}

struct ControlSnapshot {
  configVersion @0 :UInt64;
  configText @1 :Text;
  ownership @2 :List(Ownership);
  members @3 :List(MemberTable);
  vmStates @4 :List(VmStateSet);
  jobs @5 :List(JobEntry);
  producers @6 :List(ProducerEntry);
  endedJobs @7 :List(EndedJob);  # in log order
}

struct JobProgress {
  job @0 :Text;
  tasks @1 :List(TaskProgress);
}

struct DataCentreSnapshot {
  jobs @0 :List(JobProgress);
  producers @1 :List(ProducerEntry);
  epoch @2 :UInt64;  # highest epoch of an accepted record
}
