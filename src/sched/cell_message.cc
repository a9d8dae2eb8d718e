#include "cowslipmast/sched/cell_message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "cowslipmast/sched/job_codec.h"
#include "src/core/cbor.h"
#include "src/core/strings.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

// Prefixes of stored keys; they must not change.
constexpr std::string_view kSubmissionPrefix = "j/";
constexpr std::string_view kCancellationPrefix = "x/";
constexpr std::string_view kTransferPrefix = "t/";
constexpr std::string_view kEndPrefix = "e/";
constexpr std::string_view kPartReportPrefix = "r/";
constexpr std::string_view kPartEndPrefix = "p/";
constexpr char kPartSeparator = '.';

std::string Key(std::string_view prefix, const JobId& job) {
  return std::string(prefix) + job.value();
}

json EncodeTask(const MovedTask& task, bool with_checkpoint) {
  return json::array({task.step, task.index, task.run.value(), task.failures,
                      with_checkpoint ? task.checkpoint : std::string(),
                      task.waited.count(), task.crashes.total,
                      task.crashes.blamed, task.crashes.proven, task.has_run});
}

MovedTask DecodeTask(const json& j) {
  // Earlier versions store neither the wait nor crashes, nor whether it has
  // run.
  CrashCount crashes;
  if (j.size() > 6)
    crashes.total = j.at(6).get<uint32_t>();
  // What earlier versions store is not proven.
  if (j.size() > 8) {
    crashes.blamed = j.at(7).get<uint32_t>();
    crashes.proven = j.at(8).get<uint32_t>();
  }
  return {.step = j.at(0).get<uint32_t>(),
          .index = j.at(1).get<uint32_t>(),
          .run = RunNumber(j.at(2).get<uint64_t>()),
          .failures = j.at(3).get<uint32_t>(),
          .checkpoint = j.at(4).get<std::string>(),
          .waited = Duration(j.size() > 5 ? j.at(5).get<int64_t>() : 0),
          .crashes = crashes,
          .has_run = j.size() > 9 && j.at(9).get<bool>()};
}

json EncodePositions(const std::vector<TaskPosition>& positions) {
  json encoded = json::array();
  for (const TaskPosition& position : positions)
    encoded.push_back({position.step, position.index});
  return encoded;
}

std::vector<TaskPosition> DecodePositions(const json& encoded) {
  std::vector<TaskPosition> positions;
  for (const json& position : encoded)
    positions.push_back(
        {position.at(0).get<uint32_t>(), position.at(1).get<uint32_t>()});
  return positions;
}

std::string ToBytes(const json& stored) {
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

// The iteration that a key names between its separator and the next '-'.
std::optional<uint32_t> ParseIteration(std::string_view key) {
  const size_t separator = key.find(kPartSeparator);
  if (separator == std::string_view::npos)
    return std::nullopt;
  const std::string_view part = key.substr(separator + 1);
  const auto number = ParseUnsigned(part.substr(0, part.find('-')));
  return number && *number <= UINT32_MAX
             ? std::optional(static_cast<uint32_t>(*number))
             : std::nullopt;
}

std::string EncodeTransfer(const JobTransfer& transfer, bool with_checkpoints) {
  json tasks = json::array();
  for (const MovedTask& task : transfer.tasks)
    tasks.push_back(EncodeTask(task, with_checkpoints));
  const std::string job = EncodeJob(transfer.job);
  json stored = {{"f", transfer.from.value()},
                 {"h", transfer.hop},
                 {"w", transfer.waited.count()},
                 {"t", std::move(tasks)},
                 {"j", json::binary({job.begin(), job.end()})}};
  if (transfer.done_tasks)
    stored["d"] = EncodePositions(*transfer.done_tasks);
  if (transfer.iteration != 0)
    stored["i"] = transfer.iteration;
  if (transfer.age != Duration(0))
    stored["u"] = transfer.age.count();
  if (transfer.coordinator)
    stored["o"] = transfer.coordinator->value();
  return ToBytes(stored);
}

}  // namespace

std::string SubmissionKey(const JobId& job) {
  return Key(kSubmissionPrefix, job);
}

std::string CancellationKey(const JobId& job) {
  return Key(kCancellationPrefix, job);
}

