#include "tests/sched/simulated_cells.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cowslipmast::sched {

namespace {

constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
constexpr Duration kRepetitionDelay = std::chrono::seconds(5);
// Racks are numbered so that each cell gets its own ones.
constexpr size_t kWorkersPerRack = 8;

// Tasks that a message names as done.
std::vector<TaskName> DoneTasks(const CellMessage& message) {
  std::vector<TaskName> tasks;
  const auto key = ParseJobRecordKey(message.key);
  const auto add = [&](uint32_t iteration,
                       const std::vector<TaskPosition>& positions) {
    for (const TaskPosition& done : positions)
      tasks.push_back({key->job, iteration, done.step, done.index});
  };
  if (key->kind == JobRecordKind::kTransfer) {
    const auto transfer = DecodeTransfer(message.value);
    if (transfer->done_tasks)
      add(0, *transfer->done_tasks);
  } else if (key->kind == JobRecordKind::kPartReport) {
    const auto report = DecodePartReport(message.value);
    add(report->iteration, report->done_tasks);
  }
  return tasks;
}

// The end of one member of a gang is that of all.
std::vector<TaskName> MembersOf(const TaskName& task, const StepSpec& step) {
  if (!step.gang)
    return {task};
  std::vector<TaskName> members;
  for (uint32_t i = 0; i < step.count; ++i)
    members.push_back({task.job, task.iteration, task.step, i});
  return members;
}

}  // namespace

SimulatedCells::SimulatedCells(uint32_t cells,
                               int workers_per_cell,
                               int64_t cores,
                               const SchedulerFeatures& features)
    : m_layout{kLayoutVersion, cells} {
  for (uint32_t i = 0; i < cells; ++i) {
    SchedulerOptions options;
    options.features = features;
    options.cell = CellId(i);
    options.layout = m_layout;
    m_cells.push_back(std::make_unique<SimulatedCell>(options));
    m_cells.back()->AddWorkers(workers_per_cell, cores, 256000,
                               i * 1000 * kWorkersPerRack);
    m_cells.back()->is_done_elsewhere = [this](const TaskName& task) {
      return IsDone(task);
    };
  }
}

void SimulatedCells::SetQueue(const std::string& queue,
                              const QueuePolicy& policy) {
  for (const auto& cell : m_cells)
    cell->SetQueue(queue, policy);
}

void SimulatedCells::SetWorkspace(const std::string& workspace,
                                  const WorkspacePolicy& policy) {
  for (const auto& cell : m_cells)
    cell->SetWorkspace(workspace, policy);
}

size_t SimulatedCells::HomeOf(const std::string& job) const {
  return CellOfJob(m_layout, JobId(job)).value();
}

std::string SimulatedCells::MakeIdFor(size_t cell, const std::string& prefix) {
  std::string id;
  do {
    id = prefix + std::to_string(m_next_id++);
  } while (HomeOf(id) != cell);
  return id;
}

void SimulatedCells::Submit(const JobDefinition& job) {
  m_jobs.emplace(job.id, job);
  m_cells[HomeOf(job.id.value())]->Submit(job);
}

void SimulatedCells::Cancel(const std::string& job) {
  m_cancelled.insert(JobId(job));
  m_cells[HomeOf(job)]->Cancel(job);
}

void SimulatedCells::Run(Duration duration) {
  const TimePoint end = m_cells[0]->now() + duration;
  while (m_cells[0]->now() < end)
    Advance();
}

void SimulatedCells::ExchangeLoads() {
  const TimePoint now = m_cells[0]->now();
  std::vector<CellLoad> loads;
  for (const auto& cell : m_cells) {
    if (cell->has_owner())
      loads.push_back(cell->scheduler().Load(now));
  }
  for (size_t i = 0; i < m_cells.size(); ++i) {
    if (!m_cells[i]->has_owner())
      continue;
    std::vector<CellLoad> others = loads;
    std::erase_if(others, [this, i](const CellLoad& load) {
      return load.cell == CellId(i) ||
             (load_arrives && !load_arrives(load.cell.value(), i));
    });
    m_cells[i]->scheduler().SetCellLoads(std::move(others), now);
  }
}

