#ifndef COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_
#define COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_

#include <nlohmann/json.hpp>

#include "cowslipmast/placement.h"
#include "cowslipmast/shared_state.h"

namespace cowslipmast {

/** Describes a job; counts its tasks if `data_centre` is given. */
nlohmann::json JobToJson(const JobEntry& job,
                         const DataCentreState* data_centre);

/** Describes a job that has ended; none of its tasks runs any more. */
nlohmann::json EndedJobToJson(const EndedJob& job);

/** Describes a placement: its workers, tasks and counters. */
nlohmann::json PlacementToJson(const Placement& placement, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_JOB_VIEW_JSON_H_
