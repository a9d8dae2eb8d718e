#ifndef COWSLIPMAST_TOOLS_LOAD_OPTIONS_H_
#define COWSLIPMAST_TOOLS_LOAD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"

namespace cowslipmast::load {

struct RequestOptions {
  std::vector<Endpoint> entries;
  std::string service;
  double rate = 0;           // requests per second; 0 sends back to back
  uint64_t connections = 8;  // concurrent callers, with rate 0
  uint64_t count = 0;        // 0 means no limit
  Duration time{0};          // 0 means no limit
  uint64_t non_idempotent_percent = 30;
  uint64_t deadline_ms = 2000;
  uint64_t max_answer_bytes = 4096;
  uint64_t seed = 1;
};

struct JobOptions {
  std::vector<Endpoint> placers;
  uint64_t jobs = 0;
  uint64_t tasks_per_job = 10;
  uint64_t urgent_every = 4;  // 4: every fourth job is urgent; 0: none
  std::string team;
  std::string kind;
  uint64_t cpu_millis = 2000;
  uint64_t memory_mib = 2048;
  uint64_t accelerators = 0;
  uint64_t run_ms = 500;
  /** Lists of allowed data centres, used by the jobs in turn. */
  std::vector<std::vector<std::string>> data_centres;
  Duration time_limit = std::chrono::seconds(30);
};

struct LoadOptions {
  RequestOptions requests;
  JobOptions jobs;
  std::optional<Endpoint> targets_control;
  std::optional<Endpoint> workers_control;
  uint64_t min_answered_percent = 0;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_OPTIONS_H_
