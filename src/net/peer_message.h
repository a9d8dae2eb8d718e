#ifndef COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/units.h"
#include "src/net/http_message.h"

namespace cowslipmast {

using FreeSlots = std::map<ServiceId, Slots>;

/** What a process tells its peers every 500 ms. */
struct Heartbeat {
  ProcessId process;
  RegionId region;
  Role role = Role::kEntry;
  LogOffset folded_next;  // next entry of the `control` stream to fold
  uint64_t digest = 0;    // of the `control` fold at `folded_next`
  std::optional<Duration> proof_age;
  FreeSlots free_slots;  // entries only
  bool draining = false;
};

enum class DeskOutcome { kAnswered, kNotRun, kUnknown };

/** Why a request was refused or its outcome is unknown. */
enum class DeskRefusal : uint16_t {
  kNone,
  kBadRequest,
  kUnknownService,
  kNoFreeSlot,
  kQueueFull,
  kDeadlinePassed,
  kDataCentreOut,
  kNoTarget,
  kDuplicateId,
  kResendNotKnown,
  kTargetUnreachable,
  kTargetConnectionLost,
  kTargetTimeout,
  kTargetBadAnswer,
  kPeerUnreachable,
  kPeerReplyLost,
};

/** A caller's request after its headers were checked. */
struct DeskRequest {
  RequestId id;
  ServiceId service;
  bool idempotent = false;
  bool resend = false;
  Duration remaining{0};  // until the caller's deadline
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
};

struct DeskReply {
  DeskOutcome outcome = DeskOutcome::kNotRun;
  DeskRefusal refusal = DeskRefusal::kNone;
  HttpResponse response;  // only with kAnswered
  FreeSlots free_slots;   // of the process that replied
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_