void SimulatedCells::Advance() {
  for (const auto& cell : m_cells)
    cell->Advance();
  const TimePoint now = m_cells[0]->now();
  for (const auto& cell : m_cells) {
    for (CellMessage& message : cell->TakeMessages()) {
      if (repeats_messages)
        m_in_transit.push_back({now + kRepetitionDelay, message});
      const Duration extra =
          extra_message_delay ? extra_message_delay() : Duration(0);
      m_in_transit.push_back({now + message_delay + extra, std::move(message)});
    }
  }
  std::erase_if(m_in_transit, [&](const MessageInTransit& entry) {
    if (entry.arrives > now)
      return false;
    CheckDoneTasks(entry.message);
    m_cells[entry.message.to.value()]->Deliver(entry.message);
    return true;
  });
  if (now >= m_next_exchange) {
    m_next_exchange = now + kLoadInterval;
    ExchangeLoads();
  }
  CheckRuns();
}

// No message names a task as done that has not been done in any cell.
void SimulatedCells::CheckDoneTasks(const CellMessage& message) {
  for (const TaskName& task : DoneTasks(message)) {
    const std::vector<TaskName> members =
        MembersOf(task, m_jobs.at(task.job).steps[task.step]);
    // An owner may have read an end whose worker is lost before its
    // acknowledgement; only the owner knows then.
    if (std::none_of(members.begin(), members.end(), [this](const auto& m) {
          return IsDone(m) || IsPossiblyDone(m);
        }))
      m_violations.push_back("named as done: " + task.job.value());
  }
}

void SimulatedCells::CheckRuns() {
  std::map<TaskName, size_t> cell_of;
  for (size_t i = 0; i < m_cells.size(); ++i) {
    for (size_t w = 0; w < m_cells[i]->worker_count(); ++w) {
      const SimulatedWorker& worker = m_cells[i]->worker(w);
      if (!worker.up)
        continue;
      for (const auto& [task, run] : worker.running) {
        const auto [entry, added] = cell_of.emplace(task, i);
        if (!added && entry->second != i)
          m_violations.push_back("runs in two cells: " + task.job.value());
        if (IsDone(task))
          m_violations.push_back("runs after it was done: " + task.job.value());
      }
    }
  }
}

bool SimulatedCells::IsDone(const TaskName& task) const {
  return std::any_of(m_cells.begin(), m_cells.end(), [&task](const auto& cell) {
    return cell->observations().done.count(task) > 0;
  });
}

bool SimulatedCells::IsPossiblyDone(const TaskName& task) const {
  return std::any_of(m_cells.begin(), m_cells.end(), [&task](const auto& cell) {
    return cell->observations().possibly_done.count(task) > 0;
  });
}

std::optional<JobState> SimulatedCells::StateOf(const std::string& job) const {
  size_t cell = HomeOf(job);
  std::optional<JobState> state;
  for (size_t i = 0; i <= m_cells.size(); ++i) {
    const auto status = m_cells[cell]->scheduler().StatusOf(JobId(job));
    if (!status)
      break;
    state = status->state;
    if (!status->moved_to)
      break;
    cell = status->moved_to->value();
  }
  return state;
}

size_t SimulatedCells::CountRunning(const std::string& job) const {
  size_t count = 0;
  for (const auto& cell : m_cells)
    count += cell->CountRunning(job);
  return count;
}

Resources SimulatedCells::RunningOf(const std::string& workspace) const {
  Resources sum;
  for (const auto& cell : m_cells) {
    for (size_t w = 0; w < cell->worker_count(); ++w) {
      if (!cell->worker(w).up)
        continue;
      for (const auto& [task, run] : cell->worker(w).running) {
        const JobDefinition& job = m_jobs.at(task.job);
        if (job.workspace == WorkspaceId(workspace))
          sum += job.steps[task.step].need;
      }
    }
  }
  return sum;
}

std::vector<std::string> SimulatedCells::Violations() const {
  std::vector<std::string> all = m_violations;
  for (const auto& cell : m_cells) {
    const auto& own = cell->observations().violations;
    all.insert(all.end(), own.begin(), own.end());
  }
  return all;
}

}  // namespace cowslipmast::sched
