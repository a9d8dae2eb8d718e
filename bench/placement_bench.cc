#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bench/heap_usage.h"
#include "cowslipmast/placement.h"
#include "src/daemon/chart_files.h"

namespace cowslipmast {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr uint32_t kTasksOfJob = 100;
constexpr int kMaxSetupTicks = 400;
const DataCentreId kDataCentre("bulacan");
const TeamId kTeam("orders");
const Resources kWorkerSize{MilliCores(64000), Mebibytes(250000),
                            Accelerators(0)};

// State of a data centre whose workers accept and run every task.
struct BenchSetup {
  TimePoint now{std::chrono::hours(1)};
  ControlState control;
  DataCentreState data_centre;
  std::vector<VmInfo> vms;
  std::map<VmId, std::vector<WorkerLease>> leases;
  PlacementState placement;
  std::vector<WorkerCommand> unanswered;
};

PlacementView MakeView(const BenchSetup& setup) {
  return {.now = setup.now,
          .wall_now = WallTime(setup.now.time_since_epoch()),
          .permitted = true,
          .draining = false,
          .proof = setup.now,
          .outcome_proof = setup.now,
          .control = setup.control,
          .data_centre = setup.data_centre,
          .vms = setup.vms};
}

std::shared_ptr<const PlacementCharts> MakeCharts() {
  ChartFileError file_error;
  auto charts = LoadCharts(COWSLIPMAST_CHARTS_DIR, file_error);
  PlacementChartError error;
  return charts
             ? MakePlacementCharts((*charts)["task"], (*charts)["lease"], error)
             : nullptr;
}

BenchSetup MakeWorld(int64_t workers) {
  BenchSetup setup;
  setup.control.config.data_centres[kDataCentre] = {kDataCentre,
                                                    RegionId("luzon")};
  setup.control.config.teams[kTeam] = {kTeam, kWorkerSize};
  for (int64_t i = 0; i < workers; ++i) {
    VmInfo vm;
    vm.id = VmId("bulacan-worker-" + std::to_string(i));
    vm.data_centre = kDataCentre;
    vm.resources = kWorkerSize;
    setup.vms.push_back(vm);
  }
  const ResourceId resource(kDataCentre);
  setup.control.ownership[resource].owner = ProcessId("vm-0/placer/0");
  setup.control.ownership[resource].epoch = Epoch(1);
  setup.placement =
      MakePlacement(kDataCentre, Epoch(1), {}, MakeCharts(), setup.now);
  return setup;
}

void AddJobs(BenchSetup& setup, int64_t tasks, const std::string& name) {
  for (int64_t left = tasks; left > 0; left -= kTasksOfJob) {
    JobSpec spec;
    spec.id = JobId(name + "-" + std::to_string(left));
    spec.team = kTeam;
    spec.task_count = static_cast<uint32_t>(
        std::min(left, static_cast<int64_t>(kTasksOfJob)));
    spec.resources = {MilliCores(2500), Mebibytes(8192), Accelerators(0)};
    spec.run_time = std::chrono::hours(10);
    JobEntry& job = setup.control.jobs[spec.id];
    job.spec = spec;
    job.data_centre = kDataCentre;
  }
  setup.control.next = setup.control.next.Next();
}

WorkerLease MakeLease(const StartCommand& start) {
  WorkerLease lease;
  lease.task = start.task;
  lease.attempt = start.attempt;
  lease.epoch = Epoch(1);
  lease.resources = start.resources;
  lease.usage = start.resources;
  lease.expires_in = kMaxLeaseDuration;
  return lease;
}

WorkerReply Answer(BenchSetup& setup, const WorkerCommand& command) {
  WorkerReply reply;
  reply.kind = WorkerReplyKind::kOk;
  auto& leases = setup.leases[command.worker];
  if (const auto* start = std::get_if<StartCommand>(&command.action))
    leases.push_back(MakeLease(*start));
  if (std::holds_alternative<ListCommand>(command.action))
    reply.report = WorkerReport{Epoch(1), kWorkerSize, leases, {}};
  return reply;
}

void AnswerAll(BenchSetup& setup) {
  const auto commands = std::move(setup.unanswered);
  setup.unanswered.clear();
  for (const WorkerCommand& command : commands) {
    const WorkerReply reply = Answer(setup, command);
    ApplyReply(setup.placement, MakeView(setup), command, reply);
  }
}

void Tick(BenchSetup& setup) {
  setup.now += kTick;
  auto decision = DecidePlacement(setup.placement, MakeView(setup));
  setup.unanswered = std::move(decision.commands);
  AnswerAll(setup);
}

bool RunTasks(BenchSetup& setup, int64_t tasks) {
  AddJobs(setup, tasks, "job");
  for (int i = 0; i < kMaxSetupTicks; ++i) {
    Tick(setup);
    if (setup.placement.counters.starts >= static_cast<uint64_t>(tasks))
      return true;
  }
  return false;
}

using Clock = std::chrono::steady_clock;

// Measures one decision every 100 ms, with `range(0)` workers of `range(1)`
// tasks each and nothing to start. Replies are applied outside the measured
// time.
void DecideSteadyBench(benchmark::State& state) {
  BenchSetup setup = MakeWorld(state.range(0));
  if (!RunTasks(setup, state.range(0) * state.range(1))) {
    state.SkipWithError("the tasks did not start");
    return;
  }
  state.counters["heap_bytes"] =
      static_cast<double>(HeapBytesOfCopy(setup.placement));
  size_t commands = 0;
  for (auto _ : state) {
    setup.now += kTick;
    const auto start = Clock::now();
    auto decision = DecidePlacement(setup.placement, MakeView(setup));
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    state.SetIterationTime(elapsed.count());
    commands += decision.commands.size();
    setup.unanswered = std::move(decision.commands);
    AnswerAll(setup);
  }
  state.counters["commands"] = benchmark::Counter(
      static_cast<double>(commands), benchmark::Counter::kAvgIterations);
}
BENCHMARK(DecideSteadyBench)
    ->UseManualTime()
    ->Args({65, 0})
    ->Args({65, 20})
    ->Args({1100, 0})
    ->Args({1100, 20});

// Measures one decision that starts up to `range(1)` tasks on `range(0)`
// workers.
void DecideStartsBench(benchmark::State& state) {
  BenchSetup setup = MakeWorld(state.range(0));
  if (!RunTasks(setup, state.range(0))) {
    state.SkipWithError("the tasks did not start");
    return;
  }
  AddJobs(setup, state.range(1), "next");
  const PlacementState before = setup.placement;
  size_t starts = 0;
  setup.now += kTick;
  for (auto _ : state) {
    setup.placement = before;
    const auto start = Clock::now();
    const auto decision = DecidePlacement(setup.placement, MakeView(setup));
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    state.SetIterationTime(elapsed.count());
    starts = setup.placement.counters.starts_sent - before.counters.starts_sent;
  }
  state.counters["starts"] = static_cast<double>(starts);
}
BENCHMARK(DecideStartsBench)
    ->UseManualTime()
    ->Args({65, 1})
    ->Args({65, 53})
    ->Args({1100, 1})
    ->Args({1100, 53});

// Measures applying the list of a worker that runs `range` tasks.
void ApplyListBench(benchmark::State& state) {
  BenchSetup setup = MakeWorld(1);
  if (!RunTasks(setup, state.range(0))) {
    state.SkipWithError("the tasks did not start");
    return;
  }
  for (auto _ : state) {
    state.PauseTiming();
    setup.now += kTick;
    const WorkerCommand command{setup.vms[0].id, Epoch(1), setup.now,
                                ListCommand()};
    const WorkerReply reply = Answer(setup, command);
    state.ResumeTiming();
    ApplyReply(setup.placement, MakeView(setup), command, reply);
  }
}
BENCHMARK(ApplyListBench)->Arg(1)->Arg(20);

}  // namespace
}  // namespace cowslipmast
