#include "tests/sched/random_faults.h"

#include <cstdio>
#include <cstdlib>

namespace cowslipmast::sched {

using std::chrono::milliseconds;

std::vector<uint64_t> HuntSeeds() {
  unsigned long long first = 1;
  unsigned long long count = 100;
  unsigned long long step = 1;
  const char* text = std::getenv("COWSLIPMAST_HUNT_SEEDS");
  if (text != nullptr &&
      std::sscanf(text, "%llu:%llu:%llu", &first, &count, &step) < 2)
    return {};
  std::vector<uint64_t> seeds;
  for (uint64_t i = 0; i < count; ++i)
    seeds.push_back(first + i * step);
  return seeds;
}

size_t RandomFaults::PickCell() {
  return static_cast<size_t>(
      m_random.Pick(0, static_cast<int64_t>(m_system.size()) - 1));
}

size_t RandomFaults::PickWorker(size_t cell) {
  return static_cast<size_t>(m_random.Pick(
      0, static_cast<int64_t>(m_system.cell(cell).worker_count()) - 1));
}

void RandomFaults::Log(const std::string& line) {
  char time[32];
  std::snprintf(
      time, sizeof time, "%.2f s ",
      static_cast<double>(m_system.now().time_since_epoch().count()) / 1e6);
  m_log += time + line + "\n";
}

void RandomFaults::Drain() {
  const size_t cell = PickCell();
  const size_t worker = PickWorker(cell);
  m_system.cell(cell).worker(worker).info.draining = true;
  m_system.cell(cell).UpdateWorkerInfo(worker);
  m_draining.push_back({.kind = FaultKind::kCount,
                        .cell = cell,
                        .worker = worker,
                        .until = In(5000, 15000)});
}

void RandomFaults::Begin() {
  const auto kind = static_cast<FaultKind>(
      m_random.Pick(0, static_cast<int64_t>(FaultKind::kCount) - 1));
  m_checker.NoteFault();
  const size_t cell = PickCell();
  switch (kind) {
    case FaultKind::kWorkersLost:
      BeginWorkerFaults(kind, static_cast<double>(m_random.Pick(5, 40)) / 100);
      return;
    case FaultKind::kCellLost:
      // Half of a cell, at times all of it.
      if (m_system.size() > 1 && m_random.Happens(0.4)) {
        const bool all = m_random.Happens(0.3);
        Log("workers of cell " + std::to_string(cell) + " lost");
        for (size_t k = 0; k < m_system.cell(cell).worker_count(); ++k) {
          if (all || k % 2 == 0)
            m_system.cell(cell).StopWorker(k);
        }
      }
      return;
    case FaultKind::kWorkersRestart:
    case FaultKind::kWorkersUnreachable:
    case FaultKind::kWorkersFailRuns:
      BeginWorkerFaults(kind, static_cast<double>(m_random.Pick(3, 50)) / 100);
      return;
    case FaultKind::kOwnersReplaced:
      BeginOwnerFault();
      return;
    case FaultKind::kLoadsMissing:
      Log("loads missing");
      m_system.load_arrives = [this](size_t, size_t) {
        return m_random.HappensInRun(0.3);
      };
      break;
    case FaultKind::kSlowAppends:
      Log("slow appends in cell " + std::to_string(cell));
      m_system.cell(cell).append_latency =
          milliseconds(m_random.Pick(200, 2500));
      break;
    case FaultKind::kStoreDown:
      Log("store down for cell " + std::to_string(cell));
      m_system.cell(cell).store_is_up = false;
      break;
    case FaultKind::kLateMessages:
      Log("late messages");
      m_system.extra_message_delay = [this] {
        return milliseconds(
            m_random.HappensInRun(0.5) ? m_random.PickInRun(0, 3000) : 0);
      };
      break;
    case FaultKind::kCount:
      return;
  }
  m_faults.push_back({.kind = kind, .cell = cell, .until = In(1000, 7000)});
}

void RandomFaults::BeginWorkerFaults(FaultKind kind, double share) {
  std::string names;
  for (size_t i = 0; i < m_system.size(); ++i) {
    for (size_t k = 0; k < m_system.cell(i).worker_count(); ++k) {
      SimulatedWorker& worker = m_system.cell(i).worker(k);
      if (!m_random.Happens(share) || !worker.up)
        continue;
      names += " " + worker.info.id.value();
      if (kind == FaultKind::kWorkersLost || kind == FaultKind::kWorkersRestart)
        m_system.cell(i).StopWorker(k);
      else if (kind == FaultKind::kWorkersUnreachable)
        worker.reachable = false;
      else
        worker.fails_all = true;
      if (kind != FaultKind::kWorkersLost)
        m_faults.push_back(
            {.kind = kind, .cell = i, .worker = k, .until = In(800, 9000)});
    }
  }
  const std::vector<std::string> texts = {"lost", "", "restart", "unreachable",
                                          "fail all runs"};
  Log(texts[static_cast<size_t>(kind)] + ":" + names);
}

void RandomFaults::BeginOwnerFault() {
  const bool all = m_random.Happens(0.3);
  for (size_t i = 0; i < m_system.size(); ++i) {
    if ((!all && !m_random.Happens(0.5)) || !m_system.cell(i).has_owner())
      continue;
    Log("owner of cell " + std::to_string(i) + " gone");
    m_system.cell(i).RemoveOwner(m_random.Happens(0.5));
    m_faults.push_back({.kind = FaultKind::kOwnersReplaced,
                        .cell = i,
                        .until = In(250, 5000)});
  }
}

void RandomFaults::End(const Fault& fault) {
  SimulatedCell& cell = m_system.cell(fault.cell);
  m_checker.NoteFault();
  switch (fault.kind) {
    case FaultKind::kWorkersRestart:
      Log("restarted: " + cell.worker(fault.worker).info.id.value());
      cell.RestartWorker(fault.worker);
      return;
    case FaultKind::kWorkersUnreachable:
      cell.worker(fault.worker).reachable = true;
      return;
    case FaultKind::kWorkersFailRuns:
      cell.worker(fault.worker).fails_all = false;
      return;
    case FaultKind::kOwnersReplaced:
      Log("owner of cell " + std::to_string(fault.cell) + " replaced");
      cell.ReplaceOwner();
      return;
    case FaultKind::kLoadsMissing:
      m_system.load_arrives = nullptr;
      return;
    case FaultKind::kSlowAppends:
      cell.append_latency = Duration(0);
      return;
    case FaultKind::kStoreDown:
      cell.store_is_up = true;
      return;
    case FaultKind::kLateMessages:
      m_system.extra_message_delay = nullptr;
      return;
    case FaultKind::kWorkersLost:
    case FaultKind::kCellLost:
    case FaultKind::kCount:
      return;
  }
}

void RandomFaults::EndDue() {
  for (size_t i = 0; i < m_faults.size(); ++i) {
    const Fault fault = m_faults[i];
    if (m_system.now() < fault.until)
      continue;
    End(fault);
    m_faults.erase(m_faults.begin() + static_cast<std::ptrdiff_t>(i--));
  }
  std::erase_if(m_draining, [this](const Fault& entry) {
    if (m_system.now() < entry.until)
      return false;
    m_system.cell(entry.cell).worker(entry.worker).info.draining = false;
    m_system.cell(entry.cell).UpdateWorkerInfo(entry.worker);
    return true;
  });
}

void RandomFaults::EndAll() {
  for (Fault& fault : m_faults)
    fault.until = m_system.now();
  EndDue();
  Log("calm");
}

}  // namespace cowslipmast::sched
