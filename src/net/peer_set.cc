#include "src/net/peer_set.h"

#include <map>
#include <utility>

#include "src/net/peer_link_msm.h"
#include "src/net/peer_rpc.h"

namespace cowslipmast {

using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

// Number of heartbeat intervals without a response.
constexpr int kSuspectAfterIntervals = 3;
constexpr int kDownAfterIntervals = 10;
// Added to the timeout of an RPC, so that its typed error normally arrives
// before the caller stops waiting.
constexpr Duration kRpcErrorGrace = std::chrono::seconds(5);

// One peer and its connections. While `current` is unresponsive, `fresh` is
// opened in parallel, and the one that responds first is kept.
struct Peer {
  PeerSpec spec;
  std::unique_ptr<PeerLinkMachine> link = PeerLinkMachine::Make();
  PeerChannelPtr current;
  PeerChannelPtr fresh;
  std::optional<Heartbeat> last;
  SteadyTime asked_at;
  SteadyTime answered_at;
  bool removed = false;
};
using PeerPtr = std::shared_ptr<Peer>;

// Result of a callback that a coroutine on the Asio thread waits for.
template <typename T>
struct PendingCall {
  explicit PendingCall(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  std::optional<RpcResult<T>> result;
};

template <typename T>
std::function<void(RpcResult<T>)> Complete(
    std::shared_ptr<PendingCall<T>> call) {
  return [call](RpcResult<T> result) {
    call->result = std::move(result);
    call->timer.cancel();
  };
}

template <typename T>
asio::awaitable<std::optional<T>> Await(std::shared_ptr<PendingCall<T>> call,
                                        Duration timeout,
                                        NetError& reason) {
  call->timer.expires_after(timeout + kRpcErrorGrace);
  boost::system::error_code ignored;
  co_await call->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  if (!call->result) {
    reason = {NetErrorKind::kTimeout, true, ""};
    co_return std::nullopt;
  }
  if (!call->result->value)
    reason = call->result->error;
  co_return std::move(call->result->value);
}

}  // namespace

struct PeerSet::Impl {
  Impl(asio::io_context& asio_io, PeerHandlers peer_handlers)
      : io(asio_io),
        handlers(std::move(peer_handlers)),
        alive(std::make_shared<bool>(true)) {}

  void AddPeer(const PeerSpec& spec);
  asio::awaitable<void> HeartbeatLoop(PeerPtr peer,
                                      std::shared_ptr<bool> still_alive);
  void RunHeartbeatRound(const PeerPtr& peer);
  void SendHeartbeat(const PeerPtr& peer, const PeerChannelPtr& channel);
  void OnHeartbeat(const PeerPtr& peer,
                   const PeerChannelPtr& channel,
                   SteadyTime asked_at,
                   RpcResult<Heartbeat> result);
  void DropCurrent(const PeerPtr& peer);
  void Process(const PeerPtr& peer, PeerLinkEvent event);
  PeerChannelPtr UsableChannel(const ProcessId& peer, NetError& reason) const;

