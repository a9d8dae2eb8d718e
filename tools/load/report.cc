#include "tools/load/report.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tools/load/request_latency_histogram.h"

namespace cowslipmast::load {

using standins::Json;
using standins::StringField;
using standins::UnsignedField;

namespace {

constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.99;

uint64_t RunsOf(const RunCounts& runs, const std::string& id) {
  const auto found = runs.find(id);
  return found == runs.end() ? 0 : found->second;
}

bool IsDamaged(const RequestResult& result) {
  return result.outcome == CallerOutcome::kMissingOutcomeHeader ||
         !result.intact;
}

void CheckRuns(const RequestResult& result,
               uint64_t runs,
               RequestReport& report) {
  const bool refused = result.outcome == CallerOutcome::kNotRun ||
                       result.outcome == CallerOutcome::kNotSent;
  report.refused_but_ran += refused && runs > 0 ? 1 : 0;
  report.answered_not_run +=
      result.outcome == CallerOutcome::kAnswered && runs == 0 ? 1 : 0;
  report.ran_twice += !result.request.idempotent && runs > 1 ? 1 : 0;
}

using TaskKey = std::pair<std::string, uint64_t>;

std::map<TaskKey, uint64_t> DoneCounts(const Json& worker_stats) {
  std::map<TaskKey, uint64_t> counts;
  for (const Json& task : worker_stats.value("tasks_done", Json::array())) {
    counts[{StringField(task, "job").value_or(""),
            UnsignedField(task, "index").value_or(0)}] =
        UnsignedField(task, "count").value_or(0);
  }
  return counts;
}

void AddFault(uint64_t count,
              const char* name,
              std::vector<std::string>& faults) {
  if (count > 0)
    faults.push_back(std::to_string(count) + " " + name);
}

}  // namespace

RequestReport MakeRequestReport(const std::vector<RequestResult>& results,
                                const RunCounts& runs) {
  RequestReport report;
  RequestLatencyHistogram latencies;
  for (const RequestResult& result : results) {
    ++report.sent;
    ++report.outcomes[result.outcome];
    if (!result.reason.empty())
      ++report.reasons[result.reason];
    report.failovers += result.failovers;
    report.damaged += IsDamaged(result) ? 1 : 0;
    CheckRuns(result, RunsOf(runs, result.request.id), report);
    if (result.outcome == CallerOutcome::kAnswered)
      latencies.Add(result.latency);
  }
  report.p50_ms = latencies.QuantileMs(kMedianQuantile);
  report.p99_ms = latencies.QuantileMs(kTailQuantile);
  return report;
}

JobReport MakeJobReport(const std::vector<JobResult>& results,
                        const Json& worker_stats) {
  JobReport report;
  const auto done = DoneCounts(worker_stats);
  for (const JobResult& job : results) {
    ++report.submitted;
    report.accepted += job.accepted ? 1 : 0;
    report.done += job.outcome == JobOutcome::kDone ? 1 : 0;
    report.failed += job.outcome == JobOutcome::kFailed ? 1 : 0;
    report.longest_ms =
        std::max(report.longest_ms,
                 std::chrono::duration<double, std::milli>(job.time).count());
    for (uint64_t index = 0; index < job.tasks; ++index) {
      const auto found = done.find({job.id, index});
      const uint64_t count = found == done.end() ? 0 : found->second;
      report.lost += job.accepted && count == 0 ? 1 : 0;
      report.doubled += count > 1 ? 1 : 0;
    }
  }
  report.task_starts = UnsignedField(worker_stats, "starts").value_or(0);
  report.evictions = UnsignedField(worker_stats, "evictions").value_or(0);
  report.lost_leases = UnsignedField(worker_stats, "lost_leases").value_or(0);
  report.worker_violations = worker_stats.value("violations", Json::array());
  return report;
}

std::vector<std::string> FaultsOf(const LoadReport& report,
                                  uint64_t min_answered_percent) {
  std::vector<std::string> faults;
  const RequestReport& requests = report.requests;
  AddFault(requests.damaged, "damaged answers", faults);
  AddFault(requests.refused_but_ran, "refused requests that ran", faults);
  AddFault(requests.answered_not_run, "answered requests that did not run",
           faults);
  AddFault(requests.ran_twice, "non-idempotent requests that ran twice",
           faults);
  AddFault(requests.target_violations.size(), "violations at targets", faults);
  AddFault(report.jobs.submitted - report.jobs.accepted, "jobs not accepted",
           faults);
  AddFault(report.jobs.accepted - report.jobs.done, "jobs not done", faults);
  AddFault(report.jobs.lost, "lost tasks", faults);
  AddFault(report.jobs.doubled, "doubled tasks", faults);
  AddFault(report.jobs.worker_violations.size(), "violations at workers",
           faults);
  for (const std::string& what : report.unchecked)
    faults.push_back("not checked: " + what);
  const auto answered = requests.outcomes.find(CallerOutcome::kAnswered);
  const uint64_t count =
      answered == requests.outcomes.end() ? 0 : answered->second;
  if (count * 100 < requests.sent * min_answered_percent)
    faults.push_back("only " + std::to_string(count) + " requests answered");
  return faults;
}

}  // namespace cowslipmast::load
