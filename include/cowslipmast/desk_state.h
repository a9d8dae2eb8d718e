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

/** Number of a request within one process. */
using DeskTicket = Number<struct DeskTicketTag>;

/** Where a request came from. A peer's request is not forwarded again. */
enum class DeskOrigin { kCaller, kPeer };

struct DeskLimits {
  /** Time in the queue after which another region may serve a request. */
  Duration remote_forward_delay = std::chrono::milliseconds(50);
  /** Shortest queue of a service; otherwise it is twice the owned slots. */
  size_t min_queue = 16;
  Duration first_back_off = std::chrono::seconds(1);
  Duration longest_back_off = std::chrono::seconds(30);
  /** How long a target that answered that it is leaving gets nothing new,
   * unless the VM list says so too. The list lags, but not that long. */
  Duration leaving_answer_hold = std::chrono::seconds(30);
  /** A missed deadline counts against a target that answered nothing for this
   * long while it had requests, so that a single caller with a tiny deadline
   * does not stop a target. A probe is given up after the same time. */
  Duration mute_limit = std::chrono::seconds(1);
  double retries_per_request = 0.1;
  /** Unused retries that are kept for a burst of failures. */
  double retry_burst = 10;
  Duration id_memory = std::chrono::minutes(10);
  size_t id_entries = 65536;
  size_t id_answer_bytes = 16 * 1024 * 1024;
  size_t id_answer_body = 64 * 1024;  // larger ones are not repeated
};

/** A target of the own region as the VM list and configuration show it. */
struct DeskTargetInfo {
  TargetId id;
  ServiceId service;
  Slots slots;  // the smaller of the service's and the VM list's number
  Endpoint endpoint;
  bool leaving = false;
  bool data_centre_out = false;

  bool operator==(const DeskTargetInfo&) const = default;
};

/** A peer that can be reached, with its latest report. */
struct DeskPeerInfo {
  ProcessId process;
  bool own_region = true;
  FreeSlots free_slots;
  TimePoint reported_at;

  bool operator==(const DeskPeerInfo&) const = default;
};

struct DeskTarget {
  DeskTargetInfo info;
  bool listed = true;   // false while requests in progress outlive the row
  bool usable = false;  // owned, with permission to act
  Slots in_flight;
  TimePoint leaving_until;  // by the target's own answer
  Duration back_off{0};     // 0 while the target works
  TimePoint retry_at;
  TimePoint failed_at;
  TimePoint answered_at;
  TimePoint mute_since;   // first request since it answered or failed
  TimePoint probe_until;  // after a back-off, one request goes first
};

struct DeskPeer {
  DeskPeerInfo info;
  FreeSlots free_slots;  // `info.free_slots` less what was sent since
};

struct DeskService {
  std::set<TargetId> targets;
  /** Waiting requests by deadline. */
  std::set<std::pair<TimePoint, DeskTicket>> queue;
};

enum class DeskPlace { kNowhere, kQueue, kTarget, kPeer };

/** A request from its arrival until it was replied to and runs nowhere. */
struct DeskCall {
  DeskRequest request;
  DeskOrigin origin = DeskOrigin::kCaller;
  TimePoint arrived_at;
  TimePoint deadline;
  DeskPlace place = DeskPlace::kNowhere;
  TargetId target;  // with kTarget
  ProcessId peer;   // with kPeer
  TimePoint sent_at;
  bool written = false;  // a byte may have reached a target
  bool replied = false;
  bool probe = false;  // first request after a back-off
  DeskRefusal last_failure = DeskRefusal::kNone;
};

/** What is known of a request id that ran here. */
struct DeskIdEntry {
  uint64_t fingerprint = 0;  // of method, path and body
  bool running = true;
  std::optional<DeskReply> answer;  // of an ended request, if kept
};

struct DeskIdMemory {
  absl::flat_hash_map<RequestId, DeskIdEntry> entries;
  std::deque<std::pair<TimePoint, RequestId>> ended;  // oldest first
  std::deque<RequestId> answered;                     // those with an answer
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
  uint64_t ids_dropped = 0;      // before their time, to bound the memory
  uint64_t answers_dropped = 0;  // the same
  uint64_t target_failures = 0;
  uint64_t missed_deadlines = 0;  // of requests at a target
  uint64_t leaving_answers = 0;
};

/** Everything that routing knows; changed by the functions of desk.h only. */
struct DeskState {
  DeskLimits limits;
  DeskCounters counters;
  bool draining = false;
  bool closed = false;                 // drained; what is owned may be given up
  std::set<ServiceId> known_services;  // of the configuration
  std::map<ServiceId, DeskService> services;
  std::map<TargetId, DeskTarget> targets;
  TimePoint usable_until;
  std::map<ProcessId, DeskPeer> peers;
  absl::flat_hash_map<DeskTicket, DeskCall> calls;
  std::set<std::pair<TimePoint, DeskTicket>> deadlines;  // without a reply
  DeskTicket last_ticket;
  double retry_budget = 0;
  DeskIdMemory ids;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_DESK_STATE_H_
