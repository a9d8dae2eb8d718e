#ifndef COWSLIPMAST_TESTS_PLACEMENT_PLACEMENT_SIMULATION_H_
#define COWSLIPMAST_TESTS_PLACEMENT_PLACEMENT_SIMULATION_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "cowslipmast/placement.h"
#include "tests/placement/fake_worker.h"

namespace cowslipmast {

/** One data centre with its log, workers and successive owners in virtual time.
 * Checks after each step that no task runs twice and that no worker exceeds its
 * capacity, and that nothing starts later than 2 s after the data centre was
 * taken out of service. */
class PlacementSimulation {
 public:
  struct Owner {
    PlacementState placement;
    ControlState control;  // as this owner has folded it
    DataCentreState data_centre;
    std::optional<TimePoint> proof;
    TimePoint usable_from;
    bool alive = true;
    std::optional<TimePoint> paused_until;
  };

  PlacementSimulation(size_t workers, uint64_t seed);

  void Submit(const std::string& job, uint32_t tasks, Duration run_time);
  void SubmitSpec(const JobSpec& spec);
  void Cancel(const std::string& job);
  void SetIn(bool in);
  /** Replaces the current owner, if any; the new one may act after `delay`. */
  void ChangeOwner(Duration delay, bool old_one_lives);
  void PauseOwner(Duration duration);
  void Partition(size_t worker, Duration duration);
  void Restart(size_t worker);
  void StopStore(Duration duration);
  void Run(Duration duration);
  void RunUntilDone(Duration limit);

  FakeWorker& worker(size_t index);
  Owner& owner() { return m_owners.back(); }
  TaskProgress ProgressOfTask(const std::string& job, uint32_t index) const;
  bool AllDone() const;
  size_t CountRunning() const;
  /** The maximum number of starts of any one attempt of a task. */
  int MostStartsOfOneAttempt() const;

  ControlState control;
  DataCentreState data_centre;
  std::map<JobId, uint32_t> submitted;  // task counts of all submitted jobs
  std::vector<VmInfo> vms;
  std::map<VmId, FakeWorker> workers;
  double lost_share = 0;  // share of messages that are lost
  double late_share = 0;  // share of commands that arrive up to 20 s late
  std::string violation;
  std::optional<Duration> start_delay;  // delay of every start command, if set
  std::optional<Duration> renewal_delay;  // delay of every renewal, if set

 private:
  struct Message {
    TimePoint due;
    size_t owner;
    WorkerCommand command;
    std::optional<WorkerReply> reply;  // set on the way back
  };
  struct Append {
    TimePoint due;
    size_t owner;
    Record record;
    bool outcomes;
  };

  void Step();
  void Deliver();
  void ApplyOutcomeRecord(const Record& record);
  void ApplyControl(const Record& record);
  void CheckEnd(const JobEnded& end, const JobEntry& job);
  void DeliverAppends();
  void DecideAll();
  void Refresh(Owner& owner);
  PlacementView MakeView(const Owner& owner) const;
  void Send(size_t owner, const WorkerCommand& command);
  void Arrive(const Message& message);
  void Check();
  bool IsReachable(const VmId& worker) const;
  bool Chance(double share);
  Duration Delay(Duration limit);
  Duration DelayOf(const WorkerCommand& command);

  TimePoint m_now;
  std::mt19937_64 m_random;
  std::shared_ptr<const PlacementCharts> m_charts;
  std::vector<Owner> m_owners;
  std::vector<Message> m_messages;
  std::vector<Append> m_appends;
  std::map<JobId, std::map<uint32_t, TaskProgress>> m_ended_progress;
  std::map<VmId, TimePoint> m_unreachable_until;
  TimePoint m_store_back;
  std::optional<TimePoint> m_out_since;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_PLACEMENT_PLACEMENT_SIMULATION_H_
