#include "tests/sched/long_day.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(250);
constexpr double kTickS = 0.25;
constexpr Duration kCalmAtStart = seconds(10);
constexpr Duration kTimeAfterLoad = seconds(22);
constexpr double kWavePeriodS = 14;
// Faults keep workers down for a shorter time.
constexpr Duration kLostAfter = seconds(12);
constexpr const char* kCriticalPrefix = "serving-";
constexpr const char* kBestEffortPrefix = "batch-";

size_t NumberIn(const std::string& image, const char* prefix) {
  return std::stoul(image.substr(std::string(prefix).size()));
}

// Waves between 0.2 and 0.65, with another phase for each task.
double OwnUtilisation(const TaskName& task, double time_s) {
  const double phase =
      static_cast<double>(task.index) * 1.3 +
      static_cast<double>(NumberIn(task.job.value(), "l")) * 2.1;
  return 0.425 +
         0.225 * std::sin(time_s * 2 * std::numbers::pi / kWavePeriodS + phase);
}

}  // namespace

LongDay::LongDay(uint64_t seed, Duration length)
    : m_random(seed),
      m_system(static_cast<uint32_t>(1 + seed % 3),
               static_cast<int>(Pick(6, 12)),
               16),
      m_checker(m_system),
      m_faults(m_random, m_system, m_checker),
      m_end_of_load(m_system.now() + length),
      m_latency_critical_share(static_cast<double>(Pick(20, 42)) / 100),
      m_urgent_share(static_cast<double>(Pick(0, 15)) / 100),
      m_best_effort_share(static_cast<double>(Pick(8, 25)) / 100) {
  SetUpWorkers();
  SetUpImages();
}

void LongDay::SetUpWorker(size_t cell, size_t worker) {
  WorkerInfo& info = m_system.cell(cell).worker(worker).info;
  const int64_t cores = worker % 3 == 2 ? 24 : 16;
  info.capacity.cpu = MilliCores(cores * 1000);
  info.capacity.memory = Mebibytes(cores * 4000);
  m_system.cell(cell).UpdateWorkerInfo(worker);
}

void LongDay::SetUpWorkers() {
  m_system.SetQueue("urgent", MakePolicy(0, 2));
  m_system.SetQueue("batch", MakePolicy(2, 6));
  m_failing_share = static_cast<double>(Pick(0, 5)) / 100;
  m_last_up.resize(m_system.size());
  for (size_t i = 0; i < m_system.size(); ++i) {
    SimulatedCell& cell = m_system.cell(i);
    for (size_t k = 0; k < cell.worker_count(); ++k) {
      SetUpWorker(i, k);
      m_capacity +=
          static_cast<double>(cell.worker(k).info.capacity.cpu.count()) / 1000;
    }
    cell.run_fails = [this](const TaskName&) {
      return m_random.HappensInRun(m_failing_share);
    };
  }
  m_system.repeats_messages = Happens(0.3);
}

// The first best-effort images interfere strongly with all latency-critical
// ones, some others with one of them.
void LongDay::SetUpImages() {
  const auto critical_images = static_cast<size_t>(Pick(2, 5));
  const auto best_effort_images = static_cast<size_t>(Pick(4, 9));
  m_disturbing_images = static_cast<size_t>(Pick(1, 3));
  m_interference.resize(best_effort_images);
  for (size_t i = 0; i < best_effort_images; ++i) {
    const int64_t only = Pick(0, 2 * static_cast<int64_t>(critical_images));
    for (size_t k = 0; k < critical_images; ++k) {
      const bool disturbs =
          i < m_disturbing_images || only == static_cast<int64_t>(k);
      m_interference[i].push_back(
          static_cast<double>(disturbs ? Pick(100, 500) : Pick(0, 30)) / 100);
    }
  }
  for (size_t i = 0; i < m_system.size(); ++i) {
    SimulatedCell& cell = m_system.cell(i);
    cell.own_utilisation_of = OwnUtilisation;
    cell.interference_of = [this](const std::string& best_effort,
                                  const std::string& latency_critical) {
      return m_interference.at(NumberIn(best_effort, kBestEffortPrefix))
          .at(NumberIn(latency_critical, kCriticalPrefix));
    };
  }
  m_faults.Log(std::to_string(m_system.size()) + " cells of " +
               std::to_string(m_system.cell(0).worker_count()) +
               " workers, latency-critical " +
               std::to_string(m_latency_critical_share) + ", urgent " +
               std::to_string(m_urgent_share) + ", best-effort " +
               std::to_string(m_best_effort_share) + ", " +
               std::to_string(m_disturbing_images) + " of " +
               std::to_string(best_effort_images) + " images disturb all " +
               std::to_string(critical_images));
}

