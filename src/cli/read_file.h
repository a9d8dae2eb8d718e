#ifndef COWSLIPMAST_SRC_CLI_READ_FILE_H_
#define COWSLIPMAST_SRC_CLI_READ_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cowslipmast {

/** Reads a file, or standard input for `-`; at most `limit` bytes and one
 * more, so that a longer file is found to be too long. */
std::optional<std::string> ReadFile(const std::string& path, size_t limit);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_READ_FILE_H_
