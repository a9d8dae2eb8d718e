// The job stream keeps the newest record of each key for good. Guards against
// records of other cells, and cancellations of jobs that nobody submits, that
// stay there and are read by each later owner.

#include "src/scheduler_process/job_stream_keys.h"

#include <catch2/catch.hpp>

namespace cowslipmast::sched {
namespace {

using std::chrono::seconds;
using Keys = std::vector<std::string>;

const JobId kJob("00000000000000a1");

void Add(JobStreamKeys& keys,
         const std::string& text,
         std::optional<uint32_t> iteration) {
  keys.Add(*ParseJobRecordKey(text), text, iteration);
}

TEST_CASE("records of other cells are deleted", "[scheduler_process]") {
  JobStreamKeys keys;
  const std::string transfer0 = TransferKey(kJob, "3-1-0");
  const std::string transfer1 = TransferKey(kJob, "3-1-1");
  const std::string report = PartReportKey(kJob, 0, CellId(2));
  const std::string end = PartEndKey(kJob, 0);
  Add(keys, transfer0, 0);
  Add(keys, report, 0);
  Add(keys, end, 0);

  SECTION("along with their job") {
    CHECK(keys.TakeJob(kJob) == Keys{end, report, transfer0});
    CHECK(keys.TakeJob(kJob).empty());
  }
  SECTION("once their iteration has ended, at home") {
    CHECK(keys.TakeIteration(kJob, 0, true) == Keys{end, report, transfer0});
  }
  SECTION("once their iteration has ended, but for one transfer elsewhere") {
    CHECK(keys.TakeIteration(kJob, 0, false) == Keys{end, report});
    Add(keys, transfer1, 1);
    CHECK(keys.TakeIteration(kJob, 0, false) == Keys{transfer0});
    CHECK(keys.TakeIteration(kJob, 1, false).empty());
    CHECK(keys.TakeJob(kJob) == Keys{transfer1});
  }
  SECTION("and no others") {
    Add(keys, transfer1, 1);
    CHECK(keys.TakeIteration(kJob, 2, true).empty());
    CHECK(keys.TakeIteration(JobId("00000000000000a2"), 0, true).empty());
    CHECK(keys.TakeJob(kJob).size() == 4);
  }
}

TEST_CASE("keys of records name their iteration", "[scheduler_process]") {
  const auto report = ParseJobRecordKey(PartReportKey(kJob, 12, CellId(2)));
  REQUIRE(report);
  CHECK(report->kind == JobRecordKind::kPartReport);
  CHECK(report->job == kJob);
  CHECK(report->iteration == 12U);
  const auto end = ParseJobRecordKey(PartEndKey(kJob, 7));
  REQUIRE(end);
  CHECK(end->kind == JobRecordKind::kPartEnd);
  CHECK(end->iteration == 7U);
  CHECK_FALSE(ParseJobRecordKey(PartEndKey(kJob, std::nullopt))->iteration);
  CHECK_FALSE(ParseJobRecordKey("p/" + kJob.value() + ".x")->iteration);
}

TEST_CASE("a job that stays unknown is forgotten", "[scheduler_process]") {
  JobStreamKeys keys;
  const TimePoint now{seconds(100)};
  bool is_known = false;
  const auto ask = [&is_known](const JobId&) { return is_known; };
  keys.NoteUnknownJob(kJob, now);
  CHECK(keys.TakeUnknownJobs(now + seconds(149), ask).empty());
  SECTION("after its cancellation could precede its submission") {
    CHECK(keys.TakeUnknownJobs(now + seconds(150), ask) ==
          std::vector<JobId>{kJob});
    CHECK(keys.TakeUnknownJobs(now + seconds(500), ask).empty());
  }
  SECTION("unless its submission came") {
    is_known = true;
    CHECK(keys.TakeUnknownJobs(now + seconds(150), ask).empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
