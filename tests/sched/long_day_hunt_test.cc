// Looks for accepted work that waits on long days, with latency-critical tasks
// on all workers and best-effort tasks that interfere with them. The test
// "[.long-hunt]" tries other seeds and lengths than the fixed ones:
// COWSLIPMAST_HUNT_SEEDS=FIRST:COUNT[:STEP] COWSLIPMAST_HUNT_SECONDS=LENGTH. A
// seed has one cell more than its remainder by 3.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "tests/sched/long_day.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::seconds;

size_t CountDoubleRuns(const SimulatedCells& system) {
  const std::vector<std::string> all = system.Violations();
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(), [](const std::string& violation) {
        return violation.starts_with("runs in two cells") ||
               violation.starts_with("has two runs at once");
      }));
}

void CheckDay(uint64_t seed, Duration length) {
  LongDay day(seed, length);
  day.Run();
  INFO("seed " << seed << " of " << length.count() / 1000000 << " s\n"
               << day.Describe());
  CHECK(day.checker().found().empty());
  CHECK(CountDoubleRuns(day.system()) == 0);
}

TEST_CASE("best-effort work waits on long days with interference",
          "[sched][lost]") {
  const std::pair<uint64_t, seconds> days[] = {
      {8, seconds(60)},  {19, seconds(60)}, {24, seconds(60)},
      {27, seconds(60)}, {36, seconds(60)}, {2, seconds(200)},
      {8, seconds(200)}};
  for (const auto& [seed, length] : days)
    CheckDay(seed, length);
}

TEST_CASE("work waits on long days with interference, with other seeds",
          "[.long-hunt]") {
  const char* seeds = std::getenv("COWSLIPMAST_HUNT_SEEDS");
  const char* length = std::getenv("COWSLIPMAST_HUNT_SECONDS");
  unsigned long long first = 1;
  unsigned long long count = 10;
  unsigned long long step = 1;
  if (seeds != nullptr)
    REQUIRE(std::sscanf(seeds, "%llu:%llu:%llu", &first, &count, &step) >= 2);
  const seconds length_s(length == nullptr ? 120 : std::stoi(length));
  for (uint64_t i = 0; i < count; ++i)
    CheckDay(first + i * step, length_s);
}

}  // namespace
}  // namespace cowslipmast::sched
