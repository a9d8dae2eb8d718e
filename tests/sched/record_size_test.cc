// The store refuses a record of more than 256 KB for good. An owner sends its
// append again and again, so that one such record stops its cell.

#include <catch2/catch.hpp>

#include "src/sched/interference_codec.h"
#include "src/sched/jobs.h"
#include "src/sched/shared_interference.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxRecordBytes = 262144;

// A job whose tasks have all been observed together with all other images.
State MakeStateWithImages(int latency_critical, int best_effort) {
  State state;
  JobDefinition job = MakeJob("a", "q", {});
  std::vector<BestEffortShare> shares;
  for (int i = 0; i < best_effort; ++i) {
    StepSpec step = MakeStep(1, 1, 1000, 1);
    step.best_effort = true;
    step.image = ImageId("i-" + std::to_string(100000000 + i));
    job.steps.push_back(step);
    shares.push_back({BestEffortImageIndex(state.interference, step.image),
                      0.01 * (i % 7 + 1)});
  }
  for (int i = 0; i < latency_critical; ++i) {
    StepSpec step = MakeLongRunningStep(1, 1);
    step.image = ImageId("i-" + std::to_string(200000000 + i));
    job.steps.push_back(step);
    const ImageIndex image =
        LatencyCriticalImageIndex(state.interference, step.image);
    ObserveUtilisationChange(state.interference, image, 0.31, 0.43, shares);
  }
  AddJobWithoutIterations(state, job, TimePoint(), WallTime());
  return state;
}

double Estimate(const State& state,
                const ImageId& latency_critical,
                const ImageId& best_effort) {
  const InterferenceModel& model = state.interference;
  return EstimateInterference(model,
                              model.latency_critical_index.at(latency_critical),
                              model.best_effort_index.at(best_effort));
}

TEST_CASE("the record of what was learned of many images", "[sched]") {
  // The large deployment has 16 latency-critical and 30 best-effort images.
  for (const auto& [latency_critical, best_effort] :
       {std::pair{5, 9}, std::pair{16, 30}, std::pair{32, 60}}) {
    const State state = MakeStateWithImages(latency_critical, best_effort);
    const std::string record = EncodeInterference(state);
    CAPTURE(latency_critical, record.size());
    CHECK(record.size() < kMaxRecordBytes);
    // A later owner knows the same of each pair.
    State later;
    CHECK(ApplyInterference(later, record));
    const ImageId serving("i-200000000");
    for (int i = 0; i < best_effort; ++i) {
      const ImageId image("i-" + std::to_string(100000000 + i));
      CHECK(Estimate(later, serving, image) ==
            Approx(Estimate(state, serving, image)));
    }
  }
}

// Callers name as many images as they like.
TEST_CASE("what is learned of images has no bound", "[sched]") {
  const std::string suffix(GENERATE(30U, 3000U), 'x');
  State state;
  JobDefinition job = MakeJob("a", "q", {});
  std::vector<BestEffortShare> shares;
  for (int i = 0; i < 300; ++i) {
    StepSpec step = MakeStep(1, 1, 1000, 1);
    step.best_effort = i % 2 == 0;
    step.image = ImageId("i-" + std::to_string(i) + suffix);
    job.steps.push_back(step);
    if (step.best_effort) {
      AddShare(shares, BestEffortImageIndex(state.interference, step.image),
               0.001);
      continue;
    }
    const ImageIndex image =
        LatencyCriticalImageIndex(state.interference, step.image);
    ObserveUtilisationChange(state.interference, image, 0.31, 0.43, shares);
  }
  AddJobWithoutIterations(state, job, TimePoint(), WallTime());

  const std::string record = EncodeInterference(state);
  CHECK(record.size() < kMaxRecordBytes);
  State later;
  CHECK(ApplyInterference(later, record));
  // An answer to other cells is as large as a record at most.
  CHECK(EncodeOwnEstimates(state.interference).size() < kMaxRecordBytes);
  // A model for each of 100 images, of all pairs of 100 others: 8 MB.
  size_t coefficients = 0;
  for (const LatencyCriticalModel& model :
       state.interference.latency_critical_models)
    coefficients += model.covariance.size();
  CHECK(coefficients <= 1000000);
}

TEST_CASE("the progress of a job with large checkpoints", "[sched]") {
  // What workers report is bounded by no limit of the platform.
  constexpr uint32_t tasks = 400;
  SimulatedCell cell;
  cell.AddWorkers(10, 64, 256000, 1000000000);
  cell.SetQueue("q", MakePolicy(0, 2));
  cell.Run(milliseconds(100));
  JobTransfer transfer{
      .job = MakeJob("5c0e7a21d94b36f8", "q", {MakeLongRunningStep(tasks, 1)}),
      .from = CellId(1),
      .hop = 1,
      .tasks = {}};
  for (uint32_t i = 0; i < tasks; ++i)
    transfer.tasks.push_back({.step = 0,
                              .index = i,
                              .run = RunNumber(3),
                              .failures = 0,
                              .checkpoint = std::string(1000, 'c'),
                              .waited = Duration(0),
                              .crashes = {}});
  cell.scheduler().AddTransfer(transfer, cell.now(), WallTime());
  const Plan plan = cell.scheduler().MakePlan(cell.now(), WallTime());
  CHECK(plan.starts.size() == tasks);
  for (const ProgressRecord& record : plan.records)
    CHECK(record.value.size() < kMaxRecordBytes);
  CHECK(EncodeTransfer(transfer).size() < kMaxRecordBytes);
}

TEST_CASE("the progress of the widest job fits into a record", "[sched]") {
  // `DecodeSubmission` refuses a job with more tasks.
  constexpr uint32_t tasks = 4000;
  SimulatedCell cell;
  cell.AddWorkers(100, 64, 256000, 1000000000);
  cell.SetQueue("q", MakePolicy(0, 2));
  cell.Run(milliseconds(100));
  JobTransfer transfer{
      .job = MakeJob("5c0e7a21d94b36f8", "q", {MakeLongRunningStep(tasks, 1)}),
      .from = CellId(1),
      .hop = 1,
      .tasks = {}};
  for (uint32_t i = 0; i < tasks; ++i)
    transfer.tasks.push_back({.step = 0,
                              .index = i,
                              .run = RunNumber(300),
                              .failures = 300,
                              .checkpoint = "00000bb87a21d94b",
                              .waited = Duration(0),
                              .crashes = {3, 2}});
  cell.scheduler().AddTransfer(transfer, cell.now(), WallTime());
  const Plan plan = cell.scheduler().MakePlan(cell.now(), WallTime());
  CHECK(plan.starts.size() == tasks);
  for (const ProgressRecord& record : plan.records)
    CHECK(record.value.size() < kMaxRecordBytes);
  CHECK(EncodeTransfer(transfer).size() < kMaxRecordBytes);
}

}  // namespace
}  // namespace cowslipmast::sched
