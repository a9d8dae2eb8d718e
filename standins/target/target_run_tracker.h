#ifndef COWSLIPMAST_STANDINS_TARGET_TARGET_RUN_TRACKER_H_
#define COWSLIPMAST_STANDINS_TARGET_TARGET_RUN_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cowslipmast/vm.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

enum class TargetViolationKind {
  kOverSlotLimit,   // more concurrent requests than slots
  kRanMoreThanOnce  // a non-idempotent request ran more than once
};

struct TargetViolation {
  TargetViolationKind kind = TargetViolationKind::kOverSlotLimit;
  std::string target;
  std::string request_id;
  uint64_t count = 0;  // concurrent requests, or runs of the request
};

/** Counts the requests that run on all targets of a scenario and records
 * violations of the guarantees for callers and targets. */
class TargetRunTracker {
 public:
  explicit TargetRunTracker(const std::vector<VmInfo>& targets);

  /** Records that a request starts to run on the target with index `target`. */
  void BeginRun(size_t target, const std::string& request_id, bool idempotent);
  void EndRun(size_t target);

  size_t size() const { return m_targets.size(); }
  /** Returns the index of the target with this name, or size() if there is
   * none.
   */
  size_t FindTarget(const std::string& name) const;
  /** Returns the number of runs of a request on all targets. */
  uint64_t RunCount(const std::string& request_id) const;
  const std::vector<TargetViolation>& violations() const {
    return m_violations;
  }
  Json Stats() const;

 private:
  struct Target {
    std::string name;
    uint64_t slots = 0;
    uint64_t running = 0;
    uint64_t peak_running = 0;
    uint64_t runs = 0;
  };
  struct Request {
    uint64_t runs = 0;
    bool idempotent = true;  // false if any run was marked non-idempotent
  };

  std::vector<Target> m_targets;
  std::unordered_map<std::string, Request> m_requests;
  std::vector<TargetViolation> m_violations;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_TARGET_RUN_TRACKER_H_
