#include "cowslipmast/sched/features.h"

namespace cowslipmast::sched {

std::optional<SchedulerFeatures> ParseFeatures(
    const std::vector<std::string>& names,
    std::string& unknown) {
  SchedulerFeatures features;
  for (const std::string& name : names) {
    if (name == "overload_order") {
      features.overload_order = true;
    } else if (name == "admission") {
      features.admission = true;
    } else if (name == "balance") {
      features.balance = true;
    } else if (name == "look_ahead") {
      features.look_ahead = true;
    } else if (name == "relocation") {
      features.relocation = true;
    } else {
      unknown = name;
      return std::nullopt;
    }
  }
  return features;
}

}  // namespace cowslipmast::sched
