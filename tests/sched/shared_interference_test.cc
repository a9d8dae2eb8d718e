// Combines what several cells have learned of interference between images.
// Guards against cells that each learn every pair anew: on a quiet day of the
// large deployment batch jobs took twice as long as on one cell.

#include <catch2/catch.hpp>

#include "src/sched/shared_interference.h"

namespace cowslipmast::sched {
namespace {

const ImageId kServing("serving");
const ImageId kHarmful("harmful");
const ImageId kHarmless("harmless");

// Observes changes of a best-effort image's share; its coefficient is `truth`.
void Observe(InterferenceModel& model,
             const ImageId& best_effort,
             double truth,
             int observations) {
  const ImageIndex serving = LatencyCriticalImageIndex(model, kServing);
  const ImageIndex image = BestEffortImageIndex(model, best_effort);
  for (int i = 0; i < observations; ++i)
    ObserveUtilisationChange(model, serving, 0.3, 0.3 + truth * 0.1,
                             {{image, 0.1}});
}

double Estimate(InterferenceModel& model, const ImageId& best_effort) {
  const ImageIndex serving = LatencyCriticalImageIndex(model, kServing);
  return EstimateInterference(model, serving,
                              BestEffortImageIndex(model, best_effort));
}

TEST_CASE("a cell that has seen nothing itself", "[sched]") {
  InterferenceModel first;
  Observe(first, kHarmful, 3.0, 30);
  InterferenceModel second;
  Observe(second, kHarmless, 0.0, 30);
  InterferenceModel fresh;
  LatencyCriticalImageIndex(fresh, kServing);

  SECTION("knows what its peers have learned") {
    CHECK(SetPeerEstimates(fresh, {EncodeOwnEstimates(first),
                                   EncodeOwnEstimates(second)}) == 0);
    CHECK(Estimate(fresh, kHarmful) > 2.0);
    CHECK(Estimate(fresh, kHarmless) == 0.0);
  }
  SECTION("passes only on what it has learned itself") {
    SetPeerEstimates(fresh, {EncodeOwnEstimates(first)});
    InterferenceModel other;
    LatencyCriticalImageIndex(other, kServing);
    SetPeerEstimates(other, {EncodeOwnEstimates(fresh)});
    CHECK(Estimate(other, kHarmful) < 1.0);
  }
  SECTION("forgets a peer that is not there any more") {
    SetPeerEstimates(fresh, {EncodeOwnEstimates(first)});
    SetPeerEstimates(fresh, {});
    CHECK(Estimate(fresh, kHarmful) < 1.0);
  }
  SECTION("trusts its own observations more than those of one peer") {
    Observe(fresh, kHarmful, 0.0, 200);
    SetPeerEstimates(fresh, {EncodeOwnEstimates(first)});
    CHECK(Estimate(fresh, kHarmful) < 1.5);
  }
  SECTION("ignores what it cannot read") {
    CHECK(SetPeerEstimates(fresh,
                           {"", "\xff", "{}", EncodeOwnEstimates(first)}) == 3);
    CHECK(Estimate(fresh, kHarmful) > 2.0);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
