#include "src/sched/lease_notes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/core/cbor.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// What passes between the last record and the next owner's reading is waited
// for once more.
constexpr Duration kNoteInterval = milliseconds(500);

std::set<WorkerId> FindSilentWorkers(const State& state) {
  std::set<WorkerId> silent;
  for (const WorkerState& worker : state.workers) {
    const bool is_known_silent =
        worker.is_silent || IsLeaseNoted(state, worker.info.id);
    if (is_known_silent && !worker.tasks.empty() &&
        worker.reachability != Reachability::kReachable)
      silent.insert(worker.info.id);
  }
  return silent;
}

std::string EncodeTimesLeft(const State& state,
                            const std::set<WorkerId>& silent,
                            TimePoint now) {
  if (silent.empty())
    return "";
  json left = json::object();
  for (const WorkerId& id : silent) {
    const WorkerState& worker =
        state.workers[static_cast<size_t>(FindWorkerIndex(state, id))];
    const Duration rest = std::max(Duration(0), worker.lease_expiry - now);
    left[id.value()] = duration_cast<milliseconds>(rest).count() + 1;
  }
  const std::vector<uint8_t> bytes = json::to_cbor(left);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

void EncodeLeaseNotes(State& state, TimePoint now, Plan& plan) {
  LeaseNotes& notes = state.lease_notes;
  std::set<WorkerId> silent = FindSilentWorkers(state);
  const bool is_old =
      !silent.empty() && now - notes.planned_at >= kNoteInterval;
  if (silent == notes.planned && !is_old)
    return;
  plan.records.push_back(
      {std::string(kLeaseNotesKey), EncodeTimesLeft(state, silent, now)});
  notes.planned = std::move(silent);
  notes.planned_at = now;
}

void HandleStoredLeaseNotes(State& state) {
  LeaseNotes& notes = state.lease_notes;
  if (notes.stored == notes.planned)
    return;
  notes.stored = notes.planned;
  state.needs_plan = true;
}

bool ApplyLeaseNotes(State& state, const std::string& value) {
  const json left = ParseCbor(value);
  if (!left.is_object())
    return false;
  for (const auto& [id, rest] : left.items()) {
    if (!rest.is_number_unsigned())
      return false;
    state.lease_notes.inherited[WorkerId(id)] = milliseconds(std::min<uint64_t>(
        rest.get<uint64_t>(),
        duration_cast<milliseconds>(state.options.previous_owner_lease)
            .count()));
  }
  return true;
}

void RestoreLeaseNotes(State& state, TimePoint now) {
  LeaseNotes& notes = state.lease_notes;
  for (const auto& [id, left] : std::exchange(notes.inherited, {})) {
    WorkerState* worker = FindWorkerState(state, id);
    notes.stored.insert(id);
    if (worker != nullptr)
      worker->lease_expiry = std::min(worker->lease_expiry, now + left);
  }
  notes.planned = notes.stored;
}

bool IsLeaseNoted(const State& state, const WorkerId& worker) {
  return state.lease_notes.stored.count(worker) > 0 ||
         state.lease_notes.planned.count(worker) > 0;
}

}  // namespace cowslipmast::sched
