#include "src/daemon/entry_role.h"

#include <array>
#include <cstdio>
#include <utility>

#include "src/daemon/caller_headers.h"
#include "src/daemon/caller_reply.h"
#include "src/daemon/entry_dump.h"
#include "src/daemon/entry_inputs.h"
#include "src/daemon/entry_metrics.h"
#include "src/daemon/router_runner.h"
#include "src/net/http_server.h"

namespace cowslipmast {

namespace {

TimePoint Now() {
  return ToTimePoint(std::chrono::steady_clock::now());
}

RequestId MakeRequestId(Random& random) {
  std::array<char, 33> text{};
  const auto high = static_cast<unsigned long long>(random());
  const auto low = static_cast<unsigned long long>(random());
  std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
  return RequestId(text.data());
}

}  // namespace

struct EntryRole::Impl : std::enable_shared_from_this<EntryRole::Impl> {
  explicit Impl(const RoleContext& role_context) : context(role_context) {}

  std::optional<RouterRequest> CheckRequest(HttpRequest request,
                                            BadHeader& bad);
  HttpResponse RefuseBadHeader(const BadHeader& bad);
  HttpResponse Finish(RouterReply reply, const RequestId& id, TimePoint start);
  asio::awaitable<HttpResponse> ServeCaller(HttpRequest request);
  asio::awaitable<RouterReply> ServePeer(RouterRequest request);
  void OnOwnership(const OwnershipDecision& decision);
  void OnChange();
  void BeginDrain();
  bool Drained();

  RoleContext context;
  std::shared_ptr<RouterRunner> router;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<EntryMetrics> metrics;
};

std::optional<RouterRequest> EntryRole::Impl::CheckRequest(HttpRequest request,
                                                           BadHeader& bad) {
  const auto headers = ParseCallerHeaders(request.headers, bad);
  if (!headers)
    return std::nullopt;
  return MakeRouterRequest(std::move(request), *headers,
                           context.control.state().config,
                           MakeRequestId(context.random));
}

HttpResponse EntryRole::Impl::RefuseBadHeader(const BadHeader& bad) {
  metrics->CountReply(RequestOutcome::kNotRun, RefusalReason::kBadRequest,
                      Duration(0));
  return MakeBadHeaderResponse(bad);
}

HttpResponse EntryRole::Impl::Finish(RouterReply reply,
                                     const RequestId& id,
                                     TimePoint start) {
  metrics->CountReply(reply.outcome, reply.refusal, Now() - start);
  return MakeCallerResponse(std::move(reply), id);
}

asio::awaitable<HttpResponse> EntryRole::Impl::ServeCaller(
    HttpRequest request) {
  const auto self = shared_from_this();
  const TimePoint start = Now();
  BadHeader bad;
  std::optional<RouterRequest> checked = CheckRequest(std::move(request), bad);
  if (!checked)
    co_return RefuseBadHeader(bad);
  const RequestId id = checked->id;
  RouterReply reply =
      co_await router->Serve(*std::move(checked), RequestOrigin::kCaller);
  co_return Finish(std::move(reply), id, start);
}

asio::awaitable<RouterReply> EntryRole::Impl::ServePeer(RouterRequest request) {
  const auto self = shared_from_this();
  RouterReply reply =
      co_await router->Serve(std::move(request), RequestOrigin::kPeer);
  metrics->CountForwarded(reply.outcome);
  co_return reply;
}

void EntryRole::Impl::OnOwnership(const OwnershipDecision& decision) {
  router->SetUsableTargets(FindUsableTargets(decision), decision.permit_until);
  router->SetPeers(FindPeers(context.peers.Peers(), context.settings.region));
  metrics->CopyCounters(router->state().counters);
}

void EntryRole::Impl::OnChange() {
  const ControlState& control = context.control.state();
  const auto services = FindServices(control.config);
  router->SetTargets(
      services, FindTargets(context.vms, control, context.settings.region));
  metrics->RegisterServices(services, router);
}

void EntryRole::Impl::BeginDrain() {
  router->BeginDrain();
  server->CloseAfterResponse();
  server->StopAccepting();
}

bool EntryRole::Impl::Drained() {
  return server->in_progress() == 0 && router->CloseIfDrained();
}

EntryRole::EntryRole(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

EntryRole::~EntryRole() = default;

std::unique_ptr<EntryRole> EntryRole::Make(const RoleContext& context,
                                           NetError& reason) {
  const auto impl = std::make_shared<Impl>(context);
  PeerForward forward = [&peers = context.peers](
                            ProcessId peer, RouterRequest request,
                            Duration timeout, NetError& error) {
    return peers.Forward(std::move(peer), std::move(request), timeout, error);
  };
  impl->router = RouterRunner::Make(context.io, context.http, context.random,
                                    std::move(forward), RouterLimits{});
  impl->metrics = EntryMetrics::Make(context.metrics);
  // The role owns the server, so a strong pointer would form a cycle.
  HttpHandler handler =
      [weak = std::weak_ptr<Impl>(impl)](
          HttpRequest request) -> asio::awaitable<HttpResponse> {
    const auto self = weak.lock();
    if (!self)
      co_return MakeCallerResponse(RouterReply{}, RequestId());
    co_return co_await self->ServeCaller(std::move(request));
  };
  impl->server =
      HttpServer::Make(context.io, context.settings.listen, HttpServerLimits{},
                       std::move(handler), reason);
  if (!impl->server)
    return nullptr;
  impl->OnChange();
  return std::unique_ptr<EntryRole>(new EntryRole(impl));
}

RoleHooks EntryRole::hooks() {
  RoleHooks hooks;
  const auto impl = m_impl;
  hooks.on_ownership = [impl](const OwnershipDecision& decision) {
    impl->OnOwnership(decision);
  };
  hooks.resources = [impl] {
    return FindTargetResources(impl->context.vms,
                               impl->context.settings.region);
  };
  hooks.idle = [impl](const ResourceId& resource) {
    const auto* target = std::get_if<TargetId>(&resource);
    return !target || IsIdle(impl->router->state(), *target);
  };
  hooks.on_change = [impl] { impl->OnChange(); };
  hooks.free_slots = [impl] {
    return CountFreeSlots(impl->router->state(), Now());
  };
  hooks.forward = [impl](RouterRequest request) {
    return impl->ServePeer(std::move(request));
  };
  hooks.admin =
      [](HttpRequest) -> asio::awaitable<std::optional<HttpResponse>> {
    co_return std::nullopt;
  };
  hooks.dump = [impl] { return DumpRouter(impl->router->state(), Now()); };
  hooks.begin_grace = [impl] { impl->server->CloseAfterResponse(); };
  hooks.begin_drain = [impl] { impl->BeginDrain(); };
  hooks.drained = [impl] { return impl->Drained(); };
  return hooks;
}

uint16_t EntryRole::port() const {
  return m_impl->server->port();
}

}  // namespace cowslipmast
