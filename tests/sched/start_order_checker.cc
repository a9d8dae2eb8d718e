#include "tests/sched/start_order_checker.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTolerance = milliseconds(300);
// A listing, a plan and the time after which a task is overdue.
constexpr Duration kUntilEndIsKnown = milliseconds(3000);
constexpr Duration kUntilEndIsListed = milliseconds(1000);
// A lease by the slowest clock, the same and a plan.
constexpr Duration kUntilLossIsKnown = milliseconds(9500);
constexpr Duration kUntilLeasesOfOwnerBeforeEnd = milliseconds(12500);
constexpr Duration kUntilFreeIsKnown = milliseconds(1500);

std::string Describe(const TaskName& task) {
  return task.job.value() + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

std::string Milliseconds(Duration duration) {
  return std::to_string(duration / milliseconds(1)) + " ms";
}

}  // namespace

void StartOrderChecker::RemoveJob(const JobId& job) {
  m_cancelled.insert(job);
  std::erase_if(m_tasks,
                [&job](const auto& entry) { return entry.first.job == job; });
}

const StepSpec& StartOrderChecker::SpecOf(const TaskName& task) const {
  return m_jobs.at(task.job).steps[task.step];
}

uint32_t StartOrderChecker::PriorityOf(const TaskName& task) const {
  return m_cell.policy().queues.at(m_jobs.at(task.job).queue).priority;
}

void StartOrderChecker::Observe() {
  NoteEnds();
  for (const auto& [task, last_run] : NoteStarts())
    CheckStart(task, last_run);
}

void StartOrderChecker::NoteEnds() {
  const TimePoint now = m_cell.now();
  for (auto& [index, tasks] : m_runs) {
    const SimulatedWorker& worker = m_cell.worker(index);
    std::erase_if(tasks, [&, i = index](const TaskName& task) {
      if (worker.up && worker.running.count(task) > 0)
        return false;
      m_ended[i].push_back({SpecOf(task).need, now});
      const auto seen = m_tasks.find(task);
      if (seen != m_tasks.end() && seen->second.worker == i) {
        seen->second.is_running = false;
        seen->second.known_at =
            now + (worker.up && worker.reachable ? kUntilEndIsKnown
                                                 : kUntilLossIsKnown);
      }
      return true;
    });
  }
  // An end that was not listed in time counts as a loss.
  for (auto& [task, seen] : m_tasks) {
    const SimulatedWorker& worker = m_cell.worker(seen.worker);
    if (!seen.is_running && now < seen.last_run + kUntilEndIsListed &&
        !(worker.up && worker.reachable))
      seen.known_at = std::max(seen.known_at, now + kUntilLossIsKnown);
  }
  for (auto& [index, ended] : m_ended)
    std::erase_if(ended, [now](const EndedNeed& entry) {
      return now - entry.at > kUntilFreeIsKnown;
    });
}

std::vector<std::pair<TaskName, std::optional<TimePoint>>>
StartOrderChecker::NoteStarts() {
  std::vector<std::pair<TaskName, std::optional<TimePoint>>> started;
  for (size_t i = 0; i < m_cell.worker_count(); ++i) {
    if (!m_cell.worker(i).up)
      continue;
    for (const auto& [task, run] : m_cell.worker(i).running) {
      m_runs[i].insert(task);
      if (!SpecOf(task).long_running || m_cancelled.count(task.job) > 0)
        continue;
      const auto found = m_tasks.find(task);
      const bool is_new = found == m_tasks.end() || found->second.run < run.run;
      if (is_new)
        started.emplace_back(
            task, found == m_tasks.end()
                      ? std::nullopt
                      : std::optional<TimePoint>(found->second.last_run));
      // A run on a worker that is cut off gives no sign of life.
      if (is_new)
        m_tasks[task] = {run.run, i, true, m_cell.now(), TimePoint()};
      else if (found->second.worker == i && m_cell.worker(i).reachable)
        found->second.last_run = m_cell.now();
    }
  }
  return started;
}

bool StartOrderChecker::MustBeKnown(const TaskName& task,
                                    const Seen& seen) const {
  if (seen.is_running || m_cell.now() < seen.known_at)
    return false;
  const auto& unanswered = m_cell.observations().unanswered_starts;
  const auto start = unanswered.find(task);
  if (start != unanswered.end() &&
      m_cell.now() < start->second + kUntilLossIsKnown)
    return false;
  // The owner was replaced before it knew: it waits for all leases.
  return seen.known_at < m_owner_since || seen.last_run > m_owner_since ||
         m_cell.now() >= m_owner_since + kUntilLeasesOfOwnerBeforeEnd;
}

bool StartOrderChecker::FitsInPlaceOf(const TaskName& task,
                                      const TaskName& started) const {
  const size_t index = m_tasks.at(started).worker;
  const SimulatedWorker& worker = m_cell.worker(index);
  const StepSpec& spec = SpecOf(task);
  const std::vector<std::string>& labels = worker.info.labels;
  if (!spec.label.empty() &&
      std::find(labels.begin(), labels.end(), spec.label) == labels.end())
    return false;
  Resources free = worker.info.capacity;
  uint32_t same_step = 0;
  for (const auto& [other, run] : worker.running) {
    if (other == started)
      continue;
    free -= SpecOf(other).need;
    same_step += other.job == task.job && other.step == task.step ? 1 : 0;
  }
  const auto ended = m_ended.find(index);
  if (ended != m_ended.end()) {
    for (const EndedNeed& entry : ended->second)
      free -= entry.need;
  }
  // The started one fits, however lately its place came free.
  const Resources& taken = SpecOf(started).need;
  free.cpu = std::max(free.cpu, taken.cpu);
  free.memory = std::max(free.memory, taken.memory);
  return Fits(spec.need, free) &&
         (spec.max_per_worker == 0 || same_step < spec.max_per_worker);
}

void StartOrderChecker::CheckStart(const TaskName& started,
                                   std::optional<TimePoint> last_run) {
  for (const auto& [task, seen] : m_tasks) {
    if (!MustBeKnown(task, seen) || PriorityOf(task) > PriorityOf(started))
      continue;
    ++m_checked_starts;
    if ((last_run && *last_run <= seen.last_run + kTolerance) ||
        !FitsInPlaceOf(task, started))
      continue;
    const TimePoint now = m_cell.now();
    m_found.push_back(
        Milliseconds(now.time_since_epoch()) + ": " + Describe(started) +
        " (without a run for " +
        (last_run ? Milliseconds(now - *last_run) : "ever") + ") starts on " +
        m_cell.worker(m_tasks.at(started).worker).info.id.value() + ", where " +
        Describe(task) + " fits, without a run for " +
        Milliseconds(now - seen.last_run));
  }
}

}  // namespace cowslipmast::sched
