#ifndef COWSLIPMAST_TESTS_SCHED_LONG_DAY_H_
#define COWSLIPMAST_TESTS_SCHED_LONG_DAY_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "tests/sched/random_faults.h"
#include "tests/sched/waiting_work_checker.h"

namespace cowslipmast::sched {

/** A system under a random load for a given time, with latency-critical tasks
 * and best-effort tasks that interfere with them, random faults, and workers
 * that leave and are replaced by new ones. */
class LongDay {
 public:
  LongDay(uint64_t seed, Duration length);

  void Run();
  const WaitingWorkChecker& checker() const { return m_checker; }
  const SimulatedCells& system() const { return m_system; }
  std::string Describe() const { return m_faults.log() + m_checker.Describe(); }

 private:
  struct LongRunningJob {
    std::string id;
    double cores = 0;
    TimePoint cancelled_at;
  };
  /** A worker that drains, until it is removed. */
  struct LeavingWorker {
    size_t cell = 0;
    size_t worker = 0;
    TimePoint removed_at;
  };

  int64_t Pick(int64_t least, int64_t most) {
    return m_random.Pick(least, most);
  }
  bool Happens(double probability) { return m_random.Happens(probability); }
  TimePoint In(Duration least, Duration most) {
    return m_system.now() + Duration(Pick(least.count(), most.count()));
  }

  void SetUpWorkers();
  void SetUpImages();
  void SetUpWorker(size_t cell, size_t worker);
  void AddWorker(size_t cell);
  void RunLoad(Duration duration, double fault_probability);
  void SubmitLoad();
  void SubmitLatencyCriticalJob();
  void SubmitUrgentJob();
  void SubmitBestEffortJob();
  void SubmitScheduledJob();
  void CancelDueJobs();
  void ReplaceSomeWorkers();
  void ReplaceLostWorkers();
  void RemoveLeavingWorkers();
  void ReplaceOwners();

  DayRandom m_random;
  SimulatedCells m_system;
  WaitingWorkChecker m_checker;
  RandomFaults m_faults;
  const TimePoint m_end_of_load;
  double m_latency_critical_share;  // of the capacity, at most
  double m_urgent_share;            // of the capacity, on average
  double m_best_effort_share;       // of the capacity, on average
  double m_failing_share = 0;
  double m_capacity = 0;                            // cores, at the start
  std::vector<std::vector<double>> m_interference;  // [best-effort][critical]
  size_t m_disturbing_images = 0;  // the first best-effort ones
  double m_critical_cores = 0;
  std::vector<LongRunningJob> m_critical_jobs;
  std::vector<std::pair<TimePoint, std::string>> m_cancellations;
  std::vector<std::vector<TimePoint>> m_last_up;  // of each cell's workers
  std::vector<LeavingWorker> m_leaving;
  bool m_has_load = true;
  int m_next_job = 0;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_LONG_DAY_H_
