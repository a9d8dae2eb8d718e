#include "standins/vm_list/vm_list.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::standins {

VmList::VmList(Json rows, Duration lag) : m_rows(std::move(rows)), m_lag(lag) {}

bool VmList::SetState(const std::string& vm,
                      const std::string& state,
                      TimePoint now) {
  if (state != "live" && state != "leaving" && state != "gone")
    return false;
  const bool known =
      std::any_of(m_rows.begin(), m_rows.end(),
                  [&vm](const Json& row) { return row.value("id", "") == vm; });
  if (!known)
    return false;
  m_changes[vm].push_back({now + m_lag, state});
  return true;
}

Json VmList::VisibleRows(TimePoint now) const {
  Json visible = Json::array();
  for (const Json& row : m_rows) {
    std::string state = row.value("state", "live");
    const auto changes = m_changes.find(row.value("id", ""));
    if (changes != m_changes.end()) {
      for (const Change& change : changes->second) {
        if (change.visible_at <= now)
          state = change.state;
      }
    }
    if (state == "gone")
      continue;
    Json shown = row;
    shown["state"] = state;
    visible.push_back(std::move(shown));
  }
  return visible;
}

}  // namespace cowslipmast::standins
