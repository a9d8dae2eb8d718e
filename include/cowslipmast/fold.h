#ifndef COWSLIPMAST_FOLD_H_
#define COWSLIPMAST_FOLD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cowslipmast/codec.h"
#include "cowslipmast/shared_state.h"

namespace cowslipmast {

struct FoldCounters {
  uint64_t entries = 0;
  uint64_t records = 0;
  uint64_t duplicate_batches = 0;
  uint64_t bad_entries = 0;
  uint64_t unknown_records = 0;
  uint64_t void_records =
      0;  // without effect, for example a claim with an old epoch
};

/** Folds the `control` stream into a ControlState: applies its log entries in
 * order. */
class ControlFold {
 public:
  static std::unique_ptr<ControlFold> Make();
  ~ControlFold();

  /** Applies the entry at `state().next`; malformed entries are counted and
   * skipped. */
  void Apply(LogOffset offset, std::string_view entry);
  /** Drops the state. Entries from `oldest` on follow, among them a snapshot.
   */
  void Restart(LogOffset oldest);
  /** Returns false after Restart() until a recent enough snapshot was applied.
   */
  bool complete() const;

  const ControlState& state() const;
  const FoldCounters& counters() const;
  /** Returns a hash of the state; equal in all processes at the same offset. */
  uint64_t Digest() const;
  /** Encodes the state for a Snapshot; empty unless the state is complete. */
  std::string EncodeSnapshot() const;

 private:
  struct Impl;
  explicit ControlFold(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

/** Folds the stream of one data centre into a DataCentreState. Records with an
 * epoch below the highest one seen are void. */
class DataCentreFold {
 public:
  static std::unique_ptr<DataCentreFold> Make(const DataCentreId& id);
  ~DataCentreFold();

  void Apply(LogOffset offset, std::string_view entry);
  void Restart(LogOffset oldest);
  bool complete() const;

  const DataCentreState& state() const;
  const FoldCounters& counters() const;
  /** Encodes the state for a Snapshot; empty unless the state is complete. */
  std::string EncodeSnapshot() const;

 private:
  struct Impl;
  explicit DataCentreFold(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_FOLD_H_
