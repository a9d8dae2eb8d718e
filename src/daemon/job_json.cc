#include "src/daemon/job_json.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/net/worker_json.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 9> kSubmissionKeys{
    "id",          "team",   "kind",   "task_count",
    "resources",   "run_ms", "urgent", "latency_critical",
    "data_centres"};

bool Fail(JobJsonErrorKind kind, std::string key, JobJsonError& reason) {
  reason = {kind, std::move(key)};
  return false;
}

bool HasOnlyKnownKeys(const Json& json, JobJsonError& reason) {
  for (const auto& item : json.items()) {
    if (std::find(kSubmissionKeys.begin(), kSubmissionKeys.end(), item.key()) ==
        kSubmissionKeys.end())
      return Fail(JobJsonErrorKind::kUnknownKey, item.key(), reason);
  }
  return true;
}

bool ReadText(const Json& json,
              const char* key,
              std::string& text,
              JobJsonError& reason) {
  const auto found = json.find(key);
  if (found == json.end())
    return Fail(JobJsonErrorKind::kMissingKey, key, reason);
  if (!found->is_string())
    return Fail(JobJsonErrorKind::kWrongType, key, reason);
  text = found->get<std::string>();
  return true;
}

bool ReadCount(const Json& json,
               const char* key,
               uint32_t& count,
               JobJsonError& reason) {
  const auto found = json.find(key);
  if (found == json.end())
    return Fail(JobJsonErrorKind::kMissingKey, key, reason);
  if (!found->is_number_unsigned() || found->get<uint64_t>() > UINT32_MAX)
    return Fail(JobJsonErrorKind::kWrongType, key, reason);
  count = found->get<uint32_t>();
  return true;
}

bool ReadFlag(const Json& json,
              const char* key,
              bool& flag,
              JobJsonError& reason) {
  const auto found = json.find(key);
  if (found == json.end())
    return true;
  if (!found->is_boolean())
    return Fail(JobJsonErrorKind::kWrongType, key, reason);
  flag = found->get<bool>();
  return true;
}

bool ReadResources(const Json& json,
                   Resources& resources,
                   JobJsonError& reason) {
  const auto found = json.find("resources");
  if (found == json.end())
    return Fail(JobJsonErrorKind::kMissingKey, "resources", reason);
  const auto read = ResourcesFromJson(*found);
  if (!read)
    return Fail(JobJsonErrorKind::kWrongType, "resources", reason);
  resources = *read;
  return true;
}

bool ReadDataCentres(const Json& json,
                     std::vector<DataCentreId>& data_centres,
                     JobJsonError& reason) {
  const auto found = json.find("data_centres");
  if (found == json.end())
    return true;
  if (!found->is_array())
    return Fail(JobJsonErrorKind::kWrongType, "data_centres", reason);
  for (const Json& item : *found) {
    if (!item.is_string())
      return Fail(JobJsonErrorKind::kWrongType, "data_centres", reason);
    data_centres.emplace_back(item.get<std::string>());
  }
  return true;
}

bool ReadSpec(const Json& json, JobSpec& spec, JobJsonError& reason) {
  std::string id;
  std::string team;
  std::string kind;
  uint32_t run_ms = 0;
  if (!ReadText(json, "id", id, reason) ||
      !ReadText(json, "team", team, reason) ||
      !ReadText(json, "kind", kind, reason) ||
      !ReadCount(json, "task_count", spec.task_count, reason) ||
      !ReadResources(json, spec.resources, reason) ||
      !ReadCount(json, "run_ms", run_ms, reason) ||
      !ReadFlag(json, "urgent", spec.urgent, reason) ||
      !ReadFlag(json, "latency_critical", spec.latency_critical, reason) ||
      !ReadDataCentres(json, spec.data_centres, reason))
    return false;
  spec.id = JobId(std::move(id));
  spec.team = TeamId(std::move(team));
  spec.kind = TaskKind(std::move(kind));
  spec.run_time = std::chrono::milliseconds(run_ms);
  return true;
}

}  // namespace

Json JobSpecToJson(const JobSpec& spec) {
  Json data_centres = Json::array();
  for (const DataCentreId& id : spec.data_centres)
    data_centres.push_back(id.value());
  const auto run_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(spec.run_time);
  return {{"id", spec.id.value()},
          {"team", spec.team.value()},
          {"kind", spec.kind.value()},
          {"task_count", spec.task_count},
          {"resources", ResourcesToJson(spec.resources)},
          {"run_ms", run_ms.count()},
          {"urgent", spec.urgent},
          {"latency_critical", spec.latency_critical},
          {"data_centres", std::move(data_centres)}};
}

std::optional<JobSpec> JobSpecFromJson(const std::string& body,
                                       JobJsonError& reason) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    reason = {JobJsonErrorKind::kSyntax, ""};
    return std::nullopt;
  }
  JobSpec spec;
  if (!HasOnlyKnownKeys(json, reason) || !ReadSpec(json, spec, reason))
    return std::nullopt;
  return spec;
}

std::string_view JobJsonErrorName(JobJsonErrorKind kind) {
  switch (kind) {
    case JobJsonErrorKind::kSyntax:
      return "syntax";
    case JobJsonErrorKind::kMissingKey:
      return "missing_key";
    case JobJsonErrorKind::kUnknownKey:
      return "unknown_key";
    case JobJsonErrorKind::kWrongType:
      return "wrong_type";
  }
  return "unknown";
}

std::string_view SubmissionErrorName(SubmissionErrorKind kind) {
  switch (kind) {
    case SubmissionErrorKind::kBadId:
      return "bad_id";
    case SubmissionErrorKind::kBadTaskCount:
      return "bad_task_count";
    case SubmissionErrorKind::kBadResources:
      return "bad_resources";
    case SubmissionErrorKind::kUnknownTeam:
      return "unknown_team";
    case SubmissionErrorKind::kUnknownDataCentre:
      return "unknown_data_centre";
    case SubmissionErrorKind::kTooLargeForAnyWorker:
      return "too_large_for_any_worker";
  }
  return "unknown";
}

}  // namespace cowslipmast
