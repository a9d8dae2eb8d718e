#include "src/router/request_id_cache.h"

#include <functional>
#include <string_view>
#include <utility>

namespace cowslipmast {

namespace {

constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;  // 2^64 / golden ratio

size_t AnswerBytes(const RouterReply& reply) {
  size_t bytes = reply.response.body.size();
  for (const HttpHeader& header : reply.response.headers)
    bytes += header.name.size() + header.value.size();
  return bytes;
}

void DropOldestAnswer(RequestIdCache& ids) {
  const auto found = ids.entries.find(ids.answered.front());
  ids.answer_bytes -= AnswerBytes(*found->second.answer);
  found->second.answer.reset();
  ids.answered.pop_front();
}

void DropOldestId(RequestIdCache& ids) {
  const RequestId& id = ids.ended.front().second;
  // Both lists are sorted by end time, so the oldest id has the oldest answer.
  if (!ids.answered.empty() && ids.answered.front() == id)
    DropOldestAnswer(ids);
  ids.entries.erase(id);
  ids.ended.pop_front();
}

}  // namespace

uint64_t Fingerprint(const RouterRequest& request) {
  uint64_t hash = 0;
  for (const std::string_view part :
       {std::string_view(request.method), std::string_view(request.path),
        std::string_view(request.body)})
    hash = (hash ^ std::hash<std::string_view>()(part)) * kMultiplier;
  return hash;
}

void NoteRunning(RouterState& state, const RouterRequest& request) {
  state.ids.entries.emplace(request.id,
                            RequestIdEntry{.fingerprint = Fingerprint(request),
                                           .running = true,
                                           .answer = std::nullopt});
}

void ForgetId(RouterState& state, const RequestId& id) {
  state.ids.entries.erase(id);
}

void NoteEnded(RouterState& state,
               TimePoint now,
               const RequestId& id,
               const RouterReply& reply) {
  RequestIdCache& ids = state.ids;
  RequestIdEntry& entry = ids.entries.at(id);
  entry.running = false;
  ids.ended.emplace_back(now, id);
  const bool keep =
      reply.outcome == RequestOutcome::kAnswered &&
      AnswerBytes(reply) <= state.limits.max_cached_answer_body_bytes;
  if (keep) {
    entry.answer = reply;
    entry.answer->free_slots.clear();
    ids.answered.push_back(id);
    ids.answer_bytes += AnswerBytes(reply);
  }
  while (ids.answer_bytes > state.limits.max_cached_answer_bytes) {
    DropOldestAnswer(ids);
    ++state.counters.answers_dropped;
  }
  while (ids.ended.size() > state.limits.max_ids) {
    DropOldestId(ids);
    ++state.counters.ids_dropped;
  }
}

void ExpireIds(RouterState& state, TimePoint now) {
  RequestIdCache& ids = state.ids;
  while (!ids.ended.empty() &&
         now - ids.ended.front().first >= state.limits.id_retention)
    DropOldestId(ids);
}

}  // namespace cowslipmast
