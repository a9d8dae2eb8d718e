#include "cowslipmast/sched/job_codec.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "src/core/cbor.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

// Version of the encoding. A later one may add keys but must not change these.
constexpr int kVersion = 1;
// Of one iteration; a record with more is not ours.
constexpr uint64_t kMaxTasks = 1'000'000;

json EncodeStep(const StepSpec& step) {
  json j = {{"n", step.count},
            {"c", step.need.cpu.count()},
            {"m", step.need.memory.count()},
            {"g", step.need.accelerators.count()},
            {"e", step.estimate.count()}};
  // Defaults are left out: most steps set few of these.
  if (!step.depends_on.empty())
    j["d"] = step.depends_on;
  if (step.checkpointing)
    j["cp"] = true;
  if (step.gang)
    j["ga"] = true;
  if (step.same_rack)
    j["sr"] = true;
  if (step.speculative)
    j["sp"] = true;
  if (step.long_running)
    j["la"] = true;
  if (step.best_effort)
    j["fi"] = true;
  if (!step.label.empty())
    j["lb"] = step.label;
  if (!step.data_rack.empty())
    j["dr"] = step.data_rack.value();
  if (step.max_per_worker != 0)
    j["mw"] = step.max_per_worker;
  if (!step.image.empty())
    j["im"] = step.image.value();
  if (step.latency_target.count() != 0)
    j["lt"] = step.latency_target.count();
  if (step.max_unavailable != 0)
    j["mm"] = step.max_unavailable;
  return j;
}

StepSpec DecodeStep(const json& j) {
  StepSpec step;
  step.count = j.at("n").get<uint32_t>();
  step.need.cpu = MilliCores(j.at("c").get<int64_t>());
  step.need.memory = Mebibytes(j.at("m").get<int64_t>());
  step.need.accelerators = Accelerators(j.at("g").get<int64_t>());
  step.estimate = Duration(j.at("e").get<int64_t>());
  step.depends_on = j.value("d", std::vector<uint32_t>());
  step.checkpointing = j.value("cp", false);
  step.gang = j.value("ga", false);
  step.same_rack = j.value("sr", false);
  step.speculative = j.value("sp", false);
  step.long_running = j.value("la", false);
  step.best_effort = j.value("fi", false);
  step.label = j.value("lb", std::string());
  step.data_rack = RackId(j.value("dr", std::string()));
  step.max_per_worker = j.value("mw", 0U);
  step.image = ImageId(j.value("im", std::string()));
  step.latency_target = Duration(j.value("lt", int64_t{0}));
  step.max_unavailable = j.value("mm", 0U);
  return step;
}

json EncodePolicy(const QueuePolicy& policy) {
  return {policy.service.value(), policy.priority, policy.max_attempts,
          policy.critical_path_factor, policy.objective_offset.count()};
}

QueuePolicy DecodePolicy(const json& j) {
  return {.service = ServiceId(j.at(0).get<std::string>()),
          .priority = j.at(1).get<uint32_t>(),
          .max_attempts = j.at(2).get<uint32_t>(),
          .critical_path_factor = j.at(3).get<double>(),
          .objective_offset = Duration(j.at(4).get<int64_t>())};
}

}  // namespace

std::string EncodeJob(const JobDefinition& spec) {
  json steps = json::array();
  for (const StepSpec& step : spec.steps)
    steps.push_back(EncodeStep(step));
  json j = {{"v", kVersion},
            {"id", spec.id.value()},
            {"q", spec.queue.value()},
            {"p", spec.payload},
            {"s", std::move(steps)},
            {"a", spec.accepted.time_since_epoch().count()}};
  if (spec.iterations != 0) {
    j["i"] = spec.iterations;
    j["f"] = spec.first_due.time_since_epoch().count();
    j["ev"] = spec.interval.count();
  }
  if (spec.accepted_policy)
    j["qp"] = EncodePolicy(*spec.accepted_policy);
  if (!spec.workspace.empty())
    j["ws"] = spec.workspace.value();
  const std::vector<uint8_t> bytes = json::to_cbor(j);
  return {bytes.begin(), bytes.end()};
}

std::optional<JobDefinition> DecodeJob(std::string_view bytes) {
  const json j = ParseCbor(bytes);
  if (j.is_discarded())
    return std::nullopt;
  try {
    if (j.at("v").get<int>() != kVersion)
      return std::nullopt;
    JobDefinition spec;
    spec.id = JobId(j.at("id").get<std::string>());
    spec.queue = QueueId(j.at("q").get<std::string>());
    spec.payload = j.at("p").get<std::string>();
    for (const json& step : j.at("s"))
      spec.steps.push_back(DecodeStep(step));
    uint64_t tasks = 0;
    for (const StepSpec& step : spec.steps)
      tasks += step.count;
    if (tasks > kMaxTasks)
      return std::nullopt;
    spec.accepted = WallTime(Duration(j.at("a").get<int64_t>()));
    spec.iterations = j.value("i", 0U);
    spec.first_due = WallTime(Duration(j.value("f", int64_t{0})));
    spec.interval = Duration(j.value("ev", int64_t{0}));
    if (const auto policy = j.find("qp"); policy != j.end())
      spec.accepted_policy = DecodePolicy(*policy);
    spec.workspace = WorkspaceId(j.value("ws", std::string()));
    return spec;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslipmast::sched