void LongDay::Run() {
  RunLoad(kCalmAtStart, 0);
  while (m_system.now() < m_end_of_load) {
    RunLoad(seconds(Pick(4, 14)), 0.1);
    m_faults.EndAll();
    if (Happens(0.4))
      ReplaceSomeWorkers();
    RunLoad(seconds(Pick(15, 60)), 0);
  }
  m_faults.EndAll();
  m_has_load = false;
  m_checker.NoteEndOfLoad();
  RunLoad(kTimeAfterLoad, 0);
  m_checker.CheckEnd();
}

// Half of the days have a change of all owners in the last seconds of the load.
void LongDay::RunLoad(Duration duration, double fault_probability) {
  const Duration before_end = seconds(Pick(3, 30));
  const TimePoint end = m_has_load
                            ? std::min(m_system.now() + duration, m_end_of_load)
                            : m_system.now() + duration;
  const bool has_late_change = end == m_end_of_load && Happens(0.5);
  bool has_changed = false;
  while (m_system.now() < end) {
    if (m_has_load)
      SubmitLoad();
    CancelDueJobs();
    RemoveLeavingWorkers();
    ReplaceLostWorkers();
    if (Happens(fault_probability))
      m_faults.Begin();
    m_faults.EndDue();
    if (has_late_change && !has_changed &&
        m_system.now() >= m_end_of_load - before_end) {
      has_changed = true;
      ReplaceOwners();
    }
    if (m_faults.HasAny())
      m_checker.NoteFault();
    m_checker.Run(kTick);
  }
}

void LongDay::SubmitLoad() {
  if (Happens(0.3))
    SubmitLatencyCriticalJob();
  // An urgent job takes about 50 core-seconds, a best-effort one 120.
  if (Happens(m_urgent_share * m_capacity / 50 * kTickS))
    SubmitUrgentJob();
  if (Happens(m_best_effort_share * m_capacity / 120 * kTickS))
    SubmitBestEffortJob();
  if (Happens(0.01))
    SubmitScheduledJob();
}

// Every third job has a task on almost every worker of a cell.
void LongDay::SubmitLatencyCriticalJob() {
  const bool covers_cell = m_next_job % 3 == 0;
  const auto workers = static_cast<int64_t>(m_system.cell(0).worker_count());
  StepSpec step = MakeLongRunningStep(
      static_cast<uint32_t>(covers_cell ? workers - Pick(0, 1) : Pick(2, 10)),
      1);
  step.need.cpu = MilliCores(Pick(2, 6) * 500);
  if (covers_cell)
    step.max_per_worker = 1;
  step.image =
      ImageId(kCriticalPrefix +
              std::to_string(Pick(
                  0, static_cast<int64_t>(m_interference.front().size()) - 1)));
  step.latency_target = milliseconds(18);
  const double cores = static_cast<double>(step.count) *
                       static_cast<double>(step.need.cpu.count()) / 1000;
  const TimePoint cancelled_at = In(seconds(40), seconds(400));
  if (m_critical_cores + cores > m_latency_critical_share * m_capacity)
    return;
  m_critical_cores += cores;
  const std::string id = "l" + std::to_string(m_next_job++);
  m_critical_jobs.push_back({id, cores, cancelled_at});
  m_system.Submit(MakeJob(id, "urgent", {step}));
}

void LongDay::SubmitUrgentJob() {
  // Each draw is a statement of its own: the order of the arguments of a call
  // depends on the compiler, and a seed would be another day.
  const auto tasks = static_cast<uint32_t>(Pick(5, 30));
  const double run_s = static_cast<double>(Pick(3, 25)) / 10;
  StepSpec step = MakeStep(tasks, 1, 500, run_s);
  step.need.cpu = MilliCores(Pick(2, 6) * 500);
  m_system.Submit(
      MakeJob("u" + std::to_string(m_next_job++), "urgent", {step}));
}

void LongDay::SubmitBestEffortJob() {
  const auto images = static_cast<int64_t>(m_interference.size());
  const auto disturbing = static_cast<int64_t>(m_disturbing_images);
  // Disturbing work is a sixth: beside latency-critical tasks there is
  // processor time for little of it.
  const int64_t image =
      Happens(1.0 / 6) ? Pick(0, disturbing - 1) : Pick(disturbing, images - 1);
  const bool checkpointing = Happens(0.5);
  std::vector<StepSpec> steps;
  const int64_t count = Pick(1, 3);
  for (int64_t i = 0; i < count; ++i) {
    const auto tasks = static_cast<uint32_t>(Pick(2, 16));
    const double run_s = static_cast<double>(Pick(10, 50)) / 10;
    StepSpec step = MakeStep(tasks, 1, 1000, run_s);
    step.need.cpu = MilliCores(Pick(4, 14) * 250);
    step.best_effort = true;
    step.checkpointing = checkpointing;
    step.image = ImageId(kBestEffortPrefix + std::to_string(image));
    if (i > 0)
      step.depends_on = {static_cast<uint32_t>(i - 1)};
    steps.push_back(step);
  }
  const std::string id = "f" + std::to_string(m_next_job++);
  if (Happens(0.04))
    m_cancellations.emplace_back(In(milliseconds(100), seconds(8)), id);
  m_system.Submit(MakeJob(id, "batch", steps));
}

