#ifndef COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_
#define COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_

#include <nlohmann/json.hpp>

#include "cowslipmast/placement.h"
#include "cowslipmast/shared_state.h"

namespace cowslipmast {

/** Describes a job, with task counts if `data_centre` is not null. */
nlohmann::json JobToJson(const JobEntry& job,
                         const DataCentreState* data_centre);

/** Describes an ended job; none of its tasks is running. */
nlohmann::json EndedJobToJson(const EndedJob& job);

/** Describes the workers and tasks of a placement. */
nlohmann::json PlacementToJson(const PlacementState& placement, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_
