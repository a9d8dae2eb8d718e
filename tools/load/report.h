#ifndef COWSLIPMAST_TOOLS_LOAD_REPORT_H_
#define COWSLIPMAST_TOOLS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/common/json.h"
#include "tools/load/caller_outcome.h"
#include "tools/load/job_load.h"

namespace cowslipmast::load {

/** Runs of each request, by request id, as counted by the stand-in targets. */
using RunCounts = std::map<std::string, uint64_t>;

struct RequestReport {
  uint64_t sent = 0;
  std::map<CallerOutcome, uint64_t> outcomes;
  std::map<std::string, uint64_t> reasons;  // why requests were not answered
  uint64_t failovers = 0;
  double p50_ms = 0;  // of answered requests
  double p99_ms = 0;
  /** Responses that are truncated, belong to another request or report no
   * outcome. */
  uint64_t damaged = 0;
  uint64_t refused_but_ran = 0;   // ran despite "not-run", or was never sent
  uint64_t answered_not_run = 0;  // "answered", but no target ran it
  uint64_t ran_twice = 0;         // non-idempotent, ran more than once
  standins::Json target_violations = standins::Json::array();
};

struct JobReport {
  uint64_t submitted = 0;
  uint64_t accepted = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  double longest_ms = 0;  // longest time from submission to the end of a job
  uint64_t task_starts = 0;
  uint64_t evictions = 0;
  uint64_t lost_leases = 0;
  uint64_t lost = 0;     // tasks of accepted jobs that no worker has done
  uint64_t doubled = 0;  // tasks done more than once
  standins::Json worker_violations = standins::Json::array();
};

/** Result of a load run, compared with what the stand-ins recorded. */
struct LoadReport {
  RequestReport requests;
  JobReport jobs;
  /** Checks that were not made because a stand-in did not answer. */
  std::vector<std::string> unchecked;
};

/** Counts outcomes and latencies and compares them with `runs`. */
RequestReport MakeRequestReport(const std::vector<RequestResult>& results,
                                const RunCounts& runs);

/** Compares the jobs with the statistics of the stand-in workers. */
JobReport MakeJobReport(const std::vector<JobResult>& results,
                        const standins::Json& worker_stats);

/** Describes each violation found by the checks; empty if there is none. */
std::vector<std::string> FaultsOf(const LoadReport& report,
                                  uint64_t min_answered_percent);

standins::Json ReportToJson(const LoadReport& report,
                            const std::vector<std::string>& faults);
std::string ReportToTable(const LoadReport& report,
                          const std::vector<std::string>& faults);

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_REPORT_H_
