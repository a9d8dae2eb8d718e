#ifndef COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_
#define COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_

#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/vm.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

enum class VmRowsErrorKind { kUnreadableFile, kBadJson, kBadRow };

/** Why a VM list file could not be used. */
struct VmRowsError {
  VmRowsErrorKind kind = VmRowsErrorKind::kUnreadableFile;
  std::string detail;  // path, or the row that is wrong
};

/** Splits `address:port` at the last colon. */
std::optional<Endpoint> SplitAddress(const std::string& text);

/** Reads {"vms":[...]} and returns its rows unchanged. */
std::optional<Json> ReadVmListFile(const std::string& path,
                                   VmRowsError& reason);

/** Returns the rows of one kind. */
std::optional<std::vector<VmInfo>> ParseVmRows(const Json& rows,
                                               VmKind kind,
                                               VmRowsError& reason);

/** Reads the rows of one kind; on failure writes the reason to stderr. */
std::optional<std::vector<VmInfo>> LoadVmRows(const std::string& path,
                                              VmKind kind);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_
