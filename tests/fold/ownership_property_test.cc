#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/fold/ownership_world.h"

namespace cowslipmast {
namespace {

using std::chrono::seconds;

const std::vector<std::string> kVms = {"a", "b", "c", "d"};

// Lets one random thing fail or recover.
void Disturb(OwnershipWorld& world) {
  const std::string& vm = kVms[world.Choose(kVms.size())];
  const VmId other(kVms[world.Choose(kVms.size())]);
  OwnershipWorld::Process* process = world.Running(vm);
  if (!process) {
    world.Start(vm);
    return;
  }
  switch (world.Choose(7)) {
    case 0:
      world.Crash(*process, world.Choose(2) == 0);
      return;
    case 1:
      world.Pause(*process, world.Below(8'000'000));
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
      if (!world.cut_links.erase(link))
        world.cut_links.insert(link);
  }
}

TEST_CASE("no two processes may use one resource", "[ownership]") {
  // Guards against any mistake in permission, takeover or membership that
  // lets two owners act at once, and against resources that stay unowned.
  size_t takeovers = 0;
  CHECK(rc::check([&] {
    OwnershipWorld world(*rc::gen::arbitrary<uint64_t>());
    world.resources = {kDesk, kCebu};
    const size_t count = *rc::gen::inRange<size_t>(1, kVms.size() + 1);
    for (size_t i = 0; i < count; ++i)
      world.Start(kVms[i]);
    for (int i = 0; i < 30; ++i) {
      Disturb(world);
      world.Run(world.Below(6'000'000));
      RC_ASSERT(world.violations == 0U);
    }
    world.cut_links.clear();
    for (const std::string& vm : kVms) {
      if (auto* process = world.Running(vm); process && process->draining)
        world.Crash(*process, false);
      if (!world.Running(vm))
        world.Start(vm);
      world.Running(vm)->store_cut = false;
    }
    const auto is_served = [&] {
      return world.CountUsers(kDesk) == 1 && world.CountUsers(kCebu) == 1;
    };
    for (int i = 0; i < 60 && !is_served(); ++i)
      world.Run(seconds(1));
    RC_ASSERT(is_served());
    RC_ASSERT(world.violations == 0U);
    takeovers += world.takeovers;
  }));
  // The schedules have to reach the case that they are about.
  CHECK(takeovers > 0);
}

}  // namespace
}  // namespace cowslipmast
