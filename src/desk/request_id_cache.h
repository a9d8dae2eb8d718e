#ifndef COWSLIPMAST_SRC_DESK_REQUEST_ID_CACHE_H_
#define COWSLIPMAST_SRC_DESK_REQUEST_ID_CACHE_H_

#include <cstdint>

#include "cowslipmast/desk_state.h"

namespace cowslipmast {

/** Hashes method, path and body. A cached answer is only returned to a request
 * with the same hash, not to another request that reuses the id. */
uint64_t Fingerprint(const DeskRequest& request);

/** Records that a request is running. Its id must not be in the cache. */
void NoteRunning(DeskState& state, const DeskRequest& request);

/** Removes the id of a request that did not run. */
void ForgetId(DeskState& state, const RequestId& id);

/** Records the result of a running request and caches its answer if it is small
 * enough. */
void NoteEnded(DeskState& state,
               TimePoint now,
               const RequestId& id,
               const DeskReply& reply);

/** Removes ids that are older than the retention time. */
void ExpireIds(DeskState& state, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_REQUEST_ID_CACHE_H_
