// Runs whole processes with workspaces in the manifest. Guards against calls
// that are served without a key of a workspace, and against keys that stay
// valid or unknown after a new version, or that are shown to anyone.

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "cowslipmast/sched/job_codec.h"
#include "platform/store_records.h"
#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const char kFirstKey[] = "first-key-of-a";
const char kSecondKey[] = "second-key-of-a";
const char kJob[] = "/q/00000000000000a1";
const char kPublicJob[] = "/open/00000000000000b2";
const char kSubmission[] =
    R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem-mb":10,"est-ms":100}]})";

json MakeRoute(const std::string& name, bool is_public) {
  return {{"name", name},
          {"hostname", "quotes.example"},
          {"path-prefix", "/" + name + "/"},
          {"public", is_public},
          {"service", "quote-server"},
          {"attempts", 2}};
}

json MakeTenant(const std::string& name, const json& keys) {
  return {{"name", name},
          {"api-keys", keys},
          {"priority", 1},
          {"weight", 12},
          {"cap", {{"cpu", 5934468}, {"mem-mb", 11061474}, {"gpu", 0}}},
          {"allowed-regions", json::array()}};
}

json MakeManifest(int version, const json& tenants) {
  return {{"version", version},
          {"routes", {MakeRoute("q", false), MakeRoute("open", true)}},
          {"tenants", tenants}};
}

void Publish(TestSystem& system, const json& manifest) {
  system.PutRecord("keyed.op", "config", manifest.dump());
}

