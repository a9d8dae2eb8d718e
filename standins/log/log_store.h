#ifndef COWSLIPMAST_STANDINS_LOG_LOG_STORE_H_
#define COWSLIPMAST_STANDINS_LOG_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipmast::standins {

/** Result of a read. The stream holds the offsets [oldest, end); `first` is the
 * offset of entries[0]. */
struct LogSlice {
  uint64_t oldest = 0;
  uint64_t end = 0;
  bool expired = false;  // the requested offset is older than `oldest`
  uint64_t first = 0;
  std::vector<std::string> entries;
};

/** Streams of opaque entries. Each stream retains its latest entries only. */
class LogStore {
 public:
  explicit LogStore(size_t retained_entries);

  /** Returns the offset of the new entry. */
  uint64_t Append(const std::string& stream, std::string entry);
  LogSlice Read(const std::string& stream,
                uint64_t from,
                size_t max_entries) const;
  /** Sets the number of entries that each stream retains. */
  void Retain(size_t entries);

 private:
  struct Stream {
    uint64_t oldest = 0;
    std::deque<std::string> entries;
  };
  void Trim(Stream& stream) const;

  size_t m_retained_entries;
  std::map<std::string, Stream> m_streams;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_LOG_LOG_STORE_H_
