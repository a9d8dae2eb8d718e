#include <algorithm>
#include <cstdio>

#include "tools/load/report.h"

namespace cowslipmast::load {

using standins::Json;

namespace {

constexpr double kHundredthsPerMs = 100;
constexpr size_t kMaxPrintedViolations = 10;  // the JSON output lists all

// Truncates to two decimals; the bins of the histogram are wider than that.
double Rounded(double ms) {
  return static_cast<double>(static_cast<int64_t>(ms * kHundredthsPerMs)) /
         kHundredthsPerMs;
}

void AddRow(std::string& table, const std::string& name, double value) {
  char line[80];
  std::snprintf(line, sizeof(line), "%-36s %12.10g\n", name.c_str(), value);
  table += line;
}

void AddRows(std::string& table, const std::string& prefix, const Json& part) {
  for (const auto& [name, value] : part.items()) {
    if (value.is_number())
      AddRow(table, prefix + name, value.get<double>());
    else if (value.is_object())
      AddRows(table, prefix + name + ".", value);
    else
      AddRow(table, prefix + name, static_cast<double>(value.size()));
  }
}

void AddViolationExamples(std::string& table, const Json& violations) {
  for (size_t i = 0; i < std::min(violations.size(), kMaxPrintedViolations);
       ++i)
    table += "violation: " + violations[i].dump() + "\n";
}

Json RequestsToJson(const RequestReport& report) {
  Json outcomes = Json::object();
  for (const CallerOutcome outcome : kAllCallerOutcomes) {
    const auto found = report.outcomes.find(outcome);
    outcomes[CallerOutcomeName(outcome)] =
        found == report.outcomes.end() ? 0 : found->second;
  }
  return {{"sent", report.sent},
          {"outcome", std::move(outcomes)},
          {"reason", report.reasons},
          {"failovers", report.failovers},
          {"p50_ms", Rounded(report.p50_ms)},
          {"p99_ms", Rounded(report.p99_ms)},
          {"damaged", report.damaged},
          {"refused_but_ran", report.refused_but_ran},
          {"answered_not_run", report.answered_not_run},
          {"ran_twice", report.ran_twice},
          {"violations", report.target_violations}};
}

Json JobsToJson(const JobReport& report) {
  return {{"submitted", report.submitted},
          {"accepted", report.accepted},
          {"done", report.done},
          {"failed", report.failed},
          {"longest_ms", Rounded(report.longest_ms)},
          {"task_starts", report.task_starts},
          {"evictions", report.evictions},
          {"lost_leases", report.lost_leases},
          {"lost", report.lost},
          {"doubled", report.doubled},
          {"violations", report.worker_violations}};
}

}  // namespace

Json ReportToJson(const LoadReport& report,
                  const std::vector<std::string>& faults) {
  return {{"requests", RequestsToJson(report.requests)},
          {"jobs", JobsToJson(report.jobs)},
          {"faults", faults}};
}

std::string ReportToTable(const LoadReport& report,
                          const std::vector<std::string>& faults) {
  std::string table;
  AddRows(table, "requests.", RequestsToJson(report.requests));
  AddRows(table, "jobs.", JobsToJson(report.jobs));
  AddViolationExamples(table, report.requests.target_violations);
  AddViolationExamples(table, report.jobs.worker_violations);
  for (const std::string& fault : faults)
    table += "fault: " + fault + "\n";
  return table;
}

}  // namespace cowslipmast::load