// Waits until a GET with the key gets the status; false after 4 s.
bool WaitForStatus(TestSystem& system,
                   TestProcess& process,
                   const std::string& key,
                   int status,
                   const std::string& path = "/q/") {
  for (int i = 0; i < 80; ++i) {
    const auto response = system.CallWithKey(process, key, "GET", path);
    if (response && response->status == status)
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::string ProblemOf(const json& manifest) {
  sched::Manifest decoded;
  std::string problem;
  CHECK_FALSE(DecodeManifest(manifest.dump(), decoded, problem));
  CHECK(decoded == sched::Manifest());
  return problem;
}

TEST_CASE("two processes whose manifest has workspaces", "[keys]") {
  TestSystem system(3, 2);
  REQUIRE(system.WaitForOwner(seconds(10)));
  TestProcess& process = system.process(0);
  Publish(system,
          MakeManifest(
              2, json::array({MakeTenant("a", json::array({kFirstKey}))})));
  // The version before has no workspaces and asks for no key.
  for (size_t i = 0; i < 2; ++i) {
    REQUIRE(WaitForStatus(system, system.process(i), "none", 401));
    REQUIRE(WaitForStatus(system, system.process(i), kFirstKey, 200));
  }

  SECTION("serve only calls with a key of a workspace") {
    for (const char* method : {"POST", "GET", "DELETE", "PUT"}) {
      CHECK(system.Call(process, method, kJob, kSubmission)->status == 401);
      for (const char* key : {"", "first-key-of-", "first-key-of-b", "none"})
        CHECK(system.CallWithKey(process, key, method, kJob, kSubmission)
                  ->status == 401);
    }
    CHECK(system.Call(process, "GET", "/q/")->status == 401);
    CHECK(system.Call(process, "POST", "/q/short", "{}")->status == 401);
    CHECK(system.CallWithKey(process, kFirstKey, "GET", kJob)->status == 410);
    CHECK(system.CallWithKey(process, kFirstKey, "POST", kJob, kSubmission)
              ->status == 200);
    CHECK(WaitForStatus(system, process, kFirstKey, 200, kJob));
    CHECK(system.CallWithKey(process, kFirstKey, "DELETE", kJob)->status ==
          200);
  }
  SECTION("need no key for a public route, and none for one that is unknown") {
    CHECK(system.Call(process, "GET", "/open/")->status == 200);
    CHECK(system.Call(process, "POST", kPublicJob, kSubmission)->status == 200);
    // The owner reads the job after it was accepted.
    CHECK(WaitForStatus(system, process, "none", 200, kPublicJob));
    CHECK(system.Call(process, "GET", "/nowhere/")->status == 404);
    CHECK(system.CallWithKey(process, "none", "GET", "/nowhere/")->status ==
          404);
  }
  SECTION("follow the newest of versions in quick succession") {
    for (int version = 3; version < 12; ++version) {
      const bool last = version == 11;
      const json keys =
          last ? json::array({kSecondKey}) : json::array({kFirstKey, "other"});
      Publish(system,
              MakeManifest(version, json::array({MakeTenant("a", keys)})));
    }
    for (size_t i = 0; i < 2; ++i) {
      CHECK(WaitForStatus(system, system.process(i), kSecondKey, 200));
      CHECK(WaitForStatus(system, system.process(i), kFirstKey, 401));
    }
    system.RestartProcess(0);
    CHECK(WaitForStatus(system, system.process(0), kSecondKey, 200));
    CHECK(WaitForStatus(system, system.process(0), kFirstKey, 401));
  }
  SECTION("refuse all calls of a workspace whose last key is taken away") {
    Publish(system,
            MakeManifest(3, json::array({MakeTenant("a", json::array())})));
    CHECK(WaitForStatus(system, process, kFirstKey, 401));
    CHECK(system.Call(process, "GET", "/q/")->status == 401);
  }
  SECTION("keep the version in force when a later one is wrong") {
    json wrong = MakeManifest(
        3, json::array({MakeTenant("a", json::array({kSecondKey}))}));
    wrong["tenants"][0]["weight"] = -1;
    Publish(system, wrong);
    std::this_thread::sleep_for(seconds(1));
    CHECK(system.CallWithKey(process, kFirstKey, "GET", "/q/")->status == 200);
    CHECK(system.CallWithKey(process, kSecondKey, "GET", "/q/")->status == 401);
  }
  SECTION("show the workspaces but no key") {
    CHECK(system.CallWithKey(process, kFirstKey, "POST", kJob, kSubmission)
              ->status == 200);
    for (const char* page : {"/dump", "/metrics"}) {
      const std::string text = system.Call(process, "GET", page)->body;
      CHECK_FALSE(text.empty());
      CHECK(text.find(kFirstKey) == std::string::npos);
    }
    const std::string refusal =
        system.CallWithKey(process, "none", "GET", "/q/")->body;
    CHECK(refusal == R"({"error":"unknown_key"})");
  }
}

TEST_CASE("a stored job", "[keys]") {
  sched::JobDefinition job;
  job.id = JobId("00000000000000a1");

  SECTION("keeps its workspace") {
    job.workspace = sched::WorkspaceId("a");
    CHECK(sched::DecodeJob(sched::EncodeJob(job)) == job);
  }
  SECTION("of an earlier version has none") {
    const std::string record = sched::EncodeJob(job);
    CHECK(record.find("ws") == std::string::npos);
    CHECK(sched::DecodeJob(record) == job);
  }
}

TEST_CASE("a manifest with wrong workspaces", "[keys]") {
  const json good = MakeTenant("a", json::array({kFirstKey}));

  SECTION("without a name, a list of keys, or with a wrong one") {
    json tenant = good;
    tenant.erase("name");
    CHECK(ProblemOf(MakeManifest(2, json::array({tenant}))) ==
          "tenants[0].name is missing, empty or no text");
    tenant = good;
    tenant.erase("api-keys");
    CHECK(ProblemOf(MakeManifest(2, json::array({tenant}))) ==
          "tenants[0] (a): api-keys is missing or no list");
    for (const json& key : {json(""), json(7)})
      CHECK(ProblemOf(MakeManifest(
                2, json::array(
                       {good, MakeTenant("b", json::array({"x", key}))}))) ==
            "tenants[1].api-keys[1] (b) is no text, empty, or there twice");
  }
  SECTION("with one key or one name twice") {
    const std::string problem = ProblemOf(MakeManifest(
        2, json::array({good, MakeTenant("b", json::array({kFirstKey}))})));
    CHECK(problem ==
          "tenants[1].api-keys[0] (b) is no text, empty, or there twice");
    CHECK(ProblemOf(MakeManifest(
              2, json::array({good, MakeTenant("a", json::array({"x"}))}))) ==
          "tenants[1].name is there twice: a");
  }
  SECTION("with numbers that are out of range") {
    json tenant = good;
    tenant["weight"] = -2;
    CHECK(ProblemOf(MakeManifest(2, json::array({tenant}))) ==
          "tenants[0] (a): weight is not an integer from 0 to 1000000: -2");
    tenant = good;
    tenant["cap"]["cpu"] = -5;
    CHECK(ProblemOf(MakeManifest(2, json::array({tenant}))) ==
          "tenants[0] (a): cpu is not an integer from 0 to 1000000000: -5");
  }
}

}  // namespace
}  // namespace cowslipmast::platform
