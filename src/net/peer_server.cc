#include "src/net/peer_server.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/net/peer_codec.h"

namespace cowslipmast {

namespace {

// Limits the work that one call of a faulty peer can cause.
constexpr uint32_t kMaxEntriesPerRead = 1000;
constexpr Duration kMaxReadWait = std::chrono::seconds(1);

template <typename T>
using FulfillerPtr = std::shared_ptr<kj::Own<kj::PromiseFulfiller<T>>>;

// Runs a coroutine on the Asio thread and resolves a promise of the kj thread.
template <typename T>
kj::Promise<T> RunOnAsio(asio::io_context& io,
                         std::weak_ptr<KjThread> thread,
                         std::function<asio::awaitable<T>()> body) {
  auto pair = kj::newPromiseAndFulfiller<T>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
      kj::mv(pair.fulfiller));
  asio::co_spawn(
      io,
      [thread = std::move(thread), fulfiller,
       body = std::move(body)]() mutable -> asio::awaitable<void> {
        T result = co_await body();
        const auto alive = thread.lock();
        if (!alive)
          co_return;
        alive->Post([fulfiller = std::move(fulfiller),
                     result = std::move(result)]() mutable {
          (*fulfiller)->fulfill(std::move(result));
        });
      },
      asio::detached);
  return kj::mv(pair.promise);
}

class PeerServer final : public schema::Peer::Server {
 public:
  PeerServer(asio::io_context& io,
             std::weak_ptr<KjThread> thread,
             std::shared_ptr<const PeerHandlers> handlers)
      : m_io(io),
        m_thread(std::move(thread)),
        m_handlers(std::move(handlers)) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    std::function<asio::awaitable<Heartbeat>()> body =
        [handlers = m_handlers]() -> asio::awaitable<Heartbeat> {
      co_return handlers->heartbeat();
    };
    return RunOnAsio(m_io, m_thread, std::move(body))
        .then([context](Heartbeat&& reply) mutable {
          Encode(reply, context.getResults().initReply());
        });
  }

  kj::Promise<void> forward(ForwardContext context) override {
    auto request = std::make_shared<RouterRequest>(
        Decode(context.getParams().getRequest()));
    std::function<asio::awaitable<RouterReply>()> body =
        [handlers = m_handlers, request]() -> asio::awaitable<RouterReply> {
      RouterReply reply = co_await handlers->forward(std::move(*request));
      co_return reply;
    };
    context.releaseParams();
    return RunOnAsio(m_io, m_thread, std::move(body))
        .then([context](RouterReply&& reply) mutable {
          Encode(reply, context.getResults().initReply());
        });
  }

  kj::Promise<void> readLog(ReadLogContext context) override {
    const auto params = context.getParams();
    const StreamId stream{std::string(params.getStream().cStr())};
    const LogOffset from(params.getFrom());
    const uint32_t max_entries =
        std::min(params.getMaxEntries(), kMaxEntriesPerRead);
    const Duration wait = std::min<Duration>(
        std::chrono::milliseconds(params.getWaitMillis()), kMaxReadWait);
    std::function<asio::awaitable<std::optional<LogPage>>()> body =
        [handlers = m_handlers, stream, from, max_entries,
         wait]() -> asio::awaitable<std::optional<LogPage>> {
      auto page = co_await handlers->read_log(stream, from, max_entries, wait);
      co_return page;
    };
    return RunOnAsio(m_io, m_thread, std::move(body))
        .then([context](std::optional<LogPage>&& page) mutable {
          auto builder = context.getResults().initPage();
          if (page)
            Encode(*page, builder);
        });
  }

 private:
  asio::io_context& m_io;
  std::weak_ptr<KjThread> m_thread;
  std::shared_ptr<const PeerHandlers> m_handlers;
};

}  // namespace

schema::Peer::Client MakePeerServer(
    asio::io_context& io,
    std::weak_ptr<KjThread> thread,
    std::shared_ptr<const PeerHandlers> handlers) {
  return kj::heap<PeerServer>(io, std::move(thread), std::move(handlers));
}

}  // namespace cowslipmast
