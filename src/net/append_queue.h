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

/** Records to append together, and what to do once they were read back. */
struct AppendTicket {
  std::vector<Record> records;
  size_t bytes = 0;  // encoded alone
  bool done = false;
  std::function<void()> on_done;
};

struct AppendQueueLimits {
  size_t records = 0;
  size_t bytes = 0;
  size_t batch_bytes = 0;
};

/** Records that wait to be appended and the one batch that is in flight. */
class AppendQueue {
 public:
  enum class PushResult { kQueued, kFull, kTooLarge };

  AppendQueue(const ProducerId& producer, const AppendQueueLimits& limits)
      : m_producer(producer), m_limits(limits) {}

  PushResult Push(std::shared_ptr<AppendTicket> ticket);
  /** Queues a snapshot, which gets a batch of its own. Only one waits. */
  void PushSnapshot(Snapshot snapshot);

  /** Puts what waits into a batch in flight; false if nothing waits. */
  bool Begin();
  /** The encoded batch in flight, if any. */
  const std::string* in_flight() const;
  bool is_snapshot_in_flight() const;
  size_t records_in_flight() const;
  /** Gives up the batch in flight. Its sequence is not used again. */
  void Abandon();

  enum class Match { kForeign, kInFlight, kRepeated };
  /** Ends the batch in flight if it is the one that was read back. */
  Match Observe(const Batch& batch);

  size_t queued_records() const { return m_queued_records; }

 private:
  struct InFlight {
    BatchSequence sequence;
    std::string bytes;
    size_t records = 0;
    bool snapshot = false;
    std::vector<std::shared_ptr<AppendTicket>> tickets;
  };
  void Encode(std::vector<Record> records);
  void TakeTickets(std::vector<Record>& records);

  ProducerId m_producer;
  AppendQueueLimits m_limits;
  BatchSequence m_sequence;
  std::deque<std::shared_ptr<AppendTicket>> m_queue;
  size_t m_queued_records = 0;
  size_t m_queued_bytes = 0;
  std::optional<Snapshot> m_snapshot;
  std::optional<InFlight> m_in_flight;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_APPEND_QUEUE_H_
