#ifndef COWSLIPMAST_DESK_STATE_H_
#define COWSLIPMAST_DESK_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/desk_message.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"

namespace cowslipmast {

/** Identifies a request within one process. */
using DeskTicket = Number<struct DeskTicketTag>;

/** Where a request came from. A request from a peer is not forwarded again. */
enum class DeskOrigin { kCaller, kPeer };

struct DeskLimits {
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
struct DeskTargetInfo {
  TargetId id;
  ServiceId service;
  Slots slots;  // minimum of the service's setting and the VM list's value
  Endpoint endpoint;
  bool leaving = false;
  bool data_centre_out = false;

  bool operator==(const DeskTargetInfo&) const = default;
};

/** A reachable peer with its latest report. */
struct DeskPeerInfo {
  ProcessId process;
  bool own_region = true;
  FreeSlots free_slots;
  TimePoint reported_at;

  bool operator==(const DeskPeerInfo&) const = default;
};

struct DeskTarget {
  DeskTargetInfo info;
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

struct DeskPeer {
  DeskPeerInfo info;
  FreeSlots free_slots;  // `info.free_slots` minus the requests forwarded since
};

struct DeskService {
  std::set<TargetId> targets;
  /** Queued requests by deadline. */
  std::set<std::pair<TimePoint, DeskTicket>> queue;
};

enum class DeskPlace { kNowhere, kQueue, kTarget, kPeer };

/** A request from its arrival until it has a reply and is no longer in progress
 * at a target or peer. */
struct DeskCall {
  DeskRequest request;
  DeskOrigin origin = DeskOrigin::kCaller;
  TimePoint arrived_at;
  TimePoint deadline;
  DeskPlace place = DeskPlace::kNowhere;
  TargetId target;  // if `place` is kTarget
  ProcessId peer;   // if `place` is kPeer
  TimePoint sent_at;
  bool written = false;  // at least one byte may have reached a target
  bool replied = false;
  bool probe = false;  // the first request to the target after a back-off
  DeskRefusal last_failure = DeskRefusal::kNone;
};

/** What this process knows of a request id that was accepted here. */
struct DeskIdEntry {
  uint64_t fingerprint = 0;  // hash of method, path and body
  bool running = true;
  std::optional<DeskReply> answer;  // of a finished request, if cached
};

struct DeskIdMemory {
  absl::flat_hash_map<RequestId, DeskIdEntry> entries;
  // Finished requests, oldest first.
  std::deque<std::pair<TimePoint, RequestId>> ended;
  std::deque<RequestId> answered;  // ids with a cached answer, oldest first
  size_t answer_bytes = 0;
};

struct DeskCounters {
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

/** The state of the request router; changed only by the functions in desk.h. */
struct DeskState {
  DeskLimits limits;
  DeskCounters counters;
  bool draining = false;
  bool closed = false;                 // drained; owned targets may be released
  std::set<ServiceId> known_services;  // from the configuration
  std::map<ServiceId, DeskService> services;
  std::map<TargetId, DeskTarget> targets;
  TimePoint usable_until;
  std::map<ProcessId, DeskPeer> peers;
  absl::flat_hash_map<DeskTicket, DeskCall> calls;
  // Of calls that have no reply yet.
  std::set<std::pair<TimePoint, DeskTicket>> deadlines;
  DeskTicket last_ticket;
  double retry_budget = 0;
  DeskIdMemory ids;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_DESK_STATE_H_
