#include "src/sched/progress.h"
#include "cowslipmast/sched/job_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/core/cbor.h"
#include "src/core/strings.h"
#include "src/sched/assignment.h"
#include "src/sched/crash_proof.h"
#include "src/sched/job_parts.h"
#include "src/sched/jobs.h"
#include "src/sched/silent_ends.h"
#include "src/sched/stored_waits.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

// Codes in stored records; they must not change.
constexpr int kWaitingCode = 0;
constexpr int kPlacedCode = 1;
constexpr int kDoneCode = 2;
constexpr int kElsewhereCode = 3;

bool IsLeaving(const State& state, const Task& task) {
  return task.worker != kNoWorker &&
         HasAnnouncedLeaving(state.workers[static_cast<size_t>(task.worker)],
                             task.worker_start_time_ms);
}

// `is_suspect` is true if a worker has ended under a task of the step.
json EncodeTaskProgress(const State& state,
                        const Task& task,
                        bool is_suspect,
                        bool with_checkpoint) {
  if (task.phase == SchedulingPhase::kDone)
    return json(kDoneCode);
  json fields = json::array();
  const bool placed = task.worker != kNoWorker;
  const bool elsewhere = task.phase == SchedulingPhase::kElsewhere;
  fields.push_back(placed      ? kPlacedCode
                   : elsewhere ? kElsewhereCode
                               : kWaitingCode);
  fields.push_back(task.run.value());
  fields.push_back(task.failures);
  fields.push_back(with_checkpoint ? task.checkpoint : std::string());
  if (placed) {
    fields.push_back(
        state.workers[static_cast<size_t>(task.worker)].info.id.value());
  } else if (elsewhere) {
    fields.push_back(task.other_cell);
  }
  if (!placed && !is_suspect)
    return fields;
  if (!placed && !elsewhere)
    fields.push_back(nullptr);
  fields.push_back(task.crashes.total);
  fields.push_back(task.crashes.blamed);
  if (placed || is_suspect)
    fields.push_back(task.worker_start_time_ms);
  if (is_suspect) {
    fields.push_back(task.crashes.proven);
    // The end of an instance that leaves as planned proves nothing.
    fields.push_back(task.is_confirmed && !IsLeaving(state, task));
  }
  return fields;
}

// True if the record says no more of a waiting task than is known without it.
bool IsAsStored(const Task& task, const json& stored) {
  return stored.is_array() && stored.size() == 4 &&
         task.phase == SchedulingPhase::kBlocked &&
         stored.at(0).get<int>() == kWaitingCode &&
         stored.at(1).get<uint64_t>() == task.run.value() &&
         stored.at(2).get<uint32_t>() == task.failures &&
         stored.at(3).get_ref<const std::string&>() == task.checkpoint;
}

void ApplyTaskProgress(State& state, const TaskRef& ref, const json& stored) {
  // The transfer that brought the job here says so.
  if (ReadTask(ref).phase == SchedulingPhase::kDone)
    return;
  if (stored.is_number()) {
    SetTaskDone(ref);
    ref.iteration->job->may_have_started = true;
    NoteStart(*ref.iteration->job);
    return;
  }
  Task& task = TaskOf(ref);
  const RunNumber run(stored.at(1).get<uint64_t>());
  // A later transfer has brought the task back here.
  if (run < task.run)
    return;
  task.run = run;
  task.failures = stored.at(2).get<uint32_t>();
  task.checkpoint = stored.at(3).get<std::string>();
  // Earlier versions store no crashes.
  if (stored.size() > 6)
    task.crashes.total = stored.at(5).get<uint32_t>();
  // What earlier versions store is not proven.
  if (stored.size() > 9) {
    task.crashes.blamed = stored.at(6).get<uint32_t>();
    task.crashes.proven = stored.at(8).get<uint32_t>();
  }
  if (task.run > ref.iteration->job->base_run)
    ref.iteration->job->may_have_started = true;
  const int code = stored.at(0).get<int>();
  if (code == kElsewhereCode) {
    task.phase = SchedulingPhase::kElsewhere;
    task.other_cell = stored.at(4).get<uint32_t>();
    // Earlier versions store no list of them.
    if (task.other_cell != kThisCell)
      ref.iteration->job->part_cells.insert(CellId(task.other_cell));
  }
  if (code != kPlacedCode)
    return;
  const int32_t worker =
      GetOrCreateWorkerIndex(state, WorkerId(stored.at(4).get<std::string>()));
  AssignToWorker(state, ref, worker);
  if (stored.size() > 7)
    task.worker_start_time_ms = stored.at(7).get<int64_t>();
  if (stored.size() > 9)
    task.is_confirmed = stored.at(9).get<bool>();
  task.phase = SchedulingPhase::kRunning;
  // The worker keeps the pace that the previous owner has set.
  task.pace_percent = kUnknownPacePercent;
  // Any listing made under this owner's fence shows whether the run is present.
  task.visible_from = state.claimed_at;
}

