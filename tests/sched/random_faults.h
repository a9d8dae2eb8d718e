#ifndef COWSLIPMAST_TESTS_SCHED_RANDOM_FAULTS_H_
#define COWSLIPMAST_TESTS_SCHED_RANDOM_FAULTS_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "tests/sched/waiting_work_checker.h"

namespace cowslipmast::sched {

enum class FaultKind {
  kWorkersLost,
  kCellLost,
  kWorkersRestart,
  kWorkersUnreachable,
  kWorkersFailRuns,
  kOwnersReplaced,
  kLoadsMissing,
  kSlowAppends,
  kStoreDown,
  kLateMessages,
  kCount
};

/** Random numbers of a simulated day. */
class DayRandom {
 public:
  explicit DayRandom(uint64_t seed) : m_random(seed), m_run_random(seed) {}

  int64_t Pick(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(m_random);
  }
  bool Happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
  }
  /** For what depends on the scheduler: the load and the faults of a seed stay
   * the same when its decisions change. */
  bool HappensInRun(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_run_random) <
           probability;
  }
  int64_t PickInRun(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(m_run_random);
  }

 private:
  std::mt19937_64 m_random;
  std::mt19937_64 m_run_random;
};

/** Seeds to try by hand: COWSLIPMAST_HUNT_SEEDS=FIRST:COUNT[:STEP], or 1 to
 * 100. Nothing if the variable cannot be read. */
std::vector<uint64_t> HuntSeeds();

/** Begins and ends random faults of a simulated system. */
class RandomFaults {
 public:
  RandomFaults(DayRandom& random,
               SimulatedCells& system,
               WaitingWorkChecker& checker)
      : m_random(random), m_system(system), m_checker(checker) {}

  void Begin();
  /** One worker drains for some seconds, which is planned and no fault. */
  void Drain();
  /** Ends the faults that are due. */
  void EndDue();
  void EndAll();
  bool HasAny() const { return !m_faults.empty(); }
  /** Each fault, with its time. */
  const std::string& log() const { return m_log; }
  void Log(const std::string& line);

 private:
  struct Fault {
    FaultKind kind;
    size_t cell = 0;
    size_t worker = 0;
    TimePoint until;
  };

  TimePoint In(int64_t least_ms, int64_t most_ms) {
    return m_system.now() +
           std::chrono::milliseconds(m_random.Pick(least_ms, most_ms));
  }
  size_t PickCell();
  size_t PickWorker(size_t cell);
  void BeginWorkerFaults(FaultKind kind, double share);
  void BeginOwnerFault();
  void End(const Fault& fault);

  DayRandom& m_random;
  SimulatedCells& m_system;
  WaitingWorkChecker& m_checker;
  std::vector<Fault> m_faults;
  std::vector<Fault> m_draining;
  std::string m_log;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_RANDOM_FAULTS_H_
