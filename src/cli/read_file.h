#ifndef COWSLIPMAST_SRC_CLI_READ_FILE_H_
#define COWSLIPMAST_SRC_CLI_READ_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cowslipmast {

/** Reads a file, or standard input for `-`. Reads at most `limit` + 1 bytes, so
 * that the caller can detect a file that is too long. */
std::optional<std::string> ReadFile(const std::string& path, size_t limit);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_READ_FILE_H_
