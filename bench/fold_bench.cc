#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "bench/heap_usage.h"
#include "cowslipmast/codec.h"
#include "cowslipmast/fold.h"
#include "cowslipmast/ownership.h"

namespace cowslipmast {
namespace {

JobSpec MakeJob(int64_t number) {
  JobSpec spec;
  spec.id = JobId("job-" + std::to_string(number));
  spec.team = TeamId("team-" + std::to_string(number % 57));
  spec.kind = TaskKind("kind-" + std::to_string(number % 20));
  spec.task_count = 100;
  spec.resources = {MilliCores(1000), Mebibytes(2048), Accelerators(0)};
  spec.run_time = std::chrono::seconds(60);
  return spec;
}

TargetId MakeTarget(int64_t number) {
  return TargetId("target-" + std::to_string(number));
}

std::string EncodeOne(uint64_t sequence, Record record) {
  return EncodeBatch({.producer = {1, 2},
                      .sequence = BatchSequence(sequence),
                      .records = {std::move(record)}});
}

std::unique_ptr<ControlFold> MakeFoldWithJobs(int64_t count) {
  auto fold = ControlFold::Make();
  for (int64_t i = 0; i < count; ++i) {
    fold->Apply(fold->state().next, EncodeOne(static_cast<uint64_t>(i + 1),
                                              JobSubmitted{MakeJob(i)}));
  }
  return fold;
}

void EncodeJobBench(benchmark::State& state) {
  const Record record = JobSubmitted{MakeJob(1)};
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string entry = EncodeOne(1, record);
    bytes = entry.size();
    benchmark::DoNotOptimize(entry.data());
  }
  state.counters["entry_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeJobBench);

void EncodeOutcomesBench(benchmark::State& state) {
  TaskOutcomes outcomes;
  outcomes.data_centre = DataCentreId("bulacan");
  for (uint32_t i = 0; i < state.range(0); ++i)
    outcomes.outcomes.push_back({{JobId("job-1"), i}, Attempt(1), {}, ""});
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string entry = EncodeOne(1, outcomes);
    bytes = entry.size();
    benchmark::DoNotOptimize(entry.data());
  }
  state.counters["entry_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeOutcomesBench)->Arg(1)->Arg(10)->Arg(100);

// Measures applying one more record to a state with `range` jobs.
void FoldJobBench(benchmark::State& state) {
  const auto fold = MakeFoldWithJobs(state.range(0));
  uint64_t sequence = static_cast<uint64_t>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    ++sequence;
    const std::string entry = EncodeOne(sequence, JobCancelled{JobId("job-0")});
    state.ResumeTiming();
    fold->Apply(fold->state().next, entry);
  }
}
BENCHMARK(FoldJobBench)->Arg(1000)->Arg(8000);

void DigestBench(benchmark::State& state) {
  const auto fold = MakeFoldWithJobs(state.range(0));
  uint64_t sequence = static_cast<uint64_t>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    ++sequence;
    fold->Apply(fold->state().next,
                EncodeOne(sequence, JobCancelled{JobId("job-0")}));
    state.ResumeTiming();
    benchmark::DoNotOptimize(fold->Digest());
  }
}
BENCHMARK(DigestBench)->Arg(1000)->Arg(8000);

void SnapshotBench(benchmark::State& state) {
  const auto fold = MakeFoldWithJobs(state.range(0));
  state.counters["heap_bytes"] =
      static_cast<double>(HeapBytesOfCopy(fold->state()));
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string snapshot = fold->EncodeSnapshot();
    bytes = snapshot.size();
    benchmark::DoNotOptimize(snapshot.data());
  }
  state.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SnapshotBench)->Arg(1000)->Arg(8000);

// Measures a decision of one of 5 members that share `range` targets.
void DecideOwnershipBench(benchmark::State& state) {
  ControlState control;
  OwnershipView view;
  view.self = ProcessId("vm-0/entry/0");
  view.now = TimePoint(std::chrono::hours(1));
  view.proof = view.now;
  MemberTable& table = control.members[{view.region, view.role}];
  for (int i = 0; i < 5; ++i) {
    Member member;
    member.vm = VmId("vm-" + std::to_string(i));
    member.process = ProcessId(member.vm.value() + "/entry/0");
    table.members[member.process] = member;
    view.listed_vms.insert(member.vm);
    if (member.process != view.self)
      view.peers.push_back({member.process, LogOffset(0), view.now, false});
  }
  table.previous = table.members;
  for (int64_t i = 0; i < state.range(0); ++i) {
    const ResourceId resource = MakeTarget(i);
    view.resources.insert(resource);
    control.ownership[resource].owner =
        ProcessId("vm-" + std::to_string(i % 5) + "/entry/0");
  }
  OwnershipMemory memory;
  for (auto _ : state)
    benchmark::DoNotOptimize(DecideOwnership(control, view, memory));
}
BENCHMARK(DecideOwnershipBench)->Arg(50)->Arg(400)->Arg(1600);

}  // namespace
}  // namespace cowslipmast
