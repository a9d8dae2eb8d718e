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
  return {"", "null", "[]", "17", "\"text\"", "{}", "{\"waiting\":\"many\"}",
          "{\"state\":7,\"reason\":9}",
          R"({"epoch":"x","owning":3,"patience_ms":1e300})",
          R"({"epoch":1,"process":5,"address":[],"port":-1,"released":2})",
          R"({"service":7,"address":"nowhere","state":"odd","labels":{}})",
          R"({"version":-4,"routes":[{"name":1}]})",
          std::string("\xff\xfe\x00{", 4), std::string(5000, '['),
          // As deep as a record or a body can be, in CBOR and in JSON.
          std::string(250000, '\x81'),
          std::string(120000, '[') + std::string(120000, ']'),
          "\xa3\x61\x73\x01"};
}

// Entries of workers of which one part is odd: another writer may leave them.
std::vector<std::string> OddWorkerEntries() {
  // As deep as a record of the store can be.
  constexpr size_t depth = 120000;
  const std::string deep_array =
      std::string(depth, '[') + std::string(depth, ']');
  std::string deep_object = "1";
  std::string open;
  for (size_t i = 0; i < depth / 3; ++i) {
    open += R"({"a":)";
    deep_object += "}";
  }
  deep_object = open + deep_object;
  const auto entry = [](const std::string& address, const std::string& cpu,
                        const std::string& labels, const std::string& born) {
    return R"({"service":"quote-server","address":)" + address +
           R"(,"zone":"cebu","state":"ready","slots":8,"capacity":{"cpu":)" +
           cpu + R"(,"mem-mb":64000,"gpu":0},"labels":)" + labels +
           R"(,"born":)" + born + "}";
  };
  const std::string address = "\"127.0.0.1:9\"";
  const std::string labels = R"(["a","r1-1"])";
  std::vector<std::string> entries;
  for (const std::string& odd : {deep_array, deep_object}) {
    entries.push_back(odd);
    entries.push_back(entry(odd, "1000", labels, "1"));
    entries.push_back(entry(address, odd, labels, "1"));
    entries.push_back(entry(address, "1000", odd, "1"));
    entries.push_back(entry(address, "1000", "[" + odd + "]", "1"));
    entries.push_back(entry(address, "1000", labels, odd));
  }
  for (const std::string& odd :
       {std::string("1e400"), std::string("-1e400"), std::string(400, '9'),
        std::string("18446744073709551616"), std::string("1e308")}) {
    entries.push_back(entry(address, odd, labels, "1"));
    entries.push_back(entry(address, "1000", labels, odd));
    entries.push_back(entry(odd, "1000", labels, "1"));
  }
  for (const char* odd :
       {"\"127.0.0.1:65536\"", "\"127.0.0.1:-1\"", "\"127.0.0.1:0\"",
        "\"127.0.0.1:99999999999999999999\"", "\"127.0.0.1:\"",
        "\"127.0.0.1:9x\"", "\":9\"", "\"[::1]:70000\"", "\"300.0.0.1:9\"",
        "9"})
    entries.push_back(entry(odd, "1000", labels, "1"));
  return entries;
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
  SECTION("follows the list of workers past an odd entry") {
    // Guards against a process that ends, or stops following the list, after
    // one entry that is nested too deeply or has a number or port out of range.
    int number = 0;
    for (const std::string& entry : OddWorkerEntries())
      system.PutRecord("keyed.servers", "odd-" + std::to_string(number++),
                       entry);
    // Read one by one, and as the newest records by the next process.
    std::this_thread::sleep_for(seconds(1));
    for (const bool restarted : {false, true}) {
      if (restarted)
        system.RestartProcess(0);
      REQUIRE(system.WaitForOwner(seconds(20)));
      system.PutRecord("keyed.servers", "i-1", "");
      const std::string id =
          restarted ? "00000000000000c5" : "00000000000000c4";
      std::this_thread::sleep_for(seconds(1));
      REQUIRE(system.Submit(system.process(0), id, 4) == 200);
      CHECK(
          system.WaitForState(system.process(0), id, "completed", seconds(20)));
      for (const auto& [task, workers] : system.Observations().workers)
        CHECK(workers.count("i-1") == 0);
    }
  }
  REQUIRE(system.WaitForOwner(seconds(20)));
  REQUIRE(system.Submit(system.process(0), kJobId, 4) == 200);
  CHECK(
      system.WaitForState(system.process(0), kJobId, "completed", seconds(20)));
  CHECK(system.Observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::platform
