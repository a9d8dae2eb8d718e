#ifndef COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_H_
#define COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "cowslipmast/units.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

/** The platform's list of VMs, which shows each change after a delay. */
class VmList {
 public:
  /** `rows` is an array of objects that have an "id". */
  VmList(Json rows, Duration lag);

  /** Sets the state of a VM to `live`, `leaving` or `gone`. Returns false if
   * the VM or the state is unknown. */
  bool SetState(const std::string& vm, const std::string& state, TimePoint now);
  /** Returns the rows that the list shows at `now`, without VMs that are gone.
   */
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
