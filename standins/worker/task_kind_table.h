#ifndef COWSLIPMAST_STANDINS_WORKER_TASK_KIND_TABLE_H_
#define COWSLIPMAST_STANDINS_WORKER_TASK_KIND_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cowslipmast/units.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

/** Actual behaviour of the tasks of one kind, independent of the declaration.
 */
struct TaskKindBehaviour {
  std::optional<Duration> run_time;  // replaces the declared run time if set
  uint64_t usage_percent = 100;      // of the declared processors and memory
  bool fails = false;
};

/** Behaviour of each kind of task, and how much tasks of two kinds on one
 * worker slow each other down. */
class TaskKindTable {
 public:
  /** Reads {"kinds":{"<kind>":{"run_ms","usage_percent","fails"}},
   * "interference":[{"kind","beside","percent"}]}. A task of `kind` takes
   * `percent` percent of its run time on a worker that also runs a task of kind
   * `beside`. Returns nothing if the JSON is malformed. */
  static std::optional<TaskKindTable> FromJson(const Json& json);

  TaskKindBehaviour BehaviourOf(const std::string& kind) const;
  /** Returns the factor by which a task of `kind` takes longer on a worker that
   * also runs a task of kind `beside`. */
  double Slowdown(const std::string& kind, const std::string& beside) const;

 private:
  std::map<std::string, TaskKindBehaviour> m_kinds;
  std::map<std::pair<std::string, std::string>, double> m_slowdowns;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_TASK_KIND_TABLE_H_
