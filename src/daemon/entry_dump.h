#ifndef COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_
#define COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_

#include <nlohmann/json.hpp>

#include "cowslipmast/router.h"

namespace cowslipmast {

/** State of the router for operators, without headers and bodies. */
nlohmann::json DumpRouter(const RouterState& state, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_
