#include "src/cli/job_file.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxJobIdLength = 128;
constexpr std::string_view kJobIdCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789.-_";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr uint64_t kMaxTasks = 100'000;
constexpr uint64_t kMaxRunMs = UINT32_MAX;  // 49 days; the API takes 32 bits
// Keeps sums of resources far below the limit of 64 bits.
constexpr uint64_t kMaxResourceAmount = 1'000'000'000'000;

const std::map<std::string, std::string JobRequest::*> kStringKeys = {
    {"id", &JobRequest::id},
    {"team", &JobRequest::team},
    {"kind", &JobRequest::kind}};
const std::map<std::string, uint64_t JobRequest::*> kNumberKeys = {
    {"task_count", &JobRequest::task_count},
    {"cpu_millis", &JobRequest::cpu_millis},
    {"memory_mib", &JobRequest::memory_mib},
    {"accelerators", &JobRequest::accelerators},
    {"run_ms", &JobRequest::run_ms}};
const std::map<std::string, bool JobRequest::*> kBoolKeys = {
    {"urgent", &JobRequest::urgent},
    {"latency_critical", &JobRequest::latency_critical}};

bool Fail(JobFileError& reason, std::string key, std::string expected) {
  reason = {std::move(key), std::move(expected)};
  return false;
}

bool ReadDataCentres(const Json& value, JobRequest& job, JobFileError& reason) {
  if (!value.is_array())
    return Fail(reason, "data_centres", "a list of names");
  for (const Json& item : value) {
    if (!item.is_string())
      return Fail(reason, "data_centres", "a list of names");
    job.data_centres.push_back(item.get<std::string>());
  }
  return true;
}

bool ReadKey(const std::string& key,
             const Json& value,
             JobRequest& job,
             JobFileError& reason) {
  if (const auto text = kStringKeys.find(key); text != kStringKeys.end()) {
    if (!value.is_string())
      return Fail(reason, key, "a string");
    job.*text->second = value.get<std::string>();
    return true;
  }
  if (const auto number = kNumberKeys.find(key); number != kNumberKeys.end()) {
    if (!value.is_number_unsigned())
      return Fail(reason, key, "a whole number of at least 0");
    job.*number->second = value.get<uint64_t>();
    return true;
  }
  if (key == "data_centres")
    return ReadDataCentres(value, job, reason);
  const auto flag = kBoolKeys.find(key);
  if (flag == kBoolKeys.end())
    return Fail(reason, key, "a known key");
  if (!value.is_boolean())
    return Fail(reason, key, "true or false");
  job.*flag->second = value.get<bool>();
  return true;
}

bool InRange(uint64_t value, uint64_t low, uint64_t high) {
  return value >= low && value <= high;
}

bool CheckSize(const std::string& key,
               uint64_t value,
               uint64_t low,
               uint64_t high,
               JobFileError& reason) {
  if (InRange(value, low, high))
    return true;
  return Fail(
      reason, key,
      "a number from " + std::to_string(low) + " to " + std::to_string(high));
}

}  // namespace

bool IsJobId(std::string_view text) {
  // "." and ".." in a URL path refer to another path.
  return !text.empty() && text.size() <= kMaxJobIdLength && text != "." &&
         text != ".." &&
         text.find_first_not_of(kJobIdCharacters) == std::string_view::npos;
}

std::optional<JobRequest> ParseJobFile(std::string_view text,
                                       JobFileError& reason) {
  const Json json = text.size() <= kMaxJobFileBytes
                        ? Json::parse(text, nullptr, false)
                        : Json(Json::value_t::discarded);
  if (!json.is_object()) {
    reason = {"file", "a JSON object of at most " +
                          std::to_string(kMaxJobFileBytes) + " bytes"};
    return std::nullopt;
  }
  JobRequest job;
  for (const auto& [key, value] : json.items()) {
    if (!ReadKey(key, value, job, reason))
      return std::nullopt;
  }
  return job;
}

bool CheckJob(const JobRequest& job, JobFileError& reason) {
  if (!job.id.empty() && !IsJobId(job.id))
    return Fail(reason, "id", "1 to 128 characters of A-Z a-z 0-9 . - _");
  if (job.team.empty())
    return Fail(reason, "team", "the id of a team");
  if (job.kind.empty())
    return Fail(reason, "kind", "a kind of task that the workers run");
  return CheckSize("task_count", job.task_count, 1, kMaxTasks, reason) &&
         CheckSize("cpu_millis", job.cpu_millis, 1, kMaxResourceAmount,
                   reason) &&
         CheckSize("memory_mib", job.memory_mib, 1, kMaxResourceAmount,
                   reason) &&
         CheckSize("accelerators", job.accelerators, 0, kMaxResourceAmount,
                   reason) &&
         CheckSize("run_ms", job.run_ms, 1, kMaxRunMs, reason);
}

std::string JobToJson(const JobRequest& job) {
  const Json json = {{"id", job.id},
                     {"team", job.team},
                     {"kind", job.kind},
                     {"task_count", job.task_count},
                     {"resources",
                      {{"cpu_millis", job.cpu_millis},
                       {"memory_mib", job.memory_mib},
                       {"accelerators", job.accelerators}}},
                     {"run_ms", job.run_ms},
                     {"urgent", job.urgent},
                     {"latency_critical", job.latency_critical},
                     {"data_centres", job.data_centres}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string MakeJobId() {
  std::random_device device;
  std::string id = "job-";
  for (int i = 0; i < 4; ++i) {
    uint32_t bits = device();
    for (int digit = 0; digit < 8; ++digit, bits >>= 4)
      id += kHexDigits[bits & 0xfU];
  }
  return id;
}

}  // namespace cowslipmast
