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
  ControlImage image;

  bool ApplyRecord(LogOffset offset, const Record& record) {
    return ApplyControlRecord(image.state, offset, record);
  }
  static std::optional<ControlImage> Decode(std::string_view bytes,
                                            DecodeError& reason) {
    return DecodeControlImage(bytes, reason);
  }
};

uint64_t HashImage(const ControlImage& image) {
  const std::string bytes = EncodeImage(image);
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(),
                              image.state.next.value());
}

}  // namespace

struct ControlFold::Impl {
  FoldEngine<ControlModel> engine{ControlModel{}};
  std::optional<uint64_t> digest;  // of the present state
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
  return m_impl->engine.model().image.state;
}

const FoldCounters& ControlFold::counters() const {
  return m_impl->engine.counters();
}

// Kept until the next entry, because each heartbeat carries it.
uint64_t ControlFold::Digest() const {
  auto& digest = m_impl->digest;
  if (!digest)
    digest = HashImage(m_impl->engine.model().image);
  return *digest;
}

std::string ControlFold::EncodeSnapshot() const {
  if (!complete())
    return {};
  return EncodeImage(m_impl->engine.model().image);
}

}  // namespace cowslipmast
