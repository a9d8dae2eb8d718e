#include "src/cli/read_file.h"

#include <fstream>
#include <iostream>
#include <istream>

namespace cowslipmast {

namespace {

std::optional<std::string> ReadStream(std::istream& stream, size_t limit) {
  std::string text(limit + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad())
    return std::nullopt;
  text.resize(static_cast<size_t>(stream.gcount()));
  return text;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path, size_t limit) {
  if (path == "-")
    return ReadStream(std::cin, limit);
  std::ifstream file(path, std::ios::binary);
  // A directory can be opened; only reading from it fails.
  if (!file || (file.peek(), file.bad()))
    return std::nullopt;
  file.clear();
  return ReadStream(file, limit);
}

}  // namespace cowslipmast
