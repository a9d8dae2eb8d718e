#ifndef COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_H_
#define COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "cowslipmast/units.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

/** The platform's list of VMs, in which changes show after a lag. */
class VmList {
 public:
  /** `rows` is an array of rows with an "id" each. */
  VmList(Json rows, Duration lag);

  /** Sets `live`, `leaving` or `gone`; false if the VM or state is unknown. */
  bool SetState(const std::string& vm, const std::string& state, TimePoint now);
  /** Rows as the list shows them at `now`; VMs that are gone are left out. */
  Json VisibleRows(TimePoint now) const;

 private:
  struct Change {
    TimePoint visible_at;
    std::string state;
  };

  Json m_rows;
  Duration m_lag;
  std::map<std::string, std::vector<Change>> m_changes;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_H_
