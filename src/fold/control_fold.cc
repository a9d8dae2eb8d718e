#define XXH_INLINE_ALL
#include <xxhash.h>

#include <optional>
#include <utility>

#include "cowslipmast/fold.h"
#include "src/fold/apply.h"
#include "src/fold/fold_engine.h"
#include "src/fold/snapshot_codec.h"

namespace cowslipmast {

namespace {

struct ControlModel {
  ControlFoldState fold_state;

  bool ApplyRecord(LogOffset offset, const Record& record) {
    return ApplyControlRecord(fold_state.state, offset, record);
  }
  static std::optional<ControlFoldState> Decode(std::string_view bytes,
                                                DecodeError& reason) {
    return DecodeControlFoldState(bytes, reason);
  }
};

uint64_t HashFoldState(const ControlFoldState& fold_state) {
  const std::string bytes = EncodeFoldState(fold_state);
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(),
                              fold_state.state.next.value());
}

}  // namespace

struct ControlFold::Impl {
  FoldEngine<ControlModel> engine{ControlModel{}};
  std::optional<uint64_t> digest;  // of the current state
};

ControlFold::ControlFold(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

ControlFold::~ControlFold() = default;

std::unique_ptr<ControlFold> ControlFold::Make() {
  return std::unique_ptr<ControlFold>(
      new ControlFold(std::make_unique<Impl>()));
}

void ControlFold::Apply(LogOffset offset, std::string_view entry) {
  m_impl->digest.reset();
  m_impl->engine.Apply(offset, entry);
}

void ControlFold::Restart(LogOffset oldest) {
  m_impl->digest.reset();
  m_impl->engine.Restart(oldest);
}

bool ControlFold::complete() const {
  return m_impl->engine.complete();
}

const ControlState& ControlFold::state() const {
  return m_impl->engine.model().fold_state.state;
}

const FoldCounters& ControlFold::counters() const {
  return m_impl->engine.counters();
}

// Cached until the next entry, because every heartbeat contains it.
uint64_t ControlFold::Digest() const {
  auto& digest = m_impl->digest;
  if (!digest)
    digest = HashFoldState(m_impl->engine.model().fold_state);
  return *digest;
}

std::string ControlFold::EncodeSnapshot() const {
  if (!complete())
    return {};
  return EncodeFoldState(m_impl->engine.model().fold_state);
}

}  // namespace cowslipmast
