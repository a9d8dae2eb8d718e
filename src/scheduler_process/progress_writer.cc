#include "src/scheduler_process/progress_writer.h"

#include <algorithm>
#include <utility>

#include "cowslipmast/sched/job_codec.h"
#include "src/sched/interference_codec.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/hearing_proof.h"

namespace cowslipmast::sched {

namespace {

// An append takes 6 ms, so one whose response was lost is soon repeated; the
// timeout doubles with each attempt for a slow store.
constexpr Duration kInitialAppendTimeout = std::chrono::milliseconds(350);
constexpr Duration kMaxAppendTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// Half of the largest request body that the store accepts.
constexpr size_t kMaxAppendBytes = 1024 * 1024;
// A process that does not hear the owner looks twice within about a second.
constexpr Duration kHearingProofInterval = std::chrono::milliseconds(500);

// False for a record that the store would refuse each time. What this owner has
// learned need not be stored; the other records are kept small where they are
// encoded.
bool FitsIntoStore(const ProgressRecord& record) {
  const size_t bytes = record.key.size() + record.value.size();
  if (bytes <= kMaxRecordBytes)
    return true;
  LogEvent("record_too_large",
           {{"key", record.key}, {"bytes", static_cast<int64_t>(bytes)}});
  return record.key != kInterferenceKey;
}

}  // namespace

ProgressWriter::ProgressWriter(const StorePort& store,
                               CellId cell,
                               Epoch epoch,
                               HeardAt heard_at)
    : m_store(store),
      m_cell(cell),
      m_epoch(epoch),
      m_heard_at(std::move(heard_at)) {}

asio::awaitable<bool> ProgressWriter::AppendUntilAnswered(
    AppendRequest request) {
  request.stream = StoreStream(StoreTopic::kProgress, m_cell);
  request.producer = ProducerStamp{m_epoch.value(), m_sequence++};
  request.timeout = kInitialAppendTimeout;
  while (!m_stop_retrying) {
    const TimePoint sent = BootTimeNow();
    StoreError error;
    const bool accepted = co_await m_store.append(request, error);
    if (accepted) {
      m_proven_at = sent;
      co_return true;
    }
    LogEvent("progress_append_failed",
             {{"cell", static_cast<int64_t>(m_cell.value())},
              {"epoch", static_cast<int64_t>(m_epoch.value())},
              {"sequence", static_cast<int64_t>(request.producer->sequence)},
              {"detail", error.detail}});
    // Out of sequence, no later append of this epoch would be taken either.
    if (error.kind == StoreErrorKind::kFenced ||
        error.kind == StoreErrorKind::kOutOfSequence)
      co_return false;
    request.timeout = std::min(kMaxAppendTimeout, request.timeout * 2);
    co_await Sleep(kRetryDelay);
  }
  co_return false;
}

asio::awaitable<bool> ProgressWriter::Fence() {
  AppendRequest request;
  co_return co_await AppendUntilAnswered(std::move(request));
}

asio::awaitable<bool> ProgressWriter::Prove() {
  std::vector<ProgressRecord> proof = {
      {std::string(kProofKey), std::to_string(m_epoch.value())}};
  co_return co_await Store(std::move(proof));
}

// Goes with records that are stored anyway.
std::optional<ProgressRecord> ProgressWriter::MakeHearingRecord() {
  const auto heard_at = m_heard_at ? m_heard_at() : std::nullopt;
  const TimePoint now = BootTimeNow();
  if (!heard_at || (m_hearing_proven_at &&
                    now - *m_hearing_proven_at < kHearingProofInterval))
    return std::nullopt;
  m_hearing_proven_at = now;
  return ProgressRecord{
      std::string(kHearingKey),
      EncodeHearingProof(
          {.epoch = m_epoch,
           .number = ++m_hearing_proofs,
           .heard_age = std::max(Duration(0), now - *heard_at)})};
}

asio::awaitable<bool> ProgressWriter::Store(
    std::vector<ProgressRecord> records) {
  if (auto hearing = MakeHearingRecord())
    records.push_back(std::move(*hearing));
  std::erase_if(records, [](const ProgressRecord& record) {
    return !FitsIntoStore(record);
  });
  size_t next = 0;
  while (next < records.size()) {
    AppendRequest request;
    size_t bytes = 0;
    while (next < records.size() && bytes < kMaxAppendBytes) {
      bytes += records[next].key.size() + records[next].value.size();
      request.records.push_back(KeyedRecord{std::move(records[next].key),
                                            std::move(records[next].value)});
      ++next;
    }
    const bool accepted = co_await AppendUntilAnswered(std::move(request));
    if (!accepted)
      co_return false;
  }
  co_return true;
}

}  // namespace cowslipmast::sched
