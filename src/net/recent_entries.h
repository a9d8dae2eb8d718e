#ifndef COWSLIPMAST_SRC_NET_RECENT_ENTRIES_H_
#define COWSLIPMAST_SRC_NET_RECENT_ENTRIES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "src/net/log_client.h"

namespace cowslipmast {

/** Cache of the latest entries of a stream, limited in number and bytes. */
class RecentEntries {
 public:
  RecentEntries(size_t max_entries, size_t max_bytes)
      : m_max_entries(max_entries), m_max_bytes(max_bytes) {}

  /** Adds the entry that follows the previously added one. */
  void Add(const LogEntry& entry) {
    m_entries.push_back(entry);
    m_bytes += entry.data.size();
    while (m_entries.size() > m_max_entries || m_bytes > m_max_bytes) {
      m_bytes -= m_entries.front().data.size();
      m_entries.pop_front();
    }
  }
  void Clear() {
    m_entries.clear();
    m_bytes = 0;
  }

  /** Returns entries from an offset on; std::nullopt if the first one is no
   * longer cached. */
  std::optional<std::vector<LogEntry>> From(LogOffset from,
                                            size_t max_entries) const {
    if (m_entries.empty() || from < m_entries.front().offset)
      return std::nullopt;
    const uint64_t skip = from.value() - m_entries.front().offset.value();
    if (skip >= m_entries.size())
      return std::vector<LogEntry>();
    const size_t count = std::min(m_entries.size() - skip, max_entries);
    const auto first = m_entries.begin() + static_cast<ptrdiff_t>(skip);
    return std::vector<LogEntry>(first, first + static_cast<ptrdiff_t>(count));
  }

  size_t size() const { return m_entries.size(); }
  size_t bytes() const { return m_bytes; }

 private:
  size_t m_max_entries;
  size_t m_max_bytes;
  size_t m_bytes = 0;
  std::deque<LogEntry> m_entries;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_RECENT_ENTRIES_H_
