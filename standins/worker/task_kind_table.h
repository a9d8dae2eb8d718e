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

/** What tasks of one kind really do, whatever was declared. */
struct TaskKindBehaviour {
  std::optional<Duration> run_time;  // instead of the declared one
  uint64_t usage_percent = 100;      // of the declared processors and memory
  bool fails = false;
};

/** Behaviour of each kind of task, and how pairs slow each other down. */
class TaskKindTable {
 public:
  /** Reads {"kinds":{"<kind>":{"run_ms","usage_percent","fails"}},
   * "interference":[{"kind","beside","percent"}]}: a task of `kind` takes
   * `percent` percent of its time beside one of `beside`. Nothing if malformed.
   */
  static std::optional<TaskKindTable> FromJson(const Json& json);

  TaskKindBehaviour BehaviourOf(const std::string& kind) const;
  /** Factor by which a task of `kind` takes longer beside one of `beside`. */
  double Slowdown(const std::string& kind, const std::string& beside) const;

 private:
  std::map<std::string, TaskKindBehaviour> m_kinds;
  std::map<std::pair<std::string, std::string>, double> m_slowdowns;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_TASK_KIND_TABLE_H_