std::string TransferKey(const JobId& job, std::string_view part) {
  std::string key = Key(kTransferPrefix, job);
  if (!part.empty())
    key += kPartSeparator + std::string(part);
  return key;
}

std::string EndKey(const JobId& job) {
  return Key(kEndPrefix, job);
}

std::string PartReportKey(const JobId& job, uint32_t iteration, CellId from) {
  return Key(kPartReportPrefix, job) + kPartSeparator +
         std::to_string(iteration) + "-" + std::to_string(from.value());
}

std::string PartEndKey(const JobId& job, std::optional<uint32_t> iteration) {
  std::string key = Key(kPartEndPrefix, job);
  if (iteration)
    key += kPartSeparator + std::to_string(*iteration);
  return key;
}

std::optional<JobRecordKey> ParseJobRecordKey(std::string_view key) {
  const auto parse = [key](std::string_view prefix, JobRecordKind kind) {
    const std::string_view rest = key.substr(prefix.size());
    return JobRecordKey{
        kind, JobId(std::string(rest.substr(0, rest.find(kPartSeparator))))};
  };
  if (key.starts_with(kSubmissionPrefix))
    return parse(kSubmissionPrefix, JobRecordKind::kSubmission);
  if (key.starts_with(kCancellationPrefix))
    return parse(kCancellationPrefix, JobRecordKind::kCancellation);
  if (key.starts_with(kTransferPrefix))
    return parse(kTransferPrefix, JobRecordKind::kTransfer);
  if (key.starts_with(kEndPrefix))
    return parse(kEndPrefix, JobRecordKind::kEnd);
  for (const auto& [prefix, kind] :
       {std::pair(kPartReportPrefix, JobRecordKind::kPartReport),
        std::pair(kPartEndPrefix, JobRecordKind::kPartEnd)}) {
    if (!key.starts_with(prefix))
      continue;
    JobRecordKey parsed = parse(prefix, kind);
    parsed.iteration = ParseIteration(key);
    return parsed;
  }
  return std::nullopt;
}

std::string EncodeTransfer(const JobTransfer& transfer) {
  std::string bytes = EncodeTransfer(transfer, true);
  return bytes.size() <= kMaxRecordBytes ? bytes
                                         : EncodeTransfer(transfer, false);
}

std::optional<JobTransfer> DecodeTransfer(std::string_view bytes) {
  const json j = ParseCbor(bytes);
  if (!j.is_object())
    return std::nullopt;
  try {
    const auto& encoded = j.at("j").get_binary();
    auto job = DecodeJob(std::string(encoded.begin(), encoded.end()));
    if (!job)
      return std::nullopt;
    JobTransfer transfer{.job = std::move(*job),
                         .from = CellId(j.at("f").get<uint64_t>()),
                         .hop = j.at("h").get<uint32_t>(),
                         .waited = Duration(j.value("w", int64_t{0})),
                         .tasks = {}};
    for (const json& task : j.at("t"))
      transfer.tasks.push_back(DecodeTask(task));
    if (j.contains("d"))
      transfer.done_tasks = DecodePositions(j.at("d"));
    transfer.iteration = j.value("i", uint32_t{0});
    transfer.age = Duration(j.value("u", int64_t{0}));
    if (j.contains("o"))
      transfer.coordinator = CellId(j.at("o").get<uint64_t>());
    return transfer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodePartReport(const PartReport& report) {
  return ToBytes({{"f", report.from.value()},
                  {"i", report.iteration},
                  {"d", EncodePositions(report.done_tasks)}});
}

std::optional<PartReport> DecodePartReport(std::string_view bytes) {
  const json j = ParseCbor(bytes);
  if (!j.is_object())
    return std::nullopt;
  try {
    return PartReport{.from = CellId(j.at("f").get<uint64_t>()),
                      .iteration = j.at("i").get<uint32_t>(),
                      .done_tasks = DecodePositions(j.at("d"))};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeEnd(JobState state) {
  return std::string(JobStateName(state));
}

std::optional<JobState> DecodeEnd(std::string_view bytes) {
  for (const JobState state :
       {JobState::kCompleted, JobState::kFailed, JobState::kCancelled}) {
    if (JobStateName(state) == bytes)
      return state;
  }
  return std::nullopt;
}

}  // namespace cowslipmast::sched
