// Sends malformed bytes to every socket of a process and writes malformed
// records to every topic that it reads. Guards against one message that ends a
// whole process, and against a record of another writer that hides the others.

#include <catch2/catch.hpp>

#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kJobId[] = "00000000000000c3";

// Values that a field or record may have instead of the expected one.
std::vector<std::string> MalformedTexts() {
  return {"",
          "null",
          "[]",
          "17",
          "\"text\"",
          "{}",
          "{\"waiting\":\"many\"}",
          "{\"state\":7,\"reason\":9}",
          R"({"epoch":"x","owning":3,"patience_ms":1e300})",
          R"({"epoch":1,"process":5,"address":[],"port":-1,"released":2})",
          R"({"service":7,"address":"nowhere","state":"odd","labels":{}})",
          R"({"version":-4,"routes":[{"name":1}]})",
          std::string("\xff\xfe\x00{", 4),
          std::string(5000, '['),
          "\xa3\x61\x73\x01"};
}

TEST_CASE("a scheduler process that gets malformed input", "[hostile]") {
  TestSystem system(3);
  TestProcess& process = system.AddProcess();
  REQUIRE(system.WaitForOwner(seconds(10)));

  SECTION("survives malformed bytes on its sockets") {
    const std::vector<Endpoint> sockets = {process.callers(), process.control(),
                                           process.readiness()};
    for (const Endpoint& socket : sockets) {
      system.SendBytes(socket, "GARBAGE\r\n\r\n");
      system.SendBytes(socket,
                       "POST /q/ HTTP/1.1\r\nContent-Length: x\r\n\r\n");
      system.SendBytes(socket, std::string(40000, 'A') + "\r\n\r\n");
      system.SendBytes(socket, std::string("\x16\x03\x01\x02\x00", 5));
    }
  }
  SECTION("survives malformed bodies on every path") {
    const std::vector<std::string> paths = {
        "/q/00000000000000ff",      "/v1/cells/0/owner",
        "/v1/cells/0/offer",        "/v1/cells/0/load",
        "/v1/cells/0/records/j/x",  "/v1/cells/0/jobs/x",
        "/v1/cells/7/jobs/x",       "/v1/cells/99999999999999999999/owner",
        "/v1/cells/x/records/none", "/v1/claims",
        "/v1/waiting/quotes",       "/v1/cells/"};
    for (const std::string& path : paths) {
      for (const std::string& text : MalformedTexts()) {
        for (const char* method : {"POST", "GET", "DELETE"})
          system.Call(process, method, path, text);
      }
    }
  }
  SECTION("survives malformed records in the store") {
    int number = 0;
    for (const char* topic : {"keyed.op", "keyed.servers", "keyed.jobs",
                              "keyed.progress", "keyed.owner"}) {
      for (const std::string& text : MalformedTexts()) {
        for (const char* key : {"j/", "x/", "t/", "e/", "evacuate/", "cell/",
                                "config.", "layout.", "pressures"})
          system.PutRecord(topic, key + std::to_string(number++), text);
      }
    }
    // A new owner reads all of them from the start.
    system.RestartProcess(0);
  }
  REQUIRE(system.WaitForOwner(seconds(20)));
  REQUIRE(system.Submit(system.process(0), kJobId, 4) == 200);
  CHECK(
      system.WaitForState(system.process(0), kJobId, "completed", seconds(20)));
  CHECK(system.Observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::platform
