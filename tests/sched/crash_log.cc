#include "tests/sched/crash_log.h"

namespace cowslipmast::sched {

void ReadDecisions(SimulatedCell& cell, CrashLog& log) {
  log.has_plan = false;
  for (const Decision& decision : cell.scheduler().TakeDecisions()) {
    log.has_plan |= decision.event == "run_planned";
    const bool is_proven = decision.event == "worker_crashed";
    const bool is_unproven = decision.event == "crash_not_proven";
    if (!is_proven && !is_unproven && decision.event != "job_failed")
      continue;
    log.proven += is_proven ? 1 : 0;
    log.unproven += is_unproven ? 1 : 0;
    const size_t at = decision.detail.find("crashes=");
    if (at != std::string::npos)
      log.last_total = static_cast<uint32_t>(std::stoul(
          decision.detail.substr(at + std::string("crashes=").size())));
    log.lines += std::to_string(cell.now().time_since_epoch().count() / 1000) +
                 " ms " + std::string(decision.event) + " " +
                 decision.task.job.value() + "." +
                 std::to_string(decision.task.index) + " run " +
                 std::to_string(decision.run.value()) + " " +
                 decision.worker.value() + " " + decision.detail + "\n";
  }
}

}  // namespace cowslipmast::sched
