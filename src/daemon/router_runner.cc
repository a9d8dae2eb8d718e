#include "src/daemon/router_runner.h"

#include <chrono>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/daemon/role.h"
#include "src/daemon/target_message.h"

namespace cowslipmast {

namespace {

// A peer may reply as late as the deadline; allows its reply to arrive.
constexpr Duration kPeerReplyGrace = std::chrono::seconds(1);

TimePoint Now() {
  return ToTimePoint(std::chrono::steady_clock::now());
}

// A distant time point would overflow the finer unit of the steady clock.
std::chrono::steady_clock::time_point ToSteadyTime(TimePoint time) {
  using Steady = std::chrono::steady_clock;
  const Duration ahead = time - Now();
  return ahead > std::chrono::hours(1) ? Steady::time_point::max()
                                       : Steady::now() + ahead;
}

// Passes the reply to the coroutine that waits for it.
struct PendingReply {
  explicit PendingReply(asio::io_context& io)
      : timer(io, asio::steady_timer::time_point::max()) {}
  asio::steady_timer timer;
  std::optional<RouterReply> reply;
};

}  // namespace

struct RouterRunner::Impl : std::enable_shared_from_this<RouterRunner::Impl> {
  Impl(asio::io_context& io_context,
       HttpClient& http_client,
       Random& random_numbers,
       PeerForward peer_forward,
       const RouterLimits& limits)
      : io(io_context),
        http(http_client),
        random(random_numbers),
        forward(std::move(peer_forward)),
        state(MakeRouterState(limits)),
        timer(io_context) {}

  template <typename Decide>
  void Step(const Decide& decide);
  void Perform(std::vector<RouterAction> actions);
  void Execute(SendToTarget action);
  void Execute(ForwardToPeer action);
  void Execute(ReplyToCaller action);
  void Execute(const DropIdleConnections& action);
  asio::awaitable<void> CallTarget(SendToTarget action);
  asio::awaitable<void> CallPeer(ForwardToPeer action);
  void SetTimer(TimePoint now);
  void OnTimer();

  asio::io_context& io;
  HttpClient& http;
  Random& random;
  PeerForward forward;
  RouterState state;
  asio::steady_timer timer;
  std::optional<TimePoint> timer_at;
  absl::flat_hash_map<RequestTicket, std::shared_ptr<PendingReply>>
      pending_replies;
};

template <typename Decide>
void RouterRunner::Impl::Step(const Decide& decide) {
  std::vector<RouterAction> actions;
  RouterStep step{Now(), random, actions};
  decide(step);
  Perform(std::move(actions));
  SetTimer(step.now);
}

void RouterRunner::Impl::Perform(std::vector<RouterAction> actions) {
  for (RouterAction& action : actions)
    std::visit([this](auto& each) { Execute(std::move(each)); }, action);
}

void RouterRunner::Impl::Execute(SendToTarget action) {
  asio::co_spawn(io, CallTarget(std::move(action)), asio::detached);
}

void RouterRunner::Impl::Execute(ForwardToPeer action) {
  asio::co_spawn(io, CallPeer(std::move(action)), asio::detached);
}

void RouterRunner::Impl::Execute(ReplyToCaller action) {
  const auto found = pending_replies.find(action.ticket);
  if (found == pending_replies.end())
    return;
  found->second->reply = std::move(action.reply);
  found->second->timer.cancel();
  pending_replies.erase(found);
}

void RouterRunner::Impl::Execute(const DropIdleConnections& action) {
  http.DropIdle(action.endpoint);
}

asio::awaitable<void> RouterRunner::Impl::CallTarget(SendToTarget action) {
  const auto self = shared_from_this();
  HttpRequest request = MakeTargetRequest(state.calls.at(action.ticket).request,
                                          action.remaining);
  NetError reason;
  // The request must not be sent after the permission to use the target
  // has expired, even if connecting is slow.
  std::optional<HttpResponse> response = co_await http.Call(
      action.endpoint, std::move(request), kTargetCallTimeout, reason,
      ToSteadyTime(state.usable_until));
  Step([&](RouterStep& step) {
    if (response)
      TargetAnswered(state, step, action.ticket, *std::move(response));
    else
      TargetFailed(state, step, action.ticket, MakeTargetFailure(reason));
  });
}

asio::awaitable<void> RouterRunner::Impl::CallPeer(ForwardToPeer action) {
  const auto self = shared_from_this();
  RouterRequest request = state.calls.at(action.ticket).request;
  request.remaining = action.remaining;
  NetError reason;
  std::optional<RouterReply> reply =
      co_await forward(action.peer, std::move(request),
                       action.remaining + kPeerReplyGrace, reason);
  Step([&](RouterStep& step) {
    if (reply)
      PeerReplied(state, step, action.ticket, *std::move(reply));
    else
      PeerFailed(state, step, action.ticket, reason.request_sent);
  });
}

void RouterRunner::Impl::SetTimer(TimePoint now) {
  const auto next = NextTimer(state, now);
  if (!next || (timer_at && *timer_at <= *next))
    return;
  timer_at = next;
  timer.expires_after(*next - now);
  timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (error)
      return;
    if (const auto self = weak.lock())
      self->OnTimer();
  });
}

void RouterRunner::Impl::OnTimer() {
  timer_at.reset();
  Step([&](RouterStep& step) { HandleTimer(state, step); });
}

RouterRunner::RouterRunner(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

RouterRunner::~RouterRunner() {
  m_impl->timer.cancel();
}

std::unique_ptr<RouterRunner> RouterRunner::Make(asio::io_context& io,
                                                 HttpClient& http,
                                                 Random& random,
                                                 PeerForward forward,
                                                 const RouterLimits& limits) {
  return std::unique_ptr<RouterRunner>(new RouterRunner(
      std::make_shared<Impl>(io, http, random, std::move(forward), limits)));
}

asio::awaitable<RouterReply> RouterRunner::Serve(RouterRequest request,
                                                 RequestOrigin origin) {
  const auto impl = m_impl;
  const auto pending = std::make_shared<PendingReply>(impl->io);
  impl->Step([&](RouterStep& step) {
    const RequestTicket ticket =
        AcceptRequest(impl->state, step, std::move(request), origin);
    impl->pending_replies.emplace(ticket, pending);
  });
  if (!pending->reply) {
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *std::move(pending->reply);
}

void RouterRunner::SetTargets(const std::set<ServiceId>& known_services,
                              const std::vector<RouterTargetInfo>& targets) {
  m_impl->Step([&](RouterStep& step) {
    cowslipmast::SetTargets(m_impl->state, step, known_services, targets);
  });
}

void RouterRunner::SetUsableTargets(const std::set<TargetId>& usable,
                                    TimePoint until) {
  m_impl->Step([&](RouterStep& step) {
    cowslipmast::SetUsableTargets(m_impl->state, step, usable, until);
  });
}

void RouterRunner::SetPeers(const std::vector<RouterPeerInfo>& peers) {
  m_impl->Step([&](RouterStep& step) {
    cowslipmast::SetPeers(m_impl->state, step, peers);
  });
}

void RouterRunner::BeginDrain() {
  cowslipmast::BeginDrain(m_impl->state);
}

bool RouterRunner::CloseIfDrained() {
  return cowslipmast::CloseIfDrained(m_impl->state);
}

const RouterState& RouterRunner::state() const {
  return m_impl->state;
}

}  // namespace cowslipmast
