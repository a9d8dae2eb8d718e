#include "src/net/peer_rpc.h"

#include <capnp/rpc-twoparty.h>

#include <future>
#include <map>
#include <string>
#include <utility>

#include "src/net/peer_codec.h"
#include "src/net/peer_server.h"

namespace cowslipmast {

// Handle to a connection that the kj thread owns.
class PeerChannel {
 public:
  explicit PeerChannel(uint64_t channel_id) : id(channel_id) {}
  const uint64_t id;
};

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kReadLogReplyGrace = std::chrono::seconds(1);

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::MICROSECONDS;
}

std::string ToKjAddress(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  const std::string host =
      is_ipv6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

NetError ToNetError(const kj::Exception& exception, bool connected) {
  NetError error;
  error.request_sent = connected;
  error.detail = exception.getDescription().cStr();
  error.kind =
      connected ? NetErrorKind::kConnectionLost : NetErrorKind::kConnectFailed;
  if (exception.getType() == kj::Exception::Type::OVERLOADED)
    error.kind = NetErrorKind::kTimeout;
  return error;
}

// The kj side of a channel; created, used and destroyed on the kj thread.
struct ChannelState {
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected)),
          client(*stream),
          peer(client.bootstrap().castAs<schema::Peer>()),
          watch(client.onDisconnect()
                    .then([this] { disconnected = true; })
                    .eagerlyEvaluate(
                        [this](kj::Exception&&) { disconnected = true; })) {}
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    // Called once: bootstrap() of Cap'n Proto 0.9 terminates the program if the
    // connection has been shut down.
    schema::Peer::Client peer;
    bool disconnected = false;
    kj::Promise<void> watch;
  };
  std::unique_ptr<Connection> connection;
  // Resolves once the connection is made; forked so that many calls can wait.
  kj::Maybe<kj::ForkedPromise<void>> ready;
};
using ChannelStatePtr = std::shared_ptr<ChannelState>;

}  // namespace

struct PeerRpc::Impl final : kj::TaskSet::ErrorHandler {
  // Objects of the kj thread, created and destroyed on it.
  struct Loop {
    Loop(kj::TaskSet::ErrorHandler& handler, schema::Peer::Client interface)
        : server(kj::heap<capnp::TwoPartyServer>(interface)), tasks(handler) {}
    std::map<uint64_t, ChannelStatePtr> channels;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<capnp::TwoPartyServer> server;
    kj::TaskSet tasks;
  };

  Impl(asio::io_context& asio_io, PeerHandlers peer_handlers)
      : io(asio_io),
        handlers(
            std::make_shared<const PeerHandlers>(std::move(peer_handlers))) {}

  void taskFailed(kj::Exception&&) override {}

  bool Listen(const Endpoint& endpoint, NetError& reason);
  void ListenOnThread(const Endpoint& endpoint, std::promise<NetError>& result);
  void CloseOnThread();
  void ConnectOnThread(uint64_t id, const Endpoint& endpoint);
  template <typename Reply, typename Send>
  void Call(const PeerChannelPtr& channel,
            Duration timeout,
            std::function<void(RpcResult<Reply>)> done,
            Send send);

  asio::io_context& io;
  std::shared_ptr<const PeerHandlers> handlers;
  uint16_t port = 0;
  uint64_t next_channel = 0;
  std::unique_ptr<Loop> loop;  // used on the kj thread only
  std::shared_ptr<KjThread> thread;
};

bool PeerRpc::Impl::Listen(const Endpoint& endpoint, NetError& reason) {
  thread = KjThread::Make();
  thread->SetAtExit([this] { CloseOnThread(); });
  std::promise<NetError> result;
  thread->Post(
      [this, &endpoint, &result] { ListenOnThread(endpoint, result); });
  reason = result.get_future().get();
  return port != 0;
}

void PeerRpc::Impl::ListenOnThread(const Endpoint& endpoint,
                                   std::promise<NetError>& result) {
  loop = std::make_unique<Loop>(*this, MakePeerServer(io, thread, handlers));
  kj::Network& network = thread->io().provider->getNetwork();
  const std::string address = ToKjAddress(endpoint);
  auto listening =
      network.parseAddress(address.c_str())
          .then([this, &result](kj::Own<kj::NetworkAddress>&& parsed) {
            loop->receiver = parsed->listen();
            port = static_cast<uint16_t>(loop->receiver->getPort());
            loop->tasks.add(loop->server->listen(*loop->receiver));
            result.set_value(NetError{});
          })
          .eagerlyEvaluate([&result](kj::Exception&& exception) {
            result.set_value({NetErrorKind::kListenFailed, false,
                              exception.getDescription().cStr()});
          });
  loop->tasks.add(kj::mv(listening));
}

void PeerRpc::Impl::CloseOnThread() {
  // Cap'n Proto 0.9 throws from the destructor of a server with a call in
  // progress, when it tries to answer on the connection it has just shut down.
  kj::runCatchingExceptions([this] { loop->server = nullptr; });
  loop.reset();
}

void PeerRpc::Impl::ConnectOnThread(uint64_t id, const Endpoint& endpoint) {
  kj::AsyncIoProvider& provider = *thread->io().provider;
  const auto state = std::make_shared<ChannelState>();
  // Plain pointer: the promise is a member of the state.
  ChannelState* raw = state.get();
  auto connecting =
      provider.getNetwork()
          .parseAddress(ToKjAddress(endpoint).c_str())
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto promise = address->connect();
            return promise.attach(kj::mv(address));
          })
          .then([raw](kj::Own<kj::AsyncIoStream>&& stream) {
            raw->connection =
                std::make_unique<ChannelState::Connection>(kj::mv(stream));
          });
  state->ready = provider.getTimer()
                     .timeoutAfter(ToKj(kConnectTimeout), kj::mv(connecting))
                     .fork();
  loop->channels[id] = state;
}

