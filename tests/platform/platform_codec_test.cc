// Tests the encoding and decoding of the platform's messages. Guards against
// records of other writers or truncated data being taken for valid ones.

#include <catch2/catch.hpp>

#include "platform/caller_api.h"
#include "platform/store_client.h"
#include "platform/store_records.h"
#include "platform/task_name.h"
#include "platform/worker_client.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;

TEST_CASE("record framing", "[platform]") {
  const std::vector<sched::KeyedRecord> records = {
      {"j/1", "value"}, {"x/1", ""}, {"k", std::string(300, 'v')}};

  SECTION("decodes the records that were encoded") {
    const auto decoded = DecodeRecords(EncodeRecords(records));
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 3);
    CHECK(decoded->at(0).key == "j/1");
    CHECK(decoded->at(1).value.empty());
    CHECK(decoded->at(2).value.size() == 300);
  }
  SECTION("rejects truncated bytes") {
    const std::string bytes = EncodeRecords(records);
    CHECK_FALSE(DecodeRecords(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(DecodeRecords("ab"));
  }
}

TEST_CASE("decoding a submission with impossible numbers", "[platform]") {
  // Guards against numbers that overflow or count against the reserved
  // capacity: a negative need would let a worker be overfilled.
  const auto decode = [](const std::string& field) {
    return DecodeSubmission(R"({"spec":"s","steps":[{"count":2,)" + field +
                            "}]}");
  };
  CHECK(decode(R"("cpu":500)"));
  CHECK(decode(R"("cpu":500.0)"));
  CHECK_FALSE(decode(R"("cpu":-1)"));
  CHECK_FALSE(decode(R"("mem-mb":-5)"));
  CHECK_FALSE(decode(R"("gpu":1e300)"));
  CHECK_FALSE(decode(R"("est-ms":9223372036854775807)"));
  CHECK_FALSE(decode(R"("est-ms":18446744073709551615)"));
  CHECK_FALSE(decode(R"("cpu":"500")"));
  CHECK_FALSE(decode(R"("cpu":[500])"));
  CHECK_FALSE(decode(R"("anti-affinity":-1)"));
  CHECK_FALSE(decode(R"("depends-on":[0])"));
}

TEST_CASE("a job with more tasks than a record can hold is refused",
          "[platform]") {
  // The store refuses its progress for good, and its owner stores nothing else
  // before that.
  const auto decode = [](int tasks) {
    return DecodeSubmission(R"({"spec":"s","steps":[{"count":)" +
                            std::to_string(tasks) + "}]}");
  };
  CHECK(decode(4000));
  CHECK_FALSE(decode(4001));
}

TEST_CASE("decoding a listing with fields of other types", "[platform]") {
  // Guards against an exception or an undefined conversion on a response that
  // is not what the protocol says.
  const auto decode = [](const std::string& rows) {
    return DecodeListing(R"({"clock-ms":5,"running":)" + rows +
                         R"(,"ended":[]})");
  };
  const auto listing =
      decode(R"([["5c0e7a21d94b36f8.0.1.17",2,"",1e300,-1e300]])");
  REQUIRE(listing);
  CHECK(listing->running.at(0).percent == 100);
  CHECK(listing->running.at(0).load == 0);
  CHECK_FALSE(decode(R"([[17,2,"",41,3]])"));
  CHECK_FALSE(decode(R"([["5c0e7a21d94b36f8.0.1.17"]])"));
  CHECK_FALSE(decode("17"));
  CHECK_FALSE(
      DecodeListing(R"({"clock-ms":5,"born":"now","running":[],"ended":[]})"));
}

TEST_CASE("task names on the wire", "[platform]") {
  const sched::TaskName name{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  CHECK(TaskNameText(name) == "5c0e7a21d94b36f8.2.1.17");
  CHECK(ParseTaskName("5c0e7a21d94b36f8.2.1.17") == name);
  CHECK_FALSE(ParseTaskName("5c0e7a21d94b36f8.2.1"));
  CHECK_FALSE(ParseTaskName("5c0e7a21d94b36f8.2.x.1"));
}

TEST_CASE("decoding a worker's entry", "[platform]") {
  const std::string entry =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":8,"state":"ready","capacity":{"cpu":16000,"mem-mb":32768,
          "gpu":1},"labels":["a","r1-3"],"seq":4})";

  SECTION("yields the worker with its rack") {
    const auto info = DecodeWorkerEntry({"i-1", entry});
    REQUIRE(info);
    CHECK(info->rack == sched::RackId("r1-3"));
    CHECK(info->capacity.cpu == MilliCores(16000));
    CHECK(info->endpoint.port == 8080);
    CHECK_FALSE(info->draining);
  }
  SECTION("yields nothing for records of other writers") {
    CHECK_FALSE(DecodeWorkerEntry({"i-1", "\x01\x02"}));
    CHECK_FALSE(DecodeWorkerEntry({"i-1", "{}"}));
    CHECK_FALSE(DecodeWorkerEntry({"i-1", R"({"service":7})"}));
    std::string odd = entry;
    odd.replace(odd.find("ready"), 5, "odd");
    CHECK_FALSE(DecodeWorkerEntry({"i-1", odd}));
  }
}