bool ApplyStoredIteration(State& state,
                          Job& job,
                          uint32_t number,
                          const json& stored) {
  if (number >= IterationCount(job.spec))
    return false;
  if (IsDone(job, number))
    return true;
  Iteration& iteration =
      GetOrCreateIteration(state, job, number, state.claimed_at);
  if (const auto cells = stored.find("p"); cells != stored.end()) {
    for (const json& cell : *cells)
      iteration.part_cells.insert(CellId(cell.get<uint64_t>()));
    job.part_cells.insert(iteration.part_cells.begin(),
                          iteration.part_cells.end());
  }
  iteration.is_closed = stored.contains("z");
  const json& steps = stored.at("t");
  if (steps.size() != iteration.steps.size())
    return false;
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    StepState& step = iteration.steps[i];
    if (steps[i].size() != step.tasks.size())
      return false;
    for (uint32_t index = 0; index < step.tasks.size(); ++index) {
      const TaskRef ref{&iteration, i, index};
      if (!IsAsStored(ReadTask(ref), steps[i][index]))
        ApplyTaskProgress(state, ref, steps[i][index]);
    }
  }
  const auto silent_ends = stored.find("q");
  if (silent_ends != stored.end())
    ApplySilentEnds(state, iteration, *silent_ends);
  if (const auto waits = stored.find("w"); waits != stored.end())
    ApplyWaits(state, iteration, *waits);
  // The coordinator alone knows when an iteration is done.
  if (IsCoordinator(job) ? iteration.unfinished_steps == 0
                         : iteration.is_closed)
    NoteDone(job, number);
  return true;
}

std::optional<std::pair<JobId, uint32_t>> SplitKey(std::string_view key) {
  const size_t dot = key.rfind('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  const auto number = ParseUnsigned(key.substr(dot + 1));
  if (!number)
    return std::nullopt;
  return std::pair(JobId(std::string(key.substr(0, dot))),
                   static_cast<uint32_t>(*number));
}

}  // namespace

std::string ProgressKey(const JobId& id, uint32_t iteration) {
  return id.value() + "." + std::to_string(iteration);
}

namespace {

std::string EncodeIteration(const State& state,
                            const Iteration& iteration,
                            bool with_checkpoints) {
  json steps = json::array();
  for (const StepState& step : iteration.steps) {
    json tasks = json::array();
    const bool is_suspect =
        std::any_of(step.tasks.begin(), step.tasks.end(),
                    [](const Task& task) { return task.crashes.total > 0; });
    for (const Task& task : step.tasks)
      tasks.push_back(
          EncodeTaskProgress(state, task, is_suspect, with_checkpoints));
    steps.push_back(std::move(tasks));
  }
  json stored = {{"s", static_cast<int>(iteration.job->state)},
                 {"t", std::move(steps)}};
  const Job& job = *iteration.job;
  stored["b"] = job.has_started;
  if (job.moved_to)
    stored["m"] = {job.moved_to->value(), job.hop};
  for (const CellId cell : iteration.part_cells)
    stored["p"].push_back(cell.value());
  if (iteration.is_closed)
    stored["z"] = true;
  json silent_ends = EncodeSilentEnds(state, iteration);
  if (!silent_ends.empty())
    stored["q"] = std::move(silent_ends);
  json waits = EncodeWaits(state, iteration);
  if (!waits.empty())
    stored["w"] = std::move(waits);
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

ProgressRecord EncodeProgress(const State& state, const Iteration& iteration) {
  ProgressRecord record{ProgressKey(iteration.job->spec.id, iteration.number),
                        EncodeIteration(state, iteration, true)};
  if (record.key.size() + record.value.size() > kMaxRecordBytes)
    record.value = EncodeIteration(state, iteration, false);
  return record;
}

bool ApplyProgress(State& state, const ProgressRecord& record) {
  const auto key = SplitKey(record.key);
  if (!key)
    return false;
  const auto found = state.jobs.find(key->first);
  if (found == state.jobs.end())
    return false;
  Job& job = *found->second;
  const json stored = ParseCbor(record.value);
  if (stored.is_discarded())
    return false;
  try {
    const auto end = static_cast<JobState>(stored.at("s").get<int>());
    if (end == JobState::kFailed || end == JobState::kCancelled ||
        end == JobState::kCompleted)
      job.state = end;
    // A job that was received with a higher hop number has come back since.
    const auto moved = stored.find("m");
    if (moved != stored.end() && moved->at(1).get<uint32_t>() >= job.hop) {
      job.moved_to = CellId(moved->at(0).get<uint64_t>());
      job.hop = moved->at(1).get<uint32_t>();
    }
    if (!ApplyStoredIteration(state, job, key->second, stored))
      return false;
    // Earlier versions do not store whether the job has started.
    const auto has_started = stored.find("b");
    if (has_started == stored.end() ? job.may_have_started
                                    : has_started->get<bool>())
      NoteStart(job);
    ForgetDoneIteration(state, job, key->second);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace cowslipmast::sched
