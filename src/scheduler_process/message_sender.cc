#include "src/scheduler_process/message_sender.h"

#include <map>
#include <utility>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kAppendTimeout = milliseconds(1500);
constexpr Duration kRetryDelay = milliseconds(100);
// Half of the largest request body that the store accepts.
constexpr size_t kMaxAppendBytes = 1024 * 1024;

}  // namespace

struct MessageSender::Impl : std::enable_shared_from_this<MessageSender::Impl> {
  struct Queue {
    std::vector<CellMessage> waiting;
    bool sending = false;
  };

  Impl(asio::io_context& context,
       const StorePort& store_port,
       std::function<bool()> permission,
       std::function<void(const CellMessage&)> callback)
      : io(context),
        store(store_port),
        may_send(std::move(permission)),
        on_stored(std::move(callback)) {}

  asio::awaitable<void> SendAll(CellId cell);

  asio::io_context& io;
  StorePort store;
  std::function<bool()> may_send;
  std::function<void(const CellMessage&)> on_stored;
  std::map<CellId, Queue> queues;
  bool stopped = false;
};

// Takes messages of a limited total size from the front of the queue.
std::vector<CellMessage> TakeBatch(std::vector<CellMessage>& waiting) {
  size_t bytes = 0;
  size_t count = 0;
  while (count < waiting.size() && bytes < kMaxAppendBytes) {
    bytes += waiting[count].key.size() + waiting[count].value.size();
    ++count;
  }
  const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<CellMessage> batch(std::make_move_iterator(waiting.begin()),
                                 std::make_move_iterator(end));
  waiting.erase(waiting.begin(), end);
  return batch;
}

asio::awaitable<void> MessageSender::Impl::SendAll(CellId cell) {
  const auto self = shared_from_this();
  Queue& queue = queues[cell];
  while (!stopped && !queue.waiting.empty()) {
    const std::vector<CellMessage> batch = TakeBatch(queue.waiting);
    AppendRequest request;
    request.stream = StoreStream(StoreTopic::kJobs, cell);
    request.timeout = kAppendTimeout;
    for (const CellMessage& message : batch)
      request.records.push_back({message.key, message.value});
    bool stored = false;
    while (!stopped && !stored) {
      if (!may_send()) {
        co_await Sleep(kRetryDelay);
        continue;
      }
      StoreError error;
      stored = co_await store.append(request, error);
      if (stored)
        break;
      LogEvent("message_append_failed",
               {{"to_cell", static_cast<int64_t>(cell.value())},
                {"messages", static_cast<int64_t>(batch.size())},
                {"detail", error.detail}});
      co_await Sleep(kRetryDelay);
    }
    if (stopped)
      break;
    for (const CellMessage& message : batch)
      on_stored(message);
  }
  queue.sending = false;
}

MessageSender::MessageSender(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

MessageSender::~MessageSender() {
  Stop();
}

std::shared_ptr<MessageSender> MessageSender::Make(
    asio::io_context& io,
    const StorePort& store,
    std::function<bool()> may_send,
    std::function<void(const CellMessage&)> on_stored) {
  return std::shared_ptr<MessageSender>(
      new MessageSender(std::make_shared<Impl>(io, store, std::move(may_send),
                                               std::move(on_stored))));
}

void MessageSender::Send(std::vector<CellMessage> messages) {
  for (CellMessage& message : messages) {
    const CellId cell = message.to;
    Impl::Queue& queue = m_impl->queues[cell];
    queue.waiting.push_back(std::move(message));
    if (std::exchange(queue.sending, true))
      continue;
    Spawn(m_impl->io, "messages", m_impl->SendAll(cell));
  }
}

void MessageSender::Stop() {
  m_impl->stopped = true;
}

size_t MessageSender::pending() const {
  size_t count = 0;
  for (const auto& [cell, queue] : m_impl->queues)
    count += queue.waiting.size();
  return count;
}

}  // namespace cowslipmast::sched
