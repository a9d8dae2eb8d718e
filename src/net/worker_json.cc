#include "src/net/worker_json.h"

#include <array>
#include <string_view>
#include <utility>
#include <variant>

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<std::string_view, WorkerRefusal>, 5>
    kRefusalNames{{
        {"stale_epoch", WorkerRefusal::kStaleEpoch},
        {"too_late", WorkerRefusal::kTooLate},
        {"no_capacity", WorkerRefusal::kNoCapacity},
        {"already_here", WorkerRefusal::kAlreadyHere},
        {"unknown_task", WorkerRefusal::kUnknownTask},
    }};

constexpr std::array<std::pair<std::string_view, TaskResult>, 4> kResultNames{{
    {"done", TaskResult::kDone},
    {"failed", TaskResult::kFailed},
    {"evicted", TaskResult::kEvicted},
    {"lost", TaskResult::kLost},
}};

template <typename Table>
auto Lookup(const Table& table, const std::string& name)
    -> std::optional<decltype(table[0].second)> {
  for (const auto& [key, value] : table) {
    if (key == name)
      return value;
  }
  return std::nullopt;
}

int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

int64_t ToUnixMillis(WallTime time) {
  return ToMillis(time.time_since_epoch());
}

std::optional<uint64_t> ReadUnsigned(const Json& json, const char* key) {
  const auto found = json.find(key);
  if (found == json.end() || !found->is_number_unsigned())
    return std::nullopt;
  return found->get<uint64_t>();
}

std::string ReadText(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

Duration ReadMillis(const Json& json, const char* key) {
  const auto found = json.find(key);
  if (found == json.end() || !found->is_number_integer())
    return Duration(0);
  return std::chrono::milliseconds(found->get<int64_t>());
}

std::optional<TaskId> ReadTask(const Json& json) {
  const auto index = ReadUnsigned(json, "index");
  std::string job = ReadText(json, "job");
  if (!index || *index > UINT32_MAX || job.empty())
    return std::nullopt;
  return TaskId{JobId(std::move(job)), static_cast<uint32_t>(*index)};
}

std::optional<Resources> ReadResources(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found == json.end() ? Resources() : ResourcesFromJson(*found);
}

std::optional<WorkerLease> ReadLease(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto task = ReadTask(json);
  const auto attempt = ReadUnsigned(json, "attempt");
  const auto resources = ReadResources(json, "resources");
  const auto usage = ReadResources(json, "usage");
  if (!task || !attempt || !resources || !usage)
    return std::nullopt;
  WorkerLease lease;
  lease.task = *task;
  lease.attempt = Attempt(*attempt);
  lease.epoch = Epoch(ReadUnsigned(json, "epoch").value_or(0));
  lease.kind = TaskKind(ReadText(json, "kind"));
  lease.resources = *resources;
  lease.checkpointing = ReadText(json, "state") == "checkpointing";
  lease.throttle_percent = static_cast<uint32_t>(
      ReadUnsigned(json, "throttle_percent").value_or(100));
  lease.expires_in = ReadMillis(json, "expires_in_ms");
  lease.usage = *usage;
  lease.usage_age = ReadMillis(json, "usage_age_ms");
  return lease;
}

std::optional<TaskOutcome> ReadOutcome(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto task = ReadTask(json);
  const auto attempt = ReadUnsigned(json, "attempt");
  const auto result = Lookup(kResultNames, ReadText(json, "result"));
  if (!task || !attempt || !result)
    return std::nullopt;
  return TaskOutcome{*task, Attempt(*attempt), *result,
                     ReadText(json, "checkpoint")};
}

template <typename Item, typename Reader>
bool ReadList(const Json& json,
              const char* key,
              Reader read,
              std::vector<Item>& items) {
  const auto list = json.find(key);
  if (list == json.end() || !list->is_array())
    return false;
  for (const Json& element : *list) {
    auto item = read(element);
    if (!item)
      return false;
    items.push_back(std::move(*item));
  }
  return true;
}

Json TaskJson(const TaskId& task) {
  return {{"job", task.job.value()}, {"index", task.index}};
}

struct ActionRequest {
  const char* path;
  Json body = Json::object();
};

ActionRequest ToRequest(const FenceCommand&) {
  return {"/fence"};
}

ActionRequest ToRequest(const ListCommand&) {
  return {"/leases"};
}

ActionRequest ToRequest(const StartCommand& start) {
  Json body = TaskJson(start.task);
  body["attempt"] = start.attempt.value();
  body["kind"] = start.kind.value();
  body["resources"] = ResourcesToJson(start.resources);
  body["not_after_unix_ms"] = ToUnixMillis(start.not_after);
  body["lease_ms"] = ToMillis(start.lease);
  body["run_ms"] = ToMillis(start.run_time);
  body["checkpoint"] = start.checkpoint;
  body["latency_critical"] = start.latency_critical;
  return {"/start", std::move(body)};
}

ActionRequest ToRequest(const RenewCommand& renew) {
  return {"/renew",
          {{"lease_ms", ToMillis(renew.lease)},
           {"not_after_unix_ms", ToUnixMillis(renew.not_after)}}};
}

ActionRequest ToRequest(const ThrottleCommand& throttle) {
  Json body = TaskJson(throttle.task);
  body["percent"] = throttle.percent;
  return {"/throttle", std::move(body)};
}

ActionRequest ToRequest(const CheckpointCommand& checkpoint) {
  return {"/checkpoint", TaskJson(checkpoint.task)};
}

ActionRequest ToRequest(const StopCommand& stop) {
  return {"/stop", TaskJson(stop.task)};
}

ActionRequest ToRequest(const AckCommand& ack) {
  Json tasks = Json::array();
  for (const auto& [task, attempt] : ack.tasks) {
    Json item = TaskJson(task);
    item["attempt"] = attempt.value();
    tasks.push_back(std::move(item));
  }
  return {"/ack", {{"tasks", std::move(tasks)}}};
}

}  // namespace

