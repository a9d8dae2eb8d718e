#include "src/scheduler_process/cell_path.h"

#include "src/core/strings.h"

namespace cowslipmast::sched {

namespace {

constexpr std::string_view kCellsPath = "/v1/cells/";

}  // namespace

std::string MakeCellPath(CellId cell, std::string_view resource) {
  return std::string(kCellsPath) + std::to_string(cell.value()) + "/" +
         std::string(resource);
}

std::optional<CellPath> ParseCellPath(std::string_view path) {
  if (!path.starts_with(kCellsPath))
    return std::nullopt;
  path.remove_prefix(kCellsPath.size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto cell = ParseUnsigned(path.substr(0, slash));
  if (!cell)
    return std::nullopt;
  return CellPath{CellId(*cell), path.substr(slash + 1)};
}

}  // namespace cowslipmast::sched
