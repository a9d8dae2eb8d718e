#include "src/net/append_queue.h"

#include <iterator>
#include <utility>

#include "cowslipmast/codec.h"

namespace cowslipmast {

AppendQueue::PushResult AppendQueue::Push(
    std::shared_ptr<PendingAppend> pending) {
  Batch alone{m_producer, BatchSequence(), std::move(pending->records)};
  pending->bytes = EncodeBatch(alone).size();
  pending->records = std::move(alone.records);
  if (pending->bytes > kMaxBatchBytes)
    return PushResult::kTooLarge;
  if (m_queued_records + pending->records.size() > m_limits.records ||
      m_queued_bytes + pending->bytes > m_limits.bytes)
    return PushResult::kFull;
  m_queued_records += pending->records.size();
  m_queued_bytes += pending->bytes;
  m_queue.push_back(std::move(pending));
  return PushResult::kQueued;
}

void AppendQueue::PushSnapshot(Snapshot snapshot) {
  m_snapshot = std::move(snapshot);
}

bool AppendQueue::Begin() {
  if (m_queue.empty() && !m_snapshot)
    return false;
  m_sequence = m_sequence.Next();
  m_in_flight = InFlight{};
  m_in_flight->sequence = m_sequence;
  std::vector<Record> records;
  // Snapshots go first: under a steady load the queue is never empty.
  if (m_snapshot) {
    m_in_flight->snapshot = true;
    records.emplace_back(*std::exchange(m_snapshot, std::nullopt));
  } else {
    TakePendingAppends(records);
  }
  Encode(std::move(records));
  return true;
}

void AppendQueue::TakePendingAppends(std::vector<Record>& records) {
  size_t bytes = 0;
  while (!m_queue.empty()) {
    const std::shared_ptr<PendingAppend> pending = m_queue.front();
    if (!records.empty() && bytes + pending->bytes > m_limits.batch_bytes)
      return;
    m_queue.pop_front();
    bytes += pending->bytes;
    m_queued_bytes -= pending->bytes;
    m_queued_records -= pending->records.size();
    std::move(pending->records.begin(), pending->records.end(),
              std::back_inserter(records));
    pending->records.clear();
    m_in_flight->appends.push_back(pending);
  }
}

void AppendQueue::Encode(std::vector<Record> records) {
  m_in_flight->records = records.size();
  m_in_flight->bytes =
      EncodeBatch({m_producer, m_sequence, std::move(records)});
}

const std::string* AppendQueue::in_flight() const {
  return m_in_flight ? &m_in_flight->bytes : nullptr;
}

bool AppendQueue::is_snapshot_in_flight() const {
  return m_in_flight && m_in_flight->snapshot;
}

size_t AppendQueue::records_in_flight() const {
  return m_in_flight ? m_in_flight->records : 0;
}

void AppendQueue::Abandon() {
  m_in_flight.reset();
}

AppendQueue::ReadBackMatch AppendQueue::CompleteIfReadBack(const Batch& batch) {
  if (batch.producer != m_producer)
    return ReadBackMatch::kOtherProducer;
  if (!m_in_flight || batch.sequence != m_in_flight->sequence)
    return ReadBackMatch::kRepeated;
  const InFlight ended = std::move(*m_in_flight);
  m_in_flight.reset();
  for (const auto& pending : ended.appends) {
    pending->done = true;
    if (pending->on_done)
      pending->on_done();
  }
  return ReadBackMatch::kInFlight;
}

}  // namespace cowslipmast
