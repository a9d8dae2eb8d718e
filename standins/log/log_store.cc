#include "standins/log/log_store.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::standins {

LogStore::LogStore(size_t retained_entries)
    : m_retained_entries(retained_entries) {}

uint64_t LogStore::Append(const std::string& stream, std::string entry) {
  Stream& kept = m_streams[stream];
  kept.entries.push_back(std::move(entry));
  const uint64_t offset = kept.oldest + kept.entries.size() - 1;
  Trim(kept);
  return offset;
}

LogSlice LogStore::Read(const std::string& stream,
                        uint64_t from,
                        size_t max_entries) const {
  LogSlice slice;
  slice.first = from;
  const auto found = m_streams.find(stream);
  if (found == m_streams.end())
    return slice;
  const Stream& kept = found->second;
  slice.oldest = kept.oldest;
  slice.end = kept.oldest + kept.entries.size();
  slice.expired = from < kept.oldest;
  if (slice.expired)
    return slice;
  const uint64_t stop =
      std::min(slice.end, from + std::min<uint64_t>(max_entries, slice.end));
  for (uint64_t offset = from; offset < stop; ++offset)
    slice.entries.push_back(kept.entries[offset - kept.oldest]);
  return slice;
}

void LogStore::Retain(size_t entries) {
  m_retained_entries = entries;
  for (auto& [name, stream] : m_streams)
    Trim(stream);
}

void LogStore::Trim(Stream& stream) const {
  while (stream.entries.size() > m_retained_entries) {
    stream.entries.pop_front();
    ++stream.oldest;
  }
}

}  // namespace cowslipmast::standins
