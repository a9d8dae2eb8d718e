#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CALLER_KEYS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CALLER_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** The keys of the manifest's workspaces. They are never handed out, so that
 * neither a log nor a dump can show them. */
class CallerKeys {
 public:
  /** False if the key is empty or known already; it is then not added. */
  bool Add(std::string key, const WorkspaceId& workspace);

  /** The workspace of the key; null if no workspace has it. The time taken
   * tells nothing of the keys but their lengths. */
  const WorkspaceId* Find(std::string_view key) const;

  bool operator==(const CallerKeys&) const = default;

 private:
  struct Entry {
    std::string key;
    WorkspaceId workspace;

    bool operator==(const Entry&) const = default;
  };

  std::vector<Entry> m_entries;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CALLER_KEYS_H_
