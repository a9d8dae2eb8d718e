#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <string>

#include "bench/heap_usage.h"
#include "cowslipmast/placement.h"
#include "src/net/peer_codec.h"
#include "src/net/vm_list_client.h"
#include "src/net/worker_json.h"

namespace cowslipmast {
namespace {

using Json = nlohmann::json;

Heartbeat MakeHeartbeat(int64_t services) {
  Heartbeat heartbeat;
  heartbeat.process = ProcessId("bulacan-entry-0/entry/1764828000000000");
  heartbeat.region = RegionId("luzon");
  heartbeat.folded_next = LogOffset(1'000'000);
  heartbeat.digest = 0x1234567890abcdef;
  heartbeat.proof_age = std::chrono::milliseconds(300);
  for (int64_t i = 0; i < services; ++i)
    heartbeat.free_slots[ServiceId("refill-desk-" + std::to_string(i))] =
        Slots(50);
  return heartbeat;
}

size_t EncodedBytes(capnp::MallocMessageBuilder& message) {
  return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

// Counts the bytes of the message alone, without the RPC envelope.
void EncodeHeartbeatBench(benchmark::State& state) {
  const Heartbeat heartbeat = MakeHeartbeat(state.range(0));
  size_t bytes = 0;
  for (auto _ : state) {
    capnp::MallocMessageBuilder message;
    Encode(heartbeat, message.initRoot<schema::Heartbeat>());
    bytes = EncodedBytes(message);
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeHeartbeatBench)->Arg(1)->Arg(20);

void DecodeHeartbeatBench(benchmark::State& state) {
  capnp::MallocMessageBuilder message;
  Encode(MakeHeartbeat(state.range(0)), message.initRoot<schema::Heartbeat>());
  for (auto _ : state) {
    const Heartbeat heartbeat =
        Decode(message.getRoot<schema::Heartbeat>().asReader());
    benchmark::DoNotOptimize(&heartbeat);
  }
  state.counters["bytes"] = static_cast<double>(EncodedBytes(message));
}
BENCHMARK(DecodeHeartbeatBench)->Arg(1)->Arg(20);

Json MakeLeaseJson(int64_t index) {
  const Json size =
      ResourcesToJson({MilliCores(3000), Mebibytes(8192), Accelerators(0)});
  return {{"job", "job-1764828000-" + std::to_string(index)},
          {"index", index},
          {"attempt", 1},
          {"epoch", 12},
          {"kind", "order"},
          {"resources", size},
          {"state", "running"},
          {"throttle_percent", 100},
          {"expires_in_ms", 14000},
          {"usage", size},
          {"usage_age_ms", 1500}};
}

std::string MakeReportJson(int64_t leases) {
  Json list = Json::array();
  for (int64_t i = 0; i < leases; ++i)
    list.push_back(MakeLeaseJson(i));
  const Json report = {
      {"max_epoch", 12},
      {"capacity", ResourcesToJson({MilliCores(64000), Mebibytes(250000),
                                    Accelerators(2)})},
      {"leases", std::move(list)},
      {"finished", Json::array()}};
  return report.dump();
}

// Parses a worker's list with `range` leases; counts the bytes of the body.
void ParseWorkerListBench(benchmark::State& state) {
  const std::string body = MakeReportJson(state.range(0));
  const auto expected = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    const auto report = ParseWorkerReport(body);
    if (!report || report->leases.size() != expected) {
      state.SkipWithError("the list could not be parsed");
      break;
    }
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(ParseWorkerListBench)->Arg(1)->Arg(8)->Arg(20);

std::string MakeVmListJson(int64_t rows) {
  Json vms = Json::array();
  for (int64_t i = 0; i < rows; ++i) {
    const std::string id = "bulacan-worker-" + std::to_string(i);
    vms.push_back({{"id", id},
                   {"kind", "worker"},
                   {"data_centre", "bulacan"},
                   {"region", "luzon"},
                   {"rack", "bulacan-w1"},
                   {"address", "10.0.0.1:8080"},
                   {"base_path", "/workers/" + id},
                   {"state", "live"},
                   {"cores", 64},
                   {"memory_mib", 256000},
                   {"accelerators", 0}});
  }
  const Json list = {{"vms", std::move(vms)}};
  return list.dump();
}

// Parses a VM list of `range` workers; every process reads the list once a
// second.
void ParseVmListBench(benchmark::State& state) {
  const std::string body = MakeVmListJson(state.range(0));
  const auto parsed = ParseVmList(body);
  state.counters["heap_bytes"] = static_cast<double>(HeapBytesOfCopy(*parsed));
  const auto expected = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    const auto vms = ParseVmList(body);
    if (!vms || vms->size() != expected) {
      state.SkipWithError("the list could not be parsed");
      break;
    }
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(ParseVmListBench)->Arg(100)->Arg(1100);

void MakeRequestBench(benchmark::State& state, const WorkerAction& action) {
  const WorkerCommand command{VmId("bulacan-worker-0"), Epoch(12), TimePoint(),
                              action};
  size_t bytes = 0;
  for (auto _ : state) {
    const HttpRequest request =
        MakeWorkerRequest("/workers/bulacan-worker-0", command);
    bytes = request.path.size() + request.body.size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

// Counts the bytes of path and body, without headers.
void EncodeRenewalBench(benchmark::State& state) {
  MakeRequestBench(state, RenewCommand{kMaxLeaseDuration,
                                       WallTime(std::chrono::hours(490'000))});
}
BENCHMARK(EncodeRenewalBench);

void EncodeStartBench(benchmark::State& state) {
  StartCommand start;
  start.task = {JobId("job-1764828000-1"), 7};
  start.attempt = Attempt(1);
  start.kind = TaskKind("order");
  start.resources = {MilliCores(3000), Mebibytes(8192), Accelerators(0)};
  start.not_after = WallTime(std::chrono::hours(490'000));
  start.lease = kMaxLeaseDuration;
  start.run_time = std::chrono::seconds(60);
  MakeRequestBench(state, start);
}
BENCHMARK(EncodeStartBench);

}  // namespace
}  // namespace cowslipmast
