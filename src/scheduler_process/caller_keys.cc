#include "src/scheduler_process/caller_keys.h"

#include <cstddef>
#include <utility>

namespace cowslipmast::sched {

namespace {

// Looks at every byte whatever the outcome. The accumulator is volatile, since
// a compiler may otherwise leave the loop early.
bool AreEqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  volatile unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    const auto mismatch = static_cast<unsigned char>(a[i] ^ b[i]);
    difference = static_cast<unsigned char>(difference | mismatch);
  }
  return difference == 0;
}

}  // namespace

bool CallerKeys::Add(std::string key, const WorkspaceId& workspace) {
  if (key.empty() || Find(key) != nullptr)
    return false;
  m_entries.push_back({std::move(key), workspace});
  return true;
}

const WorkspaceId* CallerKeys::Find(std::string_view key) const {
  const WorkspaceId* found = nullptr;
  for (const Entry& entry : m_entries) {
    if (AreEqualInConstantTime(entry.key, key))
      found = &entry.workspace;
  }
  return found;
}

}  // namespace cowslipmast::sched
