#ifndef COWSLIPMAST_SRC_DAEMON_ENTRY_ROLE_H_
#define COWSLIPMAST_SRC_DAEMON_ENTRY_ROLE_H_

#include <cstdint>
#include <memory>

#include "src/daemon/role.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Entry process: serves callers on `settings.listen`. */
class EntryRole {
 public:
  /** Starts to listen. Copies `context`; the objects it refers to must outlive
   * the last handler of its io_context. */
  static std::unique_ptr<EntryRole> Make(const RoleContext& context,
                                         NetError& reason);
  ~EntryRole();
  EntryRole(const EntryRole&) = delete;
  EntryRole& operator=(const EntryRole&) = delete;

  /** The hooks share ownership of the state they use. */
  RoleHooks hooks();
  /** Port for callers. */
  uint16_t port() const;

 private:
  struct Impl;
  explicit EntryRole(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ENTRY_ROLE_H_
