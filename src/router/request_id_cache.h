#ifndef COWSLIPMAST_SRC_ROUTER_REQUEST_ID_CACHE_H_
#define COWSLIPMAST_SRC_ROUTER_REQUEST_ID_CACHE_H_

#include <cstdint>

#include "cowslipmast/router_state.h"

namespace cowslipmast {

/** Hashes method, path and body. A cached answer is only returned to a request
 * with the same hash, not to another request that reuses the id. */
uint64_t Fingerprint(const RouterRequest& request);

/** Records that a request is running. Its id must not be in the cache. */
void NoteRunning(RouterState& state, const RouterRequest& request);

/** Removes the id of a request that did not run. */
void ForgetId(RouterState& state, const RequestId& id);

/** Records the result of a running request and caches its answer if it is small
 * enough. */
void NoteEnded(RouterState& state,
               TimePoint now,
               const RequestId& id,
               const RouterReply& reply);

/** Removes ids that are older than the retention time. */
void ExpireIds(RouterState& state, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_ROUTER_REQUEST_ID_CACHE_H_
