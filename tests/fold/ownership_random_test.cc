#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/fold/ownership_simulation.h"

namespace cowslipmast {
namespace {

using std::chrono::seconds;

const std::vector<std::string> kVms = {"a", "b", "c", "d"};

// Makes a random process or link fail or recover.
void FailOrRecover(OwnershipSimulation& simulation) {
  const std::string& vm = kVms[simulation.Choose(kVms.size())];
  const VmId other(kVms[simulation.Choose(kVms.size())]);
  OwnershipSimulation::SimulatedProcess* process = simulation.Running(vm);
  if (!process) {
    simulation.Start(vm);
    return;
  }
  switch (simulation.Choose(7)) {
    case 0:
      simulation.Crash(*process, simulation.Choose(2) == 0);
      return;
    case 1:
      simulation.Pause(*process, simulation.Below(8'000'000));
      return;
    case 2:
      process->draining = true;
      return;
    case 3:
    case 4:
      process->store_cut = !process->store_cut;
      return;
    default:
      const std::pair<VmId, VmId> link = std::minmax(process->vm, other);
      if (!simulation.cut_links.erase(link))
        simulation.cut_links.insert(link);
  }
}

TEST_CASE("no two processes use one resource at the same time", "[ownership]") {
  // Guards against errors in permission, takeover or membership that let two
  // owners act at once, and against resources that stay unowned.
  size_t takeovers = 0;
  CHECK(rc::check([&] {
    OwnershipSimulation simulation(*rc::gen::arbitrary<uint64_t>());
    simulation.resources = {kTarget, kCebu};
    const size_t count = *rc::gen::inRange<size_t>(1, kVms.size() + 1);
    for (size_t i = 0; i < count; ++i)
      simulation.Start(kVms[i]);
    for (int i = 0; i < 30; ++i) {
      FailOrRecover(simulation);
      simulation.Run(simulation.Below(6'000'000));
      RC_ASSERT(simulation.violations == 0U);
    }
    simulation.cut_links.clear();
    for (const std::string& vm : kVms) {
      if (auto* process = simulation.Running(vm); process && process->draining)
        simulation.Crash(*process, false);
      if (!simulation.Running(vm))
        simulation.Start(vm);
      simulation.Running(vm)->store_cut = false;
    }
    const auto is_served = [&] {
      return simulation.CountUsers(kTarget) == 1 &&
             simulation.CountUsers(kCebu) == 1;
    };
    for (int i = 0; i < 60 && !is_served(); ++i)
      simulation.Run(seconds(1));
    RC_ASSERT(is_served());
    RC_ASSERT(simulation.violations == 0U);
    takeovers += simulation.takeovers;
  }));
  // The random sequences have to include takeovers.
  CHECK(takeovers > 0);
}

}  // namespace
}  // namespace cowslipmast
