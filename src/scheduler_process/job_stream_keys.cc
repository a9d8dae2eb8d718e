#include "src/scheduler_process/job_stream_keys.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

// A cancellation may be read before its submission, and a message of another
// cell before the transfer that it belongs to: by seconds, or longer while the
// store is away.
constexpr Duration kUnknownJobRetention = std::chrono::seconds(150);

}  // namespace

void JobStreamKeys::Add(const JobRecordKey& key,
                        const std::string& text,
                        std::optional<uint32_t> iteration) {
  m_keys[key.job].insert_or_assign(text, Entry{key.kind, iteration});
}

void JobStreamKeys::NoteUnknownJob(const JobId& id, TimePoint now) {
  m_unknown.emplace_back(now, id);
}

std::vector<std::string> JobStreamKeys::TakeIteration(const JobId& id,
                                                      uint32_t iteration,
                                                      bool is_home) {
  std::vector<std::string> taken;
  const auto found = m_keys.find(id);
  if (found == m_keys.end())
    return taken;
  std::map<std::string, Entry>& keys = found->second;
  auto transfers =
      std::count_if(keys.begin(), keys.end(), [](const auto& entry) {
        return entry.second.kind == JobRecordKind::kTransfer;
      });
  std::erase_if(keys, [&](const auto& entry) {
    if (entry.second.iteration != iteration)
      return false;
    if (entry.second.kind == JobRecordKind::kTransfer) {
      if (!is_home && transfers == 1)
        return false;
      --transfers;
    }
    taken.push_back(entry.first);
    return true;
  });
  return taken;
}

std::vector<std::string> JobStreamKeys::TakeJob(const JobId& id) {
  std::vector<std::string> taken;
  const auto found = m_keys.find(id);
  if (found == m_keys.end())
    return taken;
  for (const auto& [text, entry] : found->second)
    taken.push_back(text);
  m_keys.erase(found);
  return taken;
}

std::vector<JobId> JobStreamKeys::TakeUnknownJobs(
    TimePoint now,
    const std::function<bool(const JobId&)>& is_known) {
  std::vector<JobId> unknown;
  while (!m_unknown.empty() &&
         now - m_unknown.front().first >= kUnknownJobRetention) {
    if (!is_known(m_unknown.front().second))
      unknown.push_back(m_unknown.front().second);
    m_unknown.pop_front();
  }
  return unknown;
}

}  // namespace cowslipmast::sched
