#include <benchmark/benchmark.h>

#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bench/heap_usage.h"
#include "cowslipmast/router.h"

namespace cowslipmast {
namespace {

const ServiceId kService("refill-desk");

std::vector<RouterTargetInfo> MakeTargets(int64_t count) {
  std::vector<RouterTargetInfo> targets;
  for (int64_t i = 0; i < count; ++i) {
    RouterTargetInfo target;
    target.id = TargetId("bulacan-target-" + std::to_string(i));
    target.service = kService;
    target.slots = Slots(8);
    target.endpoint = {"10.0.0.1", 8080};
    targets.push_back(target);
  }
  return targets;
}

RouterRequest MakeRequest(uint64_t number) {
  RouterRequest request;
  request.id = RequestId("request-" + std::to_string(number));
  request.service = kService;
  request.remaining = std::chrono::seconds(1);
  request.method = "GET";
  request.path = "/refill-desk/quote";
  return request;
}

void AnswerSent(RouterState& router, RouterStep& step) {
  const auto actions = std::move(step.actions);
  step.actions.clear();
  for (const RouterAction& action : actions) {
    if (const auto* send = std::get_if<SendToTarget>(&action))
      TargetAnswered(router, step, send->ticket, HttpResponse());
  }
}

// Measures one request from arrival to reply, with `range` owned targets.
void RouteRequestBench(benchmark::State& state) {
  std::mt19937_64 random(1);
  std::vector<RouterAction> actions;
  RouterState router = MakeRouterState({});
  TimePoint now(std::chrono::hours(1));
  RouterStep setup{now, random, actions};
  const auto targets = MakeTargets(state.range(0));
  std::set<TargetId> usable;
  for (const RouterTargetInfo& target : targets)
    usable.insert(target.id);
  SetTargets(router, setup, {kService}, targets);
  SetUsableTargets(router, setup, usable, now + std::chrono::hours(1000));
  actions.clear();
  state.counters["heap_bytes"] = static_cast<double>(HeapBytesOfCopy(router));
  uint64_t number = 0;
  size_t replies = 0;
  for (auto _ : state) {
    // 100 requests per second, so that the request id cache reaches a constant
    // size.
    now += std::chrono::milliseconds(10);
    RouterStep step{now, random, actions};
    AcceptRequest(router, step, MakeRequest(++number), RequestOrigin::kCaller);
    AnswerSent(router, step);
    replies += actions.size();
    actions.clear();
  }
  if (replies != number)
    state.SkipWithError("a request was not answered");
}
BENCHMARK(RouteRequestBench)->Arg(8)->Arg(50)->Arg(400);

}  // namespace
}  // namespace cowslipmast
