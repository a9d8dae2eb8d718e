#ifndef COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_
#define COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_

#include <nlohmann/json.hpp>

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** State of the desk for operators, without headers and bodies. */
nlohmann::json DumpDesk(const DeskState& state, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ENTRY_DUMP_H_
