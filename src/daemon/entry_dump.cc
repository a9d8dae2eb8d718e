#include "src/daemon/entry_dump.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowslipmast {

namespace {

constexpr size_t kMaxDumpedCalls = 100;

int64_t MillisUntil(TimePoint now, TimePoint time) {
  if (time == TimePoint::max())
    return -1;  // no limit
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(time - now);
  return std::max<int64_t>(0, left.count());
}

const char* LocationName(RequestLocation location) {
  switch (location) {
    case RequestLocation::kNowhere:
      return "nowhere";
    case RequestLocation::kQueue:
      return "queue";
    case RequestLocation::kTarget:
      return "target";
    case RequestLocation::kPeer:
      return "peer";
  }
  return "unknown";
}

nlohmann::json DumpTarget(const RouterTarget& target, TimePoint now) {
  return {{"service", target.info.service.value()},
          {"endpoint", target.info.endpoint.address + ":" +
                           std::to_string(target.info.endpoint.port)},
          {"slots", target.info.slots.count()},
          {"in_flight", target.in_flight.count()},
          {"listed", target.listed},
          {"usable", target.usable},
          {"leaving", target.info.leaving || now < target.leaving_until},
          {"data_centre_out", target.info.data_centre_out},
          {"back_off_ms", MillisUntil(now, target.retry_at)}};
}

nlohmann::json DumpFreeSlots(const FreeSlots& free_slots) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, slots] : free_slots)
    json[service.value()] = slots.count();
  return json;
}

nlohmann::json DumpCall(const RouterCall& call, TimePoint now) {
  return {{"id", call.request.id.value()},
          {"service", call.request.service.value()},
          {"idempotent", call.request.idempotent},
          {"from_peer", call.origin == RequestOrigin::kPeer},
          {"place", LocationName(call.location)},
          {"target", call.target.value()},
          {"peer", call.peer.value()},
          {"replied", call.replied},
          {"age_ms", MillisUntil(call.arrived_at, now)},
          {"deadline_ms", MillisUntil(now, call.deadline)}};
}

nlohmann::json DumpCalls(const RouterState& state, TimePoint now) {
  std::vector<std::pair<RequestTicket, const RouterCall*>> oldest;
  oldest.reserve(state.calls.size());
  for (const auto& [ticket, call] : state.calls)
    oldest.emplace_back(ticket, &call);
  std::sort(oldest.begin(), oldest.end());
  nlohmann::json json = nlohmann::json::array();
  for (const auto& [ticket, call] : oldest) {
    if (json.size() == kMaxDumpedCalls)
      break;
    json.push_back(DumpCall(*call, now));
  }
  return json;
}

nlohmann::json DumpCounters(const RouterCounters& counters) {
  return {{"requests", counters.requests},
          {"retries", counters.retries},
          {"retries_over_budget", counters.retries_over_budget},
          {"forwards_in_region", counters.forwards_in_region},
          {"forwards_to_other_regions", counters.forwards_to_other_regions},
          {"late_answers", counters.late_answers},
          {"duplicate_ids", counters.duplicate_ids},
          {"ids_dropped", counters.ids_dropped},
          {"answers_dropped", counters.answers_dropped},
          {"target_failures", counters.target_failures},
          {"missed_deadlines", counters.missed_deadlines},
          {"leaving_answers", counters.leaving_answers}};
}

}  // namespace

nlohmann::json DumpRouter(const RouterState& state, TimePoint now) {
  nlohmann::json json;
  json["draining"] = state.draining;
  json["usable_for_ms"] = MillisUntil(now, state.usable_until);
  json["targets"] = nlohmann::json::object();
  for (const auto& [id, target] : state.targets)
    json["targets"][id.value()] = DumpTarget(target, now);
  json["queues"] = nlohmann::json::object();
  for (const auto& [id, service] : state.services)
    json["queues"][id.value()] = service.queue.size();
  json["peers"] = nlohmann::json::object();
  for (const auto& [process, peer] : state.peers)
    json["peers"][process.value()] = {
        {"own_region", peer.info.own_region},
        {"free_slots", DumpFreeSlots(peer.free_slots)}};
  json["calls_in_progress"] = state.calls.size();
  json["oldest_calls"] = DumpCalls(state, now);
  json["request_ids"] = {{"entries", state.ids.entries.size()},
                         {"answer_bytes", state.ids.answer_bytes}};
  json["retry_budget"] = state.retry_budget;
  json["counters"] = DumpCounters(state.counters);
  return json;
}

}  // namespace cowslipmast