Json ResourcesToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu.count()},
          {"memory_mib", resources.memory.count()},
          {"accelerators", resources.accelerators.count()}};
}

std::optional<Resources> ResourcesFromJson(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  for (const char* key : {"cpu_millis", "memory_mib", "accelerators"}) {
    if (json.contains(key) &&
        (!json[key].is_number_unsigned() ||
         json[key].get<uint64_t>() > static_cast<uint64_t>(INT32_MAX)))
      return std::nullopt;
  }
  return Resources{MilliCores(json.value("cpu_millis", int64_t{0})),
                   Mebibytes(json.value("memory_mib", int64_t{0})),
                   Accelerators(json.value("accelerators", int64_t{0}))};
}

HttpRequest MakeWorkerRequest(const std::string& base_path,
                              const WorkerCommand& command) {
  ActionRequest action = std::visit(
      [](const auto& value) { return ToRequest(value); }, command.action);
  HttpRequest request;
  request.path = base_path + action.path;
  if (std::holds_alternative<ListCommand>(command.action))
    return request;
  request.method = "POST";
  request.headers.push_back({"Content-Type", "application/json"});
  action.body["epoch"] = command.epoch.value();
  request.body = action.body.dump();
  return request;
}

std::optional<WorkerReport> ParseWorkerReport(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  const auto max_epoch = ReadUnsigned(json, "max_epoch");
  const auto capacity = ReadResources(json, "capacity");
  WorkerReport report;
  if (!max_epoch || !capacity ||
      !ReadList(json, "leases", ReadLease, report.leases) ||
      !ReadList(json, "finished", ReadOutcome, report.finished))
    return std::nullopt;
  report.max_epoch = Epoch(*max_epoch);
  report.capacity = *capacity;
  return report;
}

std::optional<WorkerRefusal> ParseWorkerRefusal(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  return Lookup(kRefusalNames, ReadText(json, "refused"));
}

}  // namespace cowslipmast