// Some go on until after the end of the load.
void LongDay::SubmitScheduledJob() {
  const auto tasks = static_cast<uint32_t>(Pick(1, 6));
  const double run_s = static_cast<double>(Pick(5, 20)) / 10;
  StepSpec step = MakeStep(tasks, 1, 500, run_s);
  const bool best_effort = Happens(0.5);
  if (best_effort) {
    step.best_effort = true;
    step.image = ImageId(
        kBestEffortPrefix +
        std::to_string(Pick(static_cast<int64_t>(m_disturbing_images),
                            static_cast<int64_t>(m_interference.size()) - 1)));
  }
  JobDefinition job = MakeJob("s" + std::to_string(m_next_job++),
                              best_effort ? "batch" : "urgent", {step});
  job.iterations = static_cast<uint32_t>(Pick(2, 40));
  job.interval = seconds(Pick(3, 12));
  job.first_due = WallTime(In(milliseconds(0), seconds(5)).time_since_epoch());
  m_system.Submit(job);
}

void LongDay::CancelDueJobs() {
  if (!m_has_load)
    return;
  std::erase_if(m_critical_jobs, [this](const LongRunningJob& job) {
    if (m_system.now() < job.cancelled_at)
      return false;
    m_critical_cores -= job.cores;
    m_system.Cancel(job.id);
    return true;
  });
  std::erase_if(m_cancellations, [this](const auto& cancellation) {
    if (m_system.now() < cancellation.first)
      return false;
    m_system.Cancel(cancellation.second);
    return true;
  });
}

void LongDay::AddWorker(size_t cell) {
  // As numbered by `SimulatedCells`.
  constexpr size_t numbers_per_cell = 8000;
  m_system.cell(cell).AddWorkers(1, 16, 64000, cell * numbers_per_cell);
  SetUpWorker(cell, m_system.cell(cell).worker_count() - 1);
}

// New workers come at once, and the old ones drain.
void LongDay::ReplaceSomeWorkers() {
  const double share = static_cast<double>(Pick(10, 50)) / 100;
  std::string names;
  for (size_t i = 0; i < m_system.size(); ++i) {
    const size_t count = m_system.cell(i).worker_count();
    for (size_t k = 0; k < count; ++k) {
      SimulatedWorker& worker = m_system.cell(i).worker(k);
      if (worker.removed || !worker.up || worker.info.draining ||
          !Happens(share))
        continue;
      names += " " + worker.info.id.value();
      worker.info.draining = true;
      m_system.cell(i).UpdateWorkerInfo(k);
      m_leaving.push_back({i, k, In(seconds(5), seconds(15))});
      AddWorker(i);
    }
  }
  m_faults.Log("replaced:" + names);
}

void LongDay::RemoveLeavingWorkers() {
  std::erase_if(m_leaving, [this](const LeavingWorker& entry) {
    if (m_system.now() < entry.removed_at)
      return false;
    SimulatedCell& cell = m_system.cell(entry.cell);
    if (!cell.worker(entry.worker).removed)
      cell.RemoveWorker(entry.worker);
    m_checker.NoteFault();
    return true;
  });
}

void LongDay::ReplaceLostWorkers() {
  for (size_t i = 0; i < m_system.size(); ++i) {
    const size_t count = m_system.cell(i).worker_count();
    m_last_up[i].resize(count, m_system.now());
    for (size_t k = 0; k < count; ++k) {
      const SimulatedWorker& worker = m_system.cell(i).worker(k);
      if (worker.up || worker.removed)
        m_last_up[i][k] = m_system.now();
      if (m_system.now() - m_last_up[i][k] < kLostAfter)
        continue;
      m_faults.Log("new worker for " + worker.info.id.value());
      const bool was_leaving = worker.info.draining;
      m_system.cell(i).RemoveWorker(k);
      if (!was_leaving)
        AddWorker(i);
    }
  }
}

void LongDay::ReplaceOwners() {
  m_faults.EndAll();
  m_faults.Log("owners replaced");
  m_checker.NoteFault();
  for (size_t i = 0; i < m_system.size(); ++i) {
    m_system.cell(i).RemoveOwner(Happens(0.5));
    m_system.cell(i).ReplaceOwner();
  }
}

}  // namespace cowslipmast::sched
