#ifndef COWSLIPMAST_SRC_DESK_ID_MEMORY_H_
#define COWSLIPMAST_SRC_DESK_ID_MEMORY_H_

#include <cstdint>

#include "cowslipmast/desk_state.h"

namespace cowslipmast {

/** Hash of method, path and body, so that an answer is never repeated to
 * another request that happens to carry the same id. */
uint64_t Fingerprint(const DeskRequest& request);

/** Notes that a request runs. Its id must be absent. */
void NoteRunning(DeskState& state, const DeskRequest& request);

/** Forgets the id of a request that did not run. */
void ForgetId(DeskState& state, const RequestId& id);

/** Notes how a running request ended and keeps its answer if small enough. */
void NoteEnded(DeskState& state,
               TimePoint now,
               const RequestId& id,
               const DeskReply& reply);

/** Drops ids that are too old. */
void ExpireIds(DeskState& state, TimePoint now);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_ID_MEMORY_H_