  asio::io_context& io;
  PeerHandlers handlers;
  std::unique_ptr<PeerRpc> rpc;
  std::map<ProcessId, PeerPtr> peers;
  std::shared_ptr<bool> alive;  // false once the set is destroyed
};

void PeerSet::Impl::AddPeer(const PeerSpec& spec) {
  auto peer = std::make_shared<Peer>();
  peer->spec = spec;
  peers[spec.member.process] = peer;
  asio::co_spawn(io, HeartbeatLoop(peer, alive), asio::detached);
}

asio::awaitable<void> PeerSet::Impl::HeartbeatLoop(
    PeerPtr peer,
    std::shared_ptr<bool> still_alive) {
  asio::steady_timer timer(io);
  while (*still_alive && !peer->removed) {
    RunHeartbeatRound(peer);
    timer.expires_after(peer->spec.heartbeat_interval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void PeerSet::Impl::RunHeartbeatRound(const PeerPtr& peer) {
  const auto silence = std::chrono::steady_clock::now() - peer->answered_at;
  const Duration interval = peer->spec.heartbeat_interval;
  if (peer->link->state() == PeerLink::kDown)
    Process(peer, PeerLinkEvent::kRetry);
  else if (silence > kDownAfterIntervals * interval)
    Process(peer, PeerLinkEvent::kExpired);
  else if (silence > kSuspectAfterIntervals * interval)
    Process(peer, PeerLinkEvent::kUnresponsive);
  if (peer->current)
    SendHeartbeat(peer, peer->current);
  if (peer->fresh)
    SendHeartbeat(peer, peer->fresh);
}

void PeerSet::Impl::SendHeartbeat(const PeerPtr& peer,
                                  const PeerChannelPtr& channel) {
  const SteadyTime asked_at = std::chrono::steady_clock::now();
  rpc->CallHeartbeat(channel, handlers.heartbeat(),
                     kSuspectAfterIntervals * peer->spec.heartbeat_interval,
                     [this, peer, channel, asked_at,
                      still_alive = alive](RpcResult<Heartbeat> result) {
                       if (*still_alive && !peer->removed)
                         OnHeartbeat(peer, channel, asked_at,
                                     std::move(result));
                     });
}

void PeerSet::Impl::OnHeartbeat(const PeerPtr& peer,
                                const PeerChannelPtr& channel,
                                SteadyTime asked_at,
                                RpcResult<Heartbeat> result) {
  const bool is_fresh = channel == peer->fresh;
  if (!is_fresh && channel != peer->current)
    return;
  // Another process may be using the port of a peer that has ended.
  const bool is_peer =
      result.value && result.value->process == peer->spec.member.process;
  if (!is_peer) {
    if (is_fresh)
      peer->fresh.reset();
    else if (!result.value && result.error.kind != NetErrorKind::kTimeout)
      DropCurrent(peer);
    return;
  }
  peer->answered_at = std::chrono::steady_clock::now();
  if (asked_at >= peer->asked_at) {
    peer->asked_at = asked_at;
    peer->last = std::move(result.value);
  }
  Process(peer,
          is_fresh ? PeerLinkEvent::kFreshAnswered : PeerLinkEvent::kAnswered);
}

// A broken connection is never reused: a request sent on it would have to be
// treated as possibly run.
void PeerSet::Impl::DropCurrent(const PeerPtr& peer) {
  peer->current.reset();
  Process(peer, PeerLinkEvent::kUnresponsive);
}

void PeerSet::Impl::Process(const PeerPtr& peer, PeerLinkEvent event) {
  const PeerLinkActions actions = peer->link->Process(event);
  if (actions.keep_fresh)
    peer->current = std::exchange(peer->fresh, nullptr);
  if (actions.drop_fresh || actions.drop_all)
    peer->fresh.reset();
  if (actions.drop_all)
    peer->current.reset();
  const bool wants_fresh =
      actions.open_fresh || peer->link->state() == PeerLink::kSuspect;
  if (wants_fresh && !peer->fresh)
    peer->fresh = rpc->Connect(peer->spec.member.peer_endpoint);
}

PeerChannelPtr PeerSet::Impl::UsableChannel(const ProcessId& peer,
                                            NetError& reason) const {
  const auto found = peers.find(peer);
  if (found == peers.end() || !found->second->current) {
    reason = {NetErrorKind::kConnectFailed, false, "no connection to the peer"};
    return nullptr;
  }
  return found->second->current;
}

PeerSet::PeerSet(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerSet::~PeerSet() {
  *m_impl->alive = false;
}

std::unique_ptr<PeerSet> PeerSet::Make(asio::io_context& io,
                                       const Endpoint& listen,
                                       PeerHandlers handlers,
                                       NetError& reason) {
  auto impl = std::make_unique<Impl>(io, handlers);
  impl->rpc = PeerRpc::Make(io, listen, std::move(handlers), reason);
  if (!impl->rpc)
    return nullptr;
  return std::unique_ptr<PeerSet>(new PeerSet(std::move(impl)));
}

uint16_t PeerSet::port() const {
  return m_impl->rpc->port();
}

void PeerSet::SetPeers(const std::vector<PeerSpec>& peers) {
  std::map<ProcessId, PeerPtr> kept;
  for (const PeerSpec& spec : peers) {
    const auto found = m_impl->peers.find(spec.member.process);
    if (found != m_impl->peers.end())
      kept.insert(m_impl->peers.extract(found));
  }
  for (const auto& [id, peer] : m_impl->peers)
    peer->removed = true;
  m_impl->peers = std::move(kept);
  for (const PeerSpec& spec : peers) {
    if (!m_impl->peers.contains(spec.member.process))
      m_impl->AddPeer(spec);
  }
}

std::vector<PeerView> PeerSet::Peers() const {
  std::vector<PeerView> views;
  for (const auto& [id, peer] : m_impl->peers) {
    views.push_back({.member = peer->spec.member,
                     .link = peer->link->state(),
                     .last = peer->last,
                     .asked_at = peer->asked_at});
  }
  return views;
}

asio::awaitable<std::optional<RouterReply>> PeerSet::Forward(
    ProcessId peer,
    RouterRequest request,
    Duration timeout,
    NetError& reason) {
  const PeerChannelPtr channel = m_impl->UsableChannel(peer, reason);
  if (!channel)
    co_return std::nullopt;
  auto call = std::make_shared<PendingCall<RouterReply>>(m_impl->io);
  m_impl->rpc->CallForward(channel, std::move(request), timeout,
                           Complete(call));
  auto reply = co_await Await(call, timeout, reason);
  co_return reply;
}

asio::awaitable<std::optional<LogPage>> PeerSet::ReadLog(ProcessId peer,
                                                         StreamId stream,
                                                         LogOffset from,
                                                         uint32_t max_entries,
                                                         Duration wait,
                                                         NetError& reason) {
  const PeerChannelPtr channel = m_impl->UsableChannel(peer, reason);
  if (!channel)
    co_return std::nullopt;
  auto call = std::make_shared<PendingCall<LogPage>>(m_impl->io);
  m_impl->rpc->CallReadLog(channel, stream, from, max_entries, wait,
                           Complete(call));
  auto page = co_await Await(call, wait, reason);
  co_return page;
}

}  // namespace cowslipmast
