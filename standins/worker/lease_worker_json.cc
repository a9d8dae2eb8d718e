#include "standins/worker/lease_worker_json.h"

#include <chrono>
#include <limits>
#include <utility>

namespace cowslipmast::standins {

namespace {

// One year; keeps sums of times within the range of Duration.
constexpr uint64_t kMaxDurationMs = 365ULL * 24 * 3600 * 1000;

std::optional<Duration> ParseDurationMs(const Json& body, const char* name) {
  const auto ms = UnsignedField(body, name);
  if (!ms || *ms > kMaxDurationMs)
    return std::nullopt;
  return std::chrono::milliseconds(*ms);
}

std::optional<TaskRun> ParseTaskRun(const Json& body) {
  const auto task = ParseTask(body);
  const auto attempt = UnsignedField(body, "attempt");
  if (!task || !attempt)
    return std::nullopt;
  return TaskRun{*task, Attempt(*attempt)};
}

int64_t Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

Json LeaseToJson(const TaskLease& lease, TimePoint now) {
  return {{"job", lease.run.task.job.value()},
          {"index", lease.run.task.index},
          {"attempt", lease.run.attempt.value()},
          {"epoch", lease.epoch.value()},
          {"kind", lease.kind},
          {"resources", ResourcesToJson(lease.resources)},
          {"state", lease.checkpointed_at ? "checkpointing" : "running"},
          {"throttle_percent", lease.throttle_percent},
          {"expires_in_ms", Milliseconds(lease.expires_at - now)},
          {"usage", ResourcesToJson(lease.usage)},
          {"usage_age_ms", Milliseconds(now - lease.usage_at)}};
}

Json FinishedToJson(const FinishedTask& task) {
  return {{"job", task.run.task.job.value()},
          {"index", task.run.task.index},
          {"attempt", task.run.attempt.value()},
          {"result", LeaseOutcomeName(task.result)},
          {"checkpoint", task.checkpoint}};
}

}  // namespace

std::optional<Epoch> ParseEpoch(const Json& body) {
  const auto epoch = UnsignedField(body, "epoch");
  if (!epoch)
    return std::nullopt;
  return Epoch(*epoch);
}

std::optional<TaskId> ParseTask(const Json& body) {
  const auto job = StringField(body, "job");
  const auto index = UnsignedField(body, "index");
  if (!job || job->empty() || !index ||
      *index > std::numeric_limits<uint32_t>::max())
    return std::nullopt;
  return TaskId{JobId(*job), static_cast<uint32_t>(*index)};
}

std::optional<std::vector<TaskRun>> ParseTaskRuns(const Json& body) {
  const auto tasks = body.find("tasks");
  if (tasks == body.end() || !tasks->is_array())
    return std::nullopt;
  std::vector<TaskRun> runs;
  for (const Json& task : *tasks) {
    auto run = task.is_object() ? ParseTaskRun(task) : std::nullopt;
    if (!run)
      return std::nullopt;
    runs.push_back(std::move(*run));
  }
  return runs;
}

std::optional<StartTaskCommand> ParseStart(const Json& body) {
  const auto epoch = ParseEpoch(body);
  const auto run = ParseTaskRun(body);
  const auto kind = StringField(body, "kind");
  const auto not_after = UnsignedField(body, "not_after_unix_ms");
  const auto lease = ParseDurationMs(body, "lease_ms");
  const auto run_time = ParseDurationMs(body, "run_ms");
  if (!epoch || !run || !kind || !not_after || !lease || !run_time)
    return std::nullopt;
  if (!body.contains("resources") || !body["resources"].is_object())
    return std::nullopt;
  StartTaskCommand command;
  command.epoch = *epoch;
  command.run = *run;
  command.kind = *kind;
  command.resources = ResourcesFromJson(body["resources"]);
  command.not_after = WallTime(std::chrono::milliseconds(*not_after));
  command.lease = *lease;
  command.run_time = *run_time;
  command.checkpoint = StringField(body, "checkpoint").value_or("");
  command.latency_critical =
      BoolField(body, "latency_critical").value_or(false);
  return command;
}

Json LeasesToJson(const LeaseWorker& worker) {
  Json leases = Json::array();
  for (const TaskLease& lease : worker.leases())
    leases.push_back(LeaseToJson(lease, worker.now()));
  Json finished = Json::array();
  for (const FinishedTask& task : worker.finished())
    finished.push_back(FinishedToJson(task));
  return {{"worker", worker.vm().id.value()},
          {"max_epoch", worker.max_epoch().value()},
          {"capacity", ResourcesToJson(worker.vm().resources)},
          {"leases", std::move(leases)},
          {"finished", std::move(finished)}};
}

}  // namespace cowslipmast::standins
