#ifndef COWSLIPMAST_ROUTER_STATE_H_
#define COWSLIPMAST_ROUTER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/router_message.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"

namespace cowslipmast {

/** Identifies a request within one process. */
using RequestTicket = Number<struct RequestTicketTag>;

/** Where a request came from. A request from a peer is not forwarded again. */
enum class RequestOrigin { kCaller, kPeer };

struct RouterLimits {
  /** Time since arrival after which another region may serve a queued
   * request. */
  Duration remote_forward_delay = std::chrono::milliseconds(50);
  /** Minimum for a service's queue limit, which is twice its owned slots. */
  size_t min_queue_limit = 16;
  Duration initial_back_off = std::chrono::seconds(1);
  Duration max_back_off = std::chrono::seconds(30);
  /** How long a target gets no new requests after it answered that it is
   * leaving. The VM list reports this too, with a lag that is shorter. */
  Duration leaving_answer_duration = std::chrono::seconds(30);
  /** A missed deadline counts as a target failure only if the target had
   * requests and answered none for this long, so that a single caller with a
   * very short deadline does not take a target out of use. A probe request
   * times out after the same time. */
  Duration unresponsive_timeout = std::chrono::seconds(1);
  double retries_per_request = 0.1;
  /** Upper bound of the retry budget, which covers a burst of failures. */
  double max_retry_budget = 10;
  Duration id_retention = std::chrono::minutes(10);
  size_t max_ids = 65536;
  size_t max_cached_answer_bytes = 16 * 1024 * 1024;
  /** Larger answers are not cached. */
  size_t max_cached_answer_body_bytes = 64 * 1024;
};

/** A target of this region, from the VM list and the configuration. */
struct RouterTargetInfo {
  TargetId id;
  ServiceId service;
  Slots slots;  // minimum of the service's setting and the VM list's value
  Endpoint endpoint;
  bool leaving = false;
  bool data_centre_out = false;

  bool operator==(const RouterTargetInfo&) const = default;
};

/** A reachable peer with its latest report. */
struct RouterPeerInfo {
  ProcessId process;
  bool own_region = true;
  FreeSlots free_slots;
  TimePoint reported_at;

  bool operator==(const RouterPeerInfo&) const = default;
};

struct RouterTarget {
  RouterTargetInfo info;
  bool listed = true;   // false once the VM list lacks it, while requests are
                        // still in progress
  bool usable = false;  // owned, and this process is permitted to use it
  Slots in_flight;
  TimePoint leaving_until;  // set when the target answers that it is leaving
  Duration back_off{0};     // 0 unless the target failed
  TimePoint retry_at;
  TimePoint failed_at;
  TimePoint answered_at;
  TimePoint unanswered_since;  // time of the first request since the last
                               // answer or failure
  // Only one request is sent until then after a back-off.
  TimePoint probe_until;
};

struct RouterPeer {
  RouterPeerInfo info;
  FreeSlots free_slots;  // `info.free_slots` minus the requests forwarded since
};

struct RouterService {
  std::set<TargetId> targets;
  /** Queued requests by deadline. */
  std::set<std::pair<TimePoint, RequestTicket>> queue;
};

enum class RequestLocation { kNowhere, kQueue, kTarget, kPeer };

/** A request from its arrival until it has a reply and is no longer in progress
 * at a target or peer. */
struct RouterCall {
  RouterRequest request;
  RequestOrigin origin = RequestOrigin::kCaller;
  TimePoint arrived_at;
  TimePoint deadline;
  RequestLocation location = RequestLocation::kNowhere;
  TargetId target;  // if `location` is kTarget
  ProcessId peer;   // if `location` is kPeer
  TimePoint sent_at;
  bool possibly_written = false;  // at least one byte may have reached a target
  bool replied = false;
  bool probe = false;  // the first request to the target after a back-off
  RefusalReason last_failure = RefusalReason::kNone;
};

/** What this process knows of a request id that was accepted here. */
struct RequestIdEntry {
  uint64_t fingerprint = 0;  // hash of method, path and body
  bool running = true;
  std::optional<RouterReply> answer;  // of a finished request, if cached
};

struct RequestIdCache {
  absl::flat_hash_map<RequestId, RequestIdEntry> entries;
  // Finished requests, oldest first.
  std::deque<std::pair<TimePoint, RequestId>> ended;
  std::deque<RequestId> answered;  // ids with a cached answer, oldest first
  size_t answer_bytes = 0;
};

struct RouterCounters {
  uint64_t requests = 0;
  uint64_t retries = 0;
  uint64_t retries_over_budget = 0;
  uint64_t forwards_in_region = 0;
  uint64_t forwards_to_other_regions = 0;
  uint64_t late_answers = 0;
  uint64_t duplicate_ids = 0;
  uint64_t ids_dropped = 0;      // evicted early to bound memory
  uint64_t answers_dropped = 0;  // cached answers evicted early to bound memory
  uint64_t target_failures = 0;
  uint64_t missed_deadlines = 0;  // of requests that were at a target
  uint64_t leaving_answers = 0;
};

/** The state of the request router; changed only by the functions in router.h.
 */
struct RouterState {
  RouterLimits limits;
  RouterCounters counters;
  bool draining = false;
  bool closed = false;                 // drained; owned targets may be released
  std::set<ServiceId> known_services;  // from the configuration
  std::map<ServiceId, RouterService> services;
  std::map<TargetId, RouterTarget> targets;
  TimePoint usable_until;
  std::map<ProcessId, RouterPeer> peers;
  absl::flat_hash_map<RequestTicket, RouterCall> calls;
  // Of calls that have no reply yet.
  std::set<std::pair<TimePoint, RequestTicket>> deadlines;
  RequestTicket last_ticket;
  double retry_budget = 0;
  RequestIdCache ids;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_ROUTER_STATE_H_