// Sends a call once the channel is connected; `done` runs on the Asio thread.
template <typename Reply, typename Send>
void PeerRpc::Impl::Call(const PeerChannelPtr& channel,
                         Duration timeout,
                         std::function<void(RpcResult<Reply>)> done,
                         Send send) {
  thread->Post([this, channel, timeout, done = std::move(done),
                send = std::move(send)]() mutable {
    if (!loop)
      return;  // stopping
    auto sent = std::make_shared<bool>(false);
    const ChannelStatePtr state = loop->channels.at(channel->id);
    kj::Promise<Reply> call =
        KJ_ASSERT_NONNULL(state->ready)
            .addBranch()
            .then([state, sent, send = std::move(send)]() mutable {
              KJ_REQUIRE(!state->connection->disconnected,
                         "the connection was lost before the call");
              *sent = true;
              return send(state->connection->peer);
            });
    auto finish = [this, done](RpcResult<Reply> result) {
      asio::post(io, [done, result = std::move(result)]() mutable {
        done(std::move(result));
      });
    };
    loop->tasks.add(
        thread->io()
            .provider->getTimer()
            .timeoutAfter(ToKj(timeout), kj::mv(call))
            .then(
                [finish](Reply&& reply) {
                  finish({std::move(reply), NetError{}});
                },
                [finish, sent](kj::Exception&& exception) {
                  finish({std::nullopt, ToNetError(exception, *sent)});
                })
            .attach(std::make_shared<ChannelStatePtr>(state)));
  });
}

PeerRpc::PeerRpc(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
PeerRpc::~PeerRpc() = default;

std::unique_ptr<PeerRpc> PeerRpc::Make(asio::io_context& io,
                                       const Endpoint& listen,
                                       PeerHandlers handlers,
                                       NetError& reason) {
  auto impl = std::make_unique<Impl>(io, std::move(handlers));
  if (!impl->Listen(listen, reason))
    return nullptr;
  return std::unique_ptr<PeerRpc>(new PeerRpc(std::move(impl)));
}

uint16_t PeerRpc::port() const {
  return m_impl->port;
}

PeerChannelPtr PeerRpc::Connect(const Endpoint& endpoint) {
  Impl* impl = m_impl.get();
  const uint64_t id = impl->next_channel++;
  impl->thread->Post([impl, id, endpoint] {
    if (impl->loop)
      impl->ConnectOnThread(id, endpoint);
  });
  // Another owner may outlive this object, but its connections are closed then.
  const auto drop = [impl, thread = std::weak_ptr<KjThread>(impl->thread)](
                        PeerChannel* channel) {
    if (const auto alive = thread.lock()) {
      alive->Post([impl, id = channel->id] {
        if (impl->loop)
          impl->loop->channels.erase(id);
      });
    }
    delete channel;
  };
  return PeerChannelPtr(new PeerChannel(id), drop);
}

void PeerRpc::CallHeartbeat(const PeerChannelPtr& channel,
                            const Heartbeat& heartbeat,
                            Duration timeout,
                            std::function<void(RpcResult<Heartbeat>)> done) {
  m_impl->Call<Heartbeat>(
      channel, timeout, std::move(done),
      [heartbeat](schema::Peer::Client peer) {
        auto request = peer.heartbeatRequest();
        Encode(heartbeat, request.initFrom());
        return request.send().then(
            [](capnp::Response<schema::Peer::HeartbeatResults>&& response) {
              return Decode(response.getReply());
            });
      });
}

void PeerRpc::CallForward(const PeerChannelPtr& channel,
                          RouterRequest request,
                          Duration timeout,
                          std::function<void(RpcResult<RouterReply>)> done) {
  m_impl->Call<RouterReply>(
      channel, timeout, std::move(done),
      [desk_request = std::move(request)](schema::Peer::Client peer) {
        auto call = peer.forwardRequest();
        Encode(desk_request, call.initRequest());
        return call.send().then(
            [](capnp::Response<schema::Peer::ForwardResults>&& response) {
              return Decode(response.getReply());
            });
      });
}

void PeerRpc::CallReadLog(const PeerChannelPtr& channel,
                          const StreamId& stream,
                          LogOffset from,
                          uint32_t max_entries,
                          Duration wait,
                          std::function<void(RpcResult<LogPage>)> done) {
  const auto asked_at = std::chrono::steady_clock::now();
  m_impl->Call<LogPage>(
      channel, wait + kReadLogReplyGrace, std::move(done),
      [stream, from, max_entries, wait, asked_at](schema::Peer::Client peer) {
        auto call = peer.readLogRequest();
        call.setStream(stream.value());
        call.setFrom(from.value());
        call.setMaxEntries(max_entries);
        call.setWaitMillis(static_cast<uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(wait)
                .count()));
        return call.send().then(
            [asked_at](
                capnp::Response<schema::Peer::ReadLogResults>&& response) {
              KJ_REQUIRE(response.getPage().getAvailable(),
                         "the peer does not follow this stream");
              return Decode(response.getPage(), asked_at);
            });
      });
}

}  // namespace cowslipmast
