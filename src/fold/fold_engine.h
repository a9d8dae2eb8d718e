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

/** Bounds the entries buffered until a snapshot arrives; larger than a
 * snapshot. */
inline constexpr size_t kMaxBufferedEntryBytes = 16 * 1024 * 1024;

/** Applies log entries to `Model::fold_state`; skips duplicate batches and
 * installs snapshots.
 *
 * `Model` has the members `fold_state`, `ApplyRecord(offset, record)` and
 * `Decode(bytes, reason)`; `fold_state` has `state.next` and `producers`. */
template <typename Model>
class FoldEngine {
 public:
  explicit FoldEngine(Model model) : m_model(std::move(model)) {}

  void Apply(LogOffset offset, std::string_view entry) {
    if (offset != m_model.fold_state.state.next)
      return;
    ++m_counters.entries;
    if (m_complete) {
      Fold(entry);
      return;
    }
    m_model.fold_state.state.next = offset.Next();
    Buffer(entry);
    InstallFrom(offset, entry);
  }

  void Restart(LogOffset oldest) {
    m_model.fold_state = {};
    m_model.fold_state.state.next = oldest;
    m_buffer.clear();
    m_buffered_bytes = 0;
    m_complete = oldest == LogOffset();
  }

  bool complete() const { return m_complete; }
  const Model& model() const { return m_model; }
  const FoldCounters& counters() const { return m_counters; }

 private:
  void Fold(std::string_view entry) {
    auto& fold_state = m_model.fold_state;
    const LogOffset offset = fold_state.state.next;
    fold_state.state.next = offset.Next();
    fold_state.producers.Forget(offset);
    DecodeError reason;
    const auto batch = DecodeBatch(entry, reason);
    if (!batch) {
      ++m_counters.bad_entries;
      return;
    }
    if (!fold_state.producers.Accept(batch->producer, batch->sequence,
                                     offset)) {
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

  // Dropping the oldest entries only means that a newer snapshot is needed.
  void Buffer(std::string_view entry) {
    m_buffer.emplace_back(entry);
    m_buffered_bytes += entry.size();
    while (m_buffered_bytes > kMaxBufferedEntryBytes && m_buffer.size() > 1) {
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
    auto fold_state = m_model.Decode(snapshot.state, reason);
    if (!fold_state) {
      ++m_counters.bad_entries;
      return false;
    }
    fold_state->state.next = snapshot.through.Next();
    m_model.fold_state = std::move(*fold_state);
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
