#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_PATH_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_PATH_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/sched/cell.h"

namespace cowslipmast::sched {

/** Path of a request to the owner of a cell: /v1/cells/CELL/RESOURCE. */
struct CellPath {
  CellId cell;
  std::string_view resource;
};

std::string MakeCellPath(CellId cell, std::string_view resource);
/** Returns nothing for another path. `path` must outlive the result. */
std::optional<CellPath> ParseCellPath(std::string_view path);

// Resources of a cell.
inline constexpr std::string_view kHealthResource = "owner";
inline constexpr std::string_view kOfferResource = "offer";
inline constexpr std::string_view kLoadResource = "load";
inline constexpr std::string_view kInterferenceResource = "interference";
inline constexpr std::string_view kJobsResource = "jobs/";
inline constexpr std::string_view kRecordsResource = "records/";

/** Path of the claims that a process knows. */
inline constexpr std::string_view kClaimsPath = "/v1/claims";
/** Path of the waiting jobs of a queue, in all cells; any owner answers. */
inline constexpr std::string_view kWaitingPath = "/v1/waiting/";

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_PATH_H_
