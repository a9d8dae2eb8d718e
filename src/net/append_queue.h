#ifndef COWSLIPMAST_SRC_NET_APPEND_QUEUE_H_
#define COWSLIPMAST_SRC_NET_APPEND_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/record.h"

namespace cowslipmast {

/** Records to append together, and a callback for when they are read back. */
struct PendingAppend {
  std::vector<Record> records;
  size_t bytes = 0;  // size when encoded in a batch of their own
  bool done = false;
  std::function<void()> on_done;
};

struct AppendQueueLimits {
  size_t records = 0;
  size_t bytes = 0;
  size_t batch_bytes = 0;
};

/** Queue of records to append, and the one batch that is in flight. */
class AppendQueue {
 public:
  enum class PushResult { kQueued, kFull, kTooLarge };

  AppendQueue(const ProducerId& producer, const AppendQueueLimits& limits)
      : m_producer(producer), m_limits(limits) {}

  PushResult Push(std::shared_ptr<PendingAppend> pending);
  /** Queues a snapshot, which is sent in a batch of its own. Replaces a
   * snapshot that is still queued. */
  void PushSnapshot(Snapshot snapshot);

  /** Makes a batch in flight from the queue; false if the queue is empty. */
  bool Begin();
  /** Encoded batch in flight; null if there is none. */
  const std::string* in_flight() const;
  bool is_snapshot_in_flight() const;
  size_t records_in_flight() const;
  /** Drops the batch in flight. Its sequence number is not reused. */
  void Abandon();

  enum class ReadBackMatch { kOtherProducer, kInFlight, kRepeated };
  /** Completes the batch in flight if `batch` is the same one. */
  ReadBackMatch CompleteIfReadBack(const Batch& batch);

  size_t queued_records() const { return m_queued_records; }

 private:
  struct InFlight {
    BatchSequence sequence;
    std::string bytes;
    size_t records = 0;
    bool snapshot = false;
    std::vector<std::shared_ptr<PendingAppend>> appends;
  };
  void Encode(std::vector<Record> records);
  void TakePendingAppends(std::vector<Record>& records);

  ProducerId m_producer;
  AppendQueueLimits m_limits;
  BatchSequence m_sequence;
  std::deque<std::shared_ptr<PendingAppend>> m_queue;
  size_t m_queued_records = 0;
  size_t m_queued_bytes = 0;
  std::optional<Snapshot> m_snapshot;
  std::optional<InFlight> m_in_flight;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_APPEND_QUEUE_H_
