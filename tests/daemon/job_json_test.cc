#include <catch2/catch.hpp>

#include "src/daemon/job_json.h"
#include "src/daemon/job_view_json.h"
#include "src/net/worker_json.h"

namespace cowslipmast {
namespace {

const std::string kJob = R"({"id":"fill-7","team":"pillows","kind":"fill",
  "task_count":3,"resources":{"cpu_millis":500,"memory_mib":64},"run_ms":2000,
  "urgent":true,"data_centres":["bulacan"]})";

TEST_CASE("a submission is read strictly", "[daemon]") {
  JobJsonError reason;
  const auto spec = JobSpecFromJson(kJob, reason);
  REQUIRE(spec);
  CHECK(spec->resources.cpu == MilliCores(500));
  CHECK(spec->urgent);
  CHECK(JobSpecFromJson(JobSpecToJson(*spec).dump(), reason) == spec);

  SECTION("a misspelt key is rejected, not ignored") {
    // Ignoring "urgnt" would silently run a job without its priority.
    CHECK_FALSE(JobSpecFromJson(
        R"({"id":"a","team":"b","kind":"c","urgnt":true})", reason));
    CHECK(reason.kind == JobJsonErrorKind::kUnknownKey);
    CHECK(reason.key == "urgnt");
  }
  SECTION("a missing key and a negative size are named") {
    CHECK_FALSE(JobSpecFromJson(R"({"id":"a"})", reason));
    CHECK(reason.kind == JobJsonErrorKind::kMissingKey);
    auto json = JobSpecToJson(*spec);
    json["resources"]["cpu_millis"] = -5;
    CHECK_FALSE(JobSpecFromJson(json.dump(), reason));
    CHECK(reason.key == "resources");
  }
  SECTION("a job that can never run is rejected with the reason") {
    Config config;
    SubmissionError error;
    CHECK_FALSE(CheckSubmission(*spec, config, error));
    CHECK(error.kind == SubmissionErrorKind::kUnknownTeam);
    config.teams[spec->team] = {spec->team, {}};
    config.data_centres[DataCentreId("bulacan")] = {};
    CHECK_FALSE(CheckSubmission(*spec, config, error));
    CHECK(error.kind == SubmissionErrorKind::kTooLargeForAnyWorker);
    const WorkerClassId id("small");
    config.worker_classes[id] = {id, spec->resources, 8};
    CHECK(CheckSubmission(*spec, config, error));
  }
}

TEST_CASE("an ended job is shown with its counts", "[daemon]") {
  // Guards against callers that wait for ever for `unfinished` to become 0.
  const auto json = EndedJobToJson({JobId("fill-7"), 2, 1, false});
  CHECK(json["id"] == "fill-7");
  CHECK(json["ended"] == true);
  CHECK(json["tasks"]["done"] == 2);
  CHECK(json["tasks"]["failed"] == 1);
  CHECK(json["tasks"]["unfinished"] == 0);

  SECTION("and how it ended") {
    CHECK(json["state"] == "failed");
    CHECK(EndedJobToJson({JobId("a"), 2, 0, false})["state"] == "done");
    const auto cancelled = EndedJobToJson({JobId("a"), 0, 1, true});
    CHECK(cancelled["state"] == "cancelled");
    CHECK(cancelled["cancelled"] == true);
  }
}

TEST_CASE("the worker protocol is written and read as specified", "[net]") {
  StartCommand start;
  start.task = {JobId("fill-7"), 2};
  start.attempt = Attempt(3);
  start.not_after = WallTime(std::chrono::milliseconds(1700000000123));
  start.lease = std::chrono::seconds(13);
  const HttpRequest request =
      MakeWorkerRequest("/workers/w1", {VmId("w1"), Epoch(4), {}, start});
  CHECK(request.path == "/workers/w1/start");
  const auto body = nlohmann::json::parse(request.body);
  CHECK(body["epoch"] == 4);
  CHECK(body["attempt"] == 3);
  CHECK(body["not_after_unix_ms"] == 1700000000123);
  CHECK(body["lease_ms"] == 13000);

  SECTION("a listing with one invalid entry is rejected") {
    // An omitted lease would look like a task that has ended.
    const std::string head =
        R"({"worker":"w1","max_epoch":4,"capacity":{"cpu_millis":4000},)";
    CHECK(ParseWorkerReport(head + R"("leases":[],"finished":[]})"));
    CHECK_FALSE(ParseWorkerReport(
        head + R"("leases":[{"job":"a","index":0}],"finished":[]})"));
    const auto report = ParseWorkerReport(
        head + R"("leases":[{"job":"a","index":0,"attempt":2,"epoch":4,
          "state":"checkpointing","expires_in_ms":900}],"finished":[
          {"job":"b","index":1,"attempt":1,"result":"evicted",
           "checkpoint":"c"}]})");
    REQUIRE(report);
    CHECK(report->leases[0].checkpointing);
    CHECK(report->finished[0].result == TaskResult::kEvicted);
  }
}

}  // namespace
}  // namespace cowslipmast
