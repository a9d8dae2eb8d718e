// Estimates of interference that a cell learns from its listings.

#include <catch2/catch.hpp>

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "src/sched/interference_model.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec MakeLatencyCriticalStep(uint32_t count, const char* image) {
  StepSpec step = MakeLongRunningStep(count, 3);
  step.image = ImageId(image);
  step.latency_target = milliseconds(18);
  return step;
}

StepSpec MakeBestEffortStep(const char* image) {
  StepSpec step = MakeStep(8, 2, 1000, 2);
  step.best_effort = true;
  step.image = ImageId(image);
  return step;
}

// Latency-critical tasks of two images on all workers, whose own utilisation
// changes in waves.
SimulatedCell MakeCell() {
  SimulatedCell cell;
  cell.AddWorkers(8, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 4));
  cell.SetQueue("best-effort", MakePolicy(2, 4));
  cell.own_utilisation_of = [](const TaskName& task, double t) {
    return 0.42 + 0.2 * std::sin(t * 2 * 3.14159 / 14 + task.index * 1.3);
  };
  cell.interference_of = [](const std::string&, const std::string&) {
    return 0.0;
  };
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("a", "critical", {MakeLatencyCriticalStep(16, "a")}));
  cell.Submit(MakeJob("b", "critical", {MakeLatencyCriticalStep(16, "b")}));
  cell.Run(seconds(1));
  return cell;
}

double EstimateIn(SimulatedCell& cell,
                  const std::string& latency_critical,
                  const std::string& best_effort) {
  const json state = json::parse(cell.scheduler().Dump(cell.now()));
  return state.at("pressures").at(latency_critical).at(best_effort);
}

TEST_CASE("a new owner", "[sched]") {
  SimulatedCell cell = MakeCell();
  // Keeps an unfinished job of the image, so that its estimates are stored.
  const auto submit = [&cell](int i) {
    cell.Submit(MakeJob("f" + std::to_string(i), "best-effort",
                        {MakeBestEffortStep("harmless")}));
    cell.Run(seconds(1));
  };
  for (int i = 0; i < 60; ++i)
    submit(i);
  REQUIRE(EstimateIn(cell, "a", "harmless") == 0.0);
  REQUIRE(EstimateIn(cell, "b", "harmless") == 0.0);

  SECTION("takes no utilisation that it finds for a change of it") {
    // Guards against harmless images that interfere with every
    // latency-critical image in the estimates after each change of owner, so
    // that their tasks find no worker.
    cell.ReplaceOwner();
    cell.Run(milliseconds(100));
    CHECK(EstimateIn(cell, "a", "harmless") == 0.0);
    CHECK(EstimateIn(cell, "b", "harmless") == 0.0);
  }
}

// Changes the stored coefficients of all pairs of images to `mean`, with little
// variance; returns other records as they are.
std::string SetStoredEstimates(const std::string& record, double mean) {
  json stored = json::from_cbor(record, true, false);
  if (!stored.is_object() || !stored.contains("a"))
    return record;
  for (auto& [image, model] : stored.items()) {
    model["m"] = std::vector<double>(model["m"].size(), mean);
    const size_t size = model["m"].size();
    model["c"] = std::vector<double>(size * size, 0.0);
    for (size_t i = 0; i < size; ++i)
      model["c"][i * size + i] = 0.02;
  }
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

TEST_CASE("a harmless image whose estimates are too high", "[sched]") {
  SimulatedCell cell = MakeCell();
  // No worker has fewer than five latency-critical tasks.
  cell.Submit(MakeJob("a2", "critical", {MakeLatencyCriticalStep(4, "a")}));
  cell.Submit(MakeJob("b2", "critical", {MakeLatencyCriticalStep(4, "b")}));
  cell.Run(seconds(3));
  int submitted = 0;
  const auto submit_for = [&](int count) {
    for (int i = 0; i < count; ++i) {
      cell.Submit(MakeJob("f" + std::to_string(submitted++), "best-effort",
                          {MakeBestEffortStep("harmless")}));
      cell.Run(seconds(2));
    }
  };
  submit_for(15);
  REQUIRE(EstimateIn(cell, "a", "harmless") == 0.0);
  // Keeps the image in the store while none of its tasks runs.
  StepSpec without_worker = MakeBestEffortStep("harmless");
  without_worker.label = "none";
  cell.Submit(MakeJob("waiting", "best-effort", {without_worker}));
  cell.Run(seconds(10));
  cell.rewrite_stored_value = [](const std::string& record) {
    return SetStoredEstimates(record, 5);
  };
  cell.ReplaceOwner();
  cell.Run(seconds(1));
  REQUIRE(EstimateIn(cell, "a", "harmless") > 4);

  SECTION("is placed again, so that they fall") {
    // Guards against estimates that stay too high because the image is never
    // placed beside latency-critical tasks.
    const int first = submitted;
    submit_for(100);
    int ended = 0;
    for (int i = first; i < submitted; ++i)
      ended += cell.EndTimeOf("f" + std::to_string(i)) ? 1 : 0;
    INFO("ended " << ended << " of 100, over the targets for "
                  << cell.observations().total_over_target_s << " s");
    CHECK(EstimateIn(cell, "a", "harmless") == 0.0);
    CHECK(EstimateIn(cell, "b", "harmless") == 0.0);
    CHECK(ended >= 95);
  }
}

TEST_CASE("a best-effort image that has not run for long", "[sched]") {
  InterferenceModel model;
  const ImageIndex serving =
      LatencyCriticalImageIndex(model, ImageId("serving"));
  const ImageIndex harmless = BestEffortImageIndex(model, ImageId("harmless"));
  const ImageIndex other = BestEffortImageIndex(model, ImageId("other"));
  for (int i = 0; i < 200; ++i)
    ObserveUtilisationChange(model, serving, 0.3, 0.3, {{harmless, 0.1}});
  REQUIRE(EstimateInterference(model, serving, harmless) == 0.0);

  SECTION("is no less certain than one that has never run") {
    // Guards against a harmless image whose tasks find no worker after a pause.
    for (int i = 0; i < 200'000; ++i)
      ObserveUtilisationChange(model, serving, 0.3, 0.5, {{other, 0.1}});
    CHECK(EstimateInterference(model, serving, harmless) == 0.0);
    CHECK(EstimateInterference(model, serving, other) == Approx(2).margin(0.1));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
