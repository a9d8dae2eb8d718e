#include "src/scheduler_process/cell_load_codec.h"

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

json EncodePieces(const std::vector<Resources>& pieces) {
  json encoded = json::array();
  for (const Resources& piece : pieces)
    encoded.push_back(
        {piece.cpu.count(), piece.memory.count(), piece.accelerators.count()});
  return encoded;
}

// A process of an earlier version tells none.
std::vector<Resources> DecodePieces(const json& j, const char* name) {
  std::vector<Resources> pieces;
  const auto encoded = j.find(name);
  if (encoded == j.end())
    return pieces;
  for (const json& piece : *encoded)
    pieces.push_back({MilliCores(piece.at(0).get<int64_t>()),
                      Mebibytes(piece.at(1).get<int64_t>()),
                      Accelerators(piece.at(2).get<int64_t>())});
  return pieces;
}

json EncodeLostTasks(const std::vector<LostTask>& tasks) {
  json encoded = json::array();
  for (const LostTask& task : tasks)
    encoded.push_back({task.need.cpu.count(), task.need.memory.count(),
                       task.need.accelerators.count(), task.priority,
                       task.waited / std::chrono::milliseconds(1), task.label});
  return encoded;
}

// A process of an earlier version tells none.
std::vector<LostTask> DecodeLostTasks(const json& service, const char* name) {
  std::vector<LostTask> tasks;
  const auto encoded = service.find(name);
  if (encoded == service.end())
    return tasks;
  for (const json& task : *encoded)
    tasks.push_back(
        {.need = {MilliCores(task.at(0).get<int64_t>()),
                  Mebibytes(task.at(1).get<int64_t>()),
                  Accelerators(task.at(2).get<int64_t>())},
         .priority = task.at(3).get<uint32_t>(),
         .waited = std::chrono::milliseconds(task.at(4).get<int64_t>()),
         .label = task.at(5).get<std::string>()});
  return tasks;
}

std::optional<uint32_t> DecodeLostTaskCount(const json& service) {
  const auto count = service.find("lost_task_count");
  return count == service.end() ? std::nullopt
                                : std::optional(count->get<uint32_t>());
}

json EncodeLabels(const std::map<std::string, LabelLoad>& labels) {
  json encoded = json::object();
  for (const auto& [label, load] : labels)
    encoded[label] = {{"free_pieces", EncodePieces(load.free_pieces)},
                      {"reclaimable", EncodePieces(load.reclaimable)},
                      {"worker_sizes", EncodePieces(load.worker_sizes)}};
  return encoded;
}

std::map<std::string, LabelLoad> DecodeLabels(const json& service) {
  std::map<std::string, LabelLoad> labels;
  const auto encoded = service.find("by_label");
  if (encoded == service.end())
    return labels;
  for (const auto& [label, load] : encoded->items())
    labels[label] = {.free_pieces = DecodePieces(load, "free_pieces"),
                     .reclaimable = DecodePieces(load, "reclaimable"),
                     .worker_sizes = DecodePieces(load, "worker_sizes")};
  return labels;
}

json EncodeService(const ServiceLoad& load) {
  return {{"service", load.service.value()},
          {"workers", load.workers},
          {"capacity", load.capacity.count()},
          {"reserved", load.reserved.count()},
          {"long_running", load.long_running.count()},
          {"waiting", load.waiting.count()},
          {"waiting_long_running", load.waiting_long_running.count()},
          {"waiting_best_effort", load.waiting_best_effort.count()},
          {"idle", load.idle.count()},
          {"labels", load.labels},
          {"free_pieces", EncodePieces(load.free_pieces)},
          {"kept_places", EncodeLostTasks(load.kept_places)},
          {"reclaimable", EncodePieces(load.reclaimable)},
          {"lost_tasks", EncodeLostTasks(load.lost_tasks)},
          {"lost_task_count", load.lost_task_count.value_or(0)},
          {"worker_sizes", EncodePieces(load.worker_sizes)},
          {"by_label", EncodeLabels(load.by_label)}};
}

ServiceLoad DecodeService(const json& j) {
  const auto cpu = [&j](const char* name) {
    return MilliCores(j.at(name).get<int64_t>());
  };
  return {.service = ServiceId(j.at("service").get<std::string>()),
          .workers = j.at("workers").get<uint32_t>(),
          .capacity = cpu("capacity"),
          .reserved = cpu("reserved"),
          .long_running = cpu("long_running"),
          .waiting = cpu("waiting"),
          .waiting_long_running = cpu("waiting_long_running"),
          .waiting_best_effort = cpu("waiting_best_effort"),
          .idle = cpu("idle"),
          .labels = j.at("labels").get<std::vector<std::string>>(),
          .free_pieces = DecodePieces(j, "free_pieces"),
          .kept_places = DecodeLostTasks(j, "kept_places"),
          .reclaimable = DecodePieces(j, "reclaimable"),
          .lost_tasks = DecodeLostTasks(j, "lost_tasks"),
          .lost_task_count = DecodeLostTaskCount(j),
          .worker_sizes = DecodePieces(j, "worker_sizes"),
          .by_label = DecodeLabels(j)};
}

}  // namespace

std::string EncodeCellLoad(const CellLoad& load) {
  json services = json::array();
  for (const ServiceLoad& service : load.services)
    services.push_back(EncodeService(service));
  json waiting = json::array();
  for (const QueueWaiting& entry : load.waiting)
    waiting.push_back({entry.queue.value(), entry.jobs});
  return json{{"cell", load.cell.value()},
              {"services", std::move(services)},
              {"waiting", std::move(waiting)}}
      .dump();
}

std::optional<CellLoad> DecodeCellLoad(std::string_view bytes) {
  const json j = json::parse(bytes, nullptr, false);
  if (!j.is_object())
    return std::nullopt;
  try {
    CellLoad load{.cell = CellId(j.at("cell").get<uint64_t>()),
                  .services = {},
                  .waiting = {}};
    for (const json& service : j.at("services"))
      load.services.push_back(DecodeService(service));
    for (const json& entry : j.at("waiting"))
      load.waiting.push_back({QueueId(entry.at(0).get<std::string>()),
                              entry.at(1).get<uint64_t>()});
    return load;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslipmast::sched
