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
  kOverSlotLimit,   // more requests at a time than slots
  kRanMoreThanOnce  // a non-idempotent request ran again
};

struct TargetViolation {
  TargetViolationKind kind = TargetViolationKind::kOverSlotLimit;
  std::string target;
  std::string request_id;
  uint64_t count = 0;  // requests at a time, or runs
};

/** Counts what runs on all targets of a scenario and judges it. */
class TargetRunTracker {
 public:
  explicit TargetRunTracker(const std::vector<VmInfo>& targets);

  /** A request starts to run on the target at position `target`. */
  void BeginRun(size_t target, const std::string& request_id, bool idempotent);
  void EndRun(size_t target);

  size_t size() const { return m_targets.size(); }
  /** Position of a target by its name, or size() if there is none. */
  size_t FindTarget(const std::string& name) const;
  /** How often a request ran on any target. */
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
    bool idempotent = true;  // false once a run was marked non-idempotent
  };

  std::vector<Target> m_targets;
  std::unordered_map<std::string, Request> m_requests;
  std::vector<TargetViolation> m_violations;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_TARGET_RUN_TRACKER_H_