TEST_CASE("decoding the operators' records", "[platform]") {
  sched::Manifest manifest;
  CHECK(DecodeOperatorSetting({"evacuate/cebu", "{}"}, manifest));
  CHECK_FALSE(manifest.known);
  CHECK(manifest.policy.evacuated.count(DataCentreId("cebu")) == 1);
  CHECK(DecodeOperatorSetting(
      {"config",
       R"({"version":7,"routes":[{"name":"r","hostname":"h","path-prefix":"/p/",
           "service":"s","attempts":2,"stretch":1.5,"priority":2,
           "target-latency-ms":400}]})"},
      manifest));
  CHECK(manifest.known);
  CHECK(manifest.policy.version == ConfigVersion(7));
  CHECK(manifest.policy.queues.at(sched::QueueId("r")).objective_offset ==
        milliseconds(400));
  CHECK(sched::FindRoute(manifest, "h:80", "/p/x") != nullptr);
  CHECK(sched::FindRoute(manifest, "h", "/q/x") == nullptr);
  CHECK_FALSE(DecodeOperatorSetting({"config", "nothing"}, manifest));
}

TEST_CASE("decoding a worker's listing", "[platform]") {
  const auto listing = DecodeListing(
      R"({"clock-ms":482113,"born":17,
          "running":[["5c0e7a21d94b36f8.0.1.17",2,"00ab",41,18]],
          "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed",""]]})");
  REQUIRE(listing);
  CHECK(listing->clock == sched::WorkerClock(482113));
  REQUIRE(listing->running.size() == 1);
  CHECK(listing->running[0].load == 18);
  REQUIRE(listing->ended.size() == 1);
  CHECK(listing->ended[0].outcome == sched::RunOutcome::kLeaseExpired);
  CHECK_FALSE(DecodeListing("{}"));
}

TEST_CASE("decoding a submission", "[platform]") {
  const auto spec = DecodeSubmission(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,
          "est-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem-mb":1024,
          "est-ms":7000,"depends-on":[0],"checkpointing":true,"image":"i",
          "fills":true}]})");
  REQUIRE(spec);
  REQUIRE(spec->steps.size() == 2);
  CHECK(spec->steps[0].data_rack == sched::RackId("r1-3"));
  CHECK(spec->steps[1].best_effort);
  CHECK(spec->steps[1].depends_on == std::vector<uint32_t>{0});

  SECTION("rejects a step that depends on a later one") {
    CHECK_FALSE(DecodeSubmission(
        R"({"spec":"","steps":[{"count":1,"depends-on":[0]}]})"));
  }
  SECTION("rejects a submission without tasks") {
    CHECK_FALSE(DecodeSubmission(R"({"spec":"","steps":[]})"));
    CHECK_FALSE(DecodeSubmission(R"({"spec":"","steps":[{"count":0}]})"));
  }
}

}  // namespace
}  // namespace cowslipmast::platform
