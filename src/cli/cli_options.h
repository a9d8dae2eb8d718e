#ifndef COWSLIPMAST_SRC_CLI_CLI_OPTIONS_H_
#define COWSLIPMAST_SRC_CLI_CLI_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"

namespace cowslipmast {

enum class OutputFormat { kText, kJson };

/** A job as the flags or the file describe it. */
struct JobRequest {
  std::string id;  // empty: the tool makes one
  std::string team;
  std::string kind;
  uint64_t task_count = 1;
  uint64_t cpu_millis = 0;
  uint64_t memory_mib = 0;
  uint64_t accelerators = 0;
  uint64_t run_ms = 0;
  bool urgent = false;
  bool latency_critical = false;
  std::vector<std::string> data_centres;

  bool operator==(const JobRequest&) const = default;
};

/** Checked flags of one call of the tool. */
struct CliOptions {
  std::optional<Endpoint> store;
  std::optional<Endpoint> daemon;  // admin port of a process
  OutputFormat output = OutputFormat::kText;
  Duration timeout = std::chrono::seconds(10);  // of the whole command
  std::string author;
  std::string cause;
  std::optional<ConfigVersion> base;
  std::optional<ConfigVersion> version;
  JobRequest job;
  std::set<std::string> given_flags;  // names of the flags on the command line
  /** Prints a line at once, before the result is known. */
  std::function<void(const std::string&)> print_immediately;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_CLI_OPTIONS_H_
