#ifndef COWSLIPMAST_SRC_FOLD_FOLD_ENGINE_H_
#define COWSLIPMAST_SRC_FOLD_FOLD_ENGINE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "cowslipmast/codec.h"
#include "cowslipmast/fold.h"

namespace cowslipmast {

/** Memory for entries that wait for a snapshot; above a snapshot's size. */
inline constexpr size_t kMaxBufferedBytes = 16 * 1024 * 1024;

/** Folds entries into `Model::image`, with duplicates and snapshots.
 *
 * `Model` has the members `image`, `ApplyRecord(offset, record)` and
 * `Decode(bytes, reason)`; the image has `state.next` and `producers`. */
template <typename Model>
class FoldEngine {
 public:
  explicit FoldEngine(Model model) : m_model(std::move(model)) {}

  void Apply(LogOffset offset, std::string_view entry) {
    if (offset != m_model.image.state.next)
      return;
    ++m_counters.entries;
    if (m_complete) {
      Fold(entry);
      return;
    }
    m_model.image.state.next = offset.Next();
    Buffer(entry);
    InstallFrom(offset, entry);
  }

  void Restart(LogOffset oldest) {
    m_model.image = {};
    m_model.image.state.next = oldest;
    m_buffer.clear();
    m_buffered_bytes = 0;
    m_complete = oldest == LogOffset();
  }

  bool complete() const { return m_complete; }
  const Model& model() const { return m_model; }
  const FoldCounters& counters() const { return m_counters; }

 private:
  void Fold(std::string_view entry) {
    auto& image = m_model.image;
    const LogOffset offset = image.state.next;
    image.state.next = offset.Next();
    image.producers.Forget(offset);
    DecodeError reason;
    const auto batch = DecodeBatch(entry, reason);
    if (!batch) {
      ++m_counters.bad_entries;
      return;
    }
    if (!image.producers.Accept(batch->producer, batch->sequence, offset)) {
      ++m_counters.duplicate_batches;
      return;
    }
    for (const Record& record : batch->records)
      FoldRecord(offset, record);
  }

  void FoldRecord(LogOffset offset, const Record& record) {
    ++m_counters.records;
    if (std::holds_alternative<UnknownRecord>(record))
      ++m_counters.unknown_records;
    else if (!m_model.ApplyRecord(offset, record))
      ++m_counters.void_records;
  }

  // A dropped entry only means that the snapshot has to be a newer one.
  void Buffer(std::string_view entry) {
    m_buffer.emplace_back(entry);
    m_buffered_bytes += entry.size();
    while (m_buffered_bytes > kMaxBufferedBytes && m_buffer.size() > 1) {
      m_buffered_bytes -= m_buffer.front().size();
      m_buffer.pop_front();
    }
  }

  void InstallFrom(LogOffset offset, std::string_view entry) {
    DecodeError reason;
    const auto batch = DecodeBatch(entry, reason);
    if (!batch)
      return;
    for (const Record& record : batch->records) {
      const auto* snapshot = std::get_if<Snapshot>(&record);
      if (snapshot && Install(offset, *snapshot))
        return;
    }
  }

  bool Install(LogOffset offset, const Snapshot& snapshot) {
    const uint64_t first = offset.value() + 1 - m_buffer.size();
    const uint64_t through = snapshot.through.value();
    if (through + 1 < first || through >= offset.value())
      return false;
    DecodeError reason;
    auto image = m_model.Decode(snapshot.state, reason);
    if (!image) {
      ++m_counters.bad_entries;
      return false;
    }
    image->state.next = snapshot.through.Next();
    m_model.image = std::move(*image);
    m_complete = true;
    const std::deque<std::string> entries = std::exchange(m_buffer, {});
    m_buffered_bytes = 0;
    for (size_t i = through + 1 - first; i < entries.size(); ++i)
      Fold(entries[i]);
    return true;
  }

  Model m_model;
  FoldCounters m_counters;
  bool m_complete = true;
  std::deque<std::string> m_buffer;
  size_t m_buffered_bytes = 0;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_FOLD_ENGINE_H_
