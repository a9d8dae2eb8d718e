#ifndef COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_
#define COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_

#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/vm.h"
#include "standins/common/json.h"

namespace cowslipmast::standins {

enum class VmRowsErrorKind { kUnreadableFile, kBadJson, kBadRow };

/** Why a VM list file could not be read. */
struct VmRowsError {
  VmRowsErrorKind kind = VmRowsErrorKind::kUnreadableFile;
  std::string detail;  // path of the file, or the invalid row
};

/** Splits `address:port` at the last colon; returns nothing if there is no
 * valid port. */
std::optional<Endpoint> SplitAddress(const std::string& text);

/** Reads {"vms":[...]} and returns its rows unchanged. */
std::optional<Json> ReadVmListFile(const std::string& path,
                                   VmRowsError& reason);

/** Parses the rows of one kind. Returns nothing and sets `reason` if one of
 * them is not valid. */
std::optional<std::vector<VmInfo>> ParseVmRows(const Json& rows,
                                               VmKind kind,
                                               VmRowsError& reason);

/** Reads the rows of one kind from a file; writes errors to stderr. */
std::optional<std::vector<VmInfo>> LoadVmRows(const std::string& path,
                                              VmKind kind);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_VM_ROWS_H_
