#include "src/daemon/job_view_json.h"

#include <string>
#include <utility>

#include "src/daemon/job_json.h"
#include "src/net/worker_json.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

Json TaskCounts(const JobEntry& job, const DataCentreState& data_centre) {
  uint32_t done = 0;
  uint32_t failed = 0;
  uint64_t attempts = 0;
  for (const auto& [index, progress] : ProgressOf(job, data_centre)) {
    const bool gave_up =
        progress.failed ||
        (!progress.finished && progress.failures >= kMaxTaskFailures);
    failed += gave_up ? 1 : 0;
    done += progress.finished && !gave_up ? 1 : 0;
    attempts += progress.attempt.value();
  }
  return {{"done", done},
          {"failed", failed},
          {"unfinished", job.spec.task_count - done - failed},
          {"attempts_ended", attempts}};
}

const char* EndStateName(const EndedJob& job) {
  if (job.cancelled)
    return "cancelled";
  return job.failed > 0 ? "failed" : "done";
}

const char* StateName(VmServiceState state) {
  switch (state) {
    case VmServiceState::kInService:
      return "in_service";
    case VmServiceState::kDraining:
      return "draining";
    case VmServiceState::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

Json WorkerToJson(const TrackedWorker& worker, TimePoint now) {
  Json json{{"listed", worker.in_vm_list},
            {"state", StateName(worker.state)},
            {"fenced", worker.fenced},
            {"silent", worker.unreachable},
            {"capacity", ResourcesToJson(worker.capacity)},
            {"counted", ResourcesToJson(worker.reserved)},
            {"tasks", worker.tasks.size()},
            {"unwanted_tasks", worker.unexpected.size()},
            {"failed_starts", worker.failed_starts}};
  if (worker.listed_at)
    json["list_age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - *worker.listed_at)
                              .count();
  return json;
}

Json PlaceToJson(const TaskAssignment& place) {
  return {{"job", place.task.job.value()},
          {"index", place.task.index},
          {"attempt", place.attempt.value()},
          {"worker", place.worker.value()},
          {"phase", TaskPhaseName(place.phase)},
          {"lease", LeasePhaseName(place.lease)},
          {"throttle_percent", place.throttle_percent}};
}

}  // namespace

Json JobToJson(const JobEntry& job, const DataCentreState* data_centre) {
  Json json{{"spec", JobSpecToJson(job.spec)}, {"cancelled", job.cancelled}};
  if (job.data_centre)
    json["data_centre"] = job.data_centre->value();
  if (data_centre)
    json["tasks"] = TaskCounts(job, *data_centre);
  return json;
}

Json EndedJobToJson(const EndedJob& job) {
  return {{"id", job.id.value()},
          {"ended", true},
          {"state", EndStateName(job)},
          {"cancelled", job.cancelled},
          {"tasks",
           {{"done", job.done}, {"failed", job.failed}, {"unfinished", 0}}}};
}

Json PlacementToJson(const PlacementState& placement, TimePoint now) {
  Json workers = Json::object();
  for (const auto& [id, worker] : placement.workers)
    workers[id.value()] = WorkerToJson(worker, now);
  Json tasks = Json::array();
  for (const auto& [id, place] : placement.assignments)
    tasks.push_back(PlaceToJson(place));
  size_t waiting = 0;
  for (const auto& [id, job] : placement.jobs)
    waiting += job.waiting.size();
  return {{"epoch", placement.epoch.value()},
          {"settled", placement.all_leases_known_at.has_value()},
          {"superseded", placement.superseded},
          {"jobs", placement.jobs.size()},
          {"waiting_tasks", waiting},
          {"unplaced_jobs", placement.unplaced.size()},
          {"workers", std::move(workers)},
          {"tasks", std::move(tasks)}};
}

}  // namespace cowslipmast
