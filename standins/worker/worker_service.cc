#include "standins/worker/worker_service.h"

#include <chrono>
#include <optional>
#include <utility>

#include "standins/common/clock.h"
#include "standins/worker/lease_worker_json.h"

namespace cowslipmast::standins {

namespace {

constexpr auto kAdvanceInterval = std::chrono::milliseconds(10);
// Longer than any timeout of a placer.
constexpr auto kNoAnswerDelay = std::chrono::hours(1);

HttpResponse MakeCommandResponse(bool accepted, CommandRefusal refusal) {
  if (accepted)
    return OkResponse();
  return MakeJsonResponse(
      409, Json{{"refused", CommandRefusalName(refusal)}}.dump());
}

HttpResponse StartTask(LeaseWorker& worker, const Json& body) {
  const auto command = ParseStart(body);
  if (!command)
    return BadRequestResponse("bad_start");
  CommandRefusal refusal = CommandRefusal::kStaleEpoch;
  const bool accepted = worker.Start(*command, WallNow(), refusal);
  return MakeCommandResponse(accepted, refusal);
}

HttpResponse RenewLeases(LeaseWorker& worker, Epoch epoch, const Json& body) {
  const auto lease_ms = UnsignedField(body, "lease_ms");
  if (!lease_ms)
    return BadRequestResponse("bad_renew");
  CommandRefusal refusal = CommandRefusal::kStaleEpoch;
  const bool accepted =
      worker.Renew(epoch, std::chrono::milliseconds(*lease_ms), refusal);
  return MakeCommandResponse(accepted, refusal);
}

HttpResponse AckTasks(LeaseWorker& worker, Epoch epoch, const Json& body) {
  const auto runs = ParseTaskRuns(body);
  if (!runs)
    return BadRequestResponse("bad_ack");
  CommandRefusal refusal = CommandRefusal::kStaleEpoch;
  const bool accepted = worker.Ack(epoch, *runs, refusal);
  return MakeCommandResponse(accepted, refusal);
}

}  // namespace

WorkerService::WorkerService(asio::io_context& io,
                             const std::vector<VmInfo>& workers,
                             const TaskKindTable& table,
                             const WorkerServiceOptions& options)
    : m_io(io), m_table(table), m_checker(options.drain_limit) {
  for (const VmInfo& vm : workers) {
    m_workers[vm.base_path].worker =
        std::make_unique<LeaseWorker>(vm, m_table, m_checker, options.worker);
  }
}

asio::awaitable<void> WorkerService::AdvanceLoop() {
  asio::steady_timer timer(m_io);
  while (true) {
    const TimePoint now = MonotonicNow();
    for (auto& [path, entry] : m_workers)
      entry.worker->Advance(now);
    timer.expires_after(kAdvanceInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<InjectedResponse> WorkerService::Handle(HttpRequest request) {
  const std::string path(PathWithoutQuery(request.path));
  if (path == "/stats")
    co_return InjectedResponse{MakeJsonResponse(200, m_checker.Stats().dump())};
  if (path == "/control")
    co_return InjectedResponse{ApplyControl(request)};
  const size_t slash = path.rfind('/');
  const auto found = m_workers.find(path.substr(0, slash));
  if (slash == std::string::npos || found == m_workers.end())
    co_return InjectedResponse{NotFoundResponse()};
  co_return co_await HandleWorker(found->second, path.substr(slash + 1),
                                  std::move(request));
}

asio::awaitable<InjectedResponse> WorkerService::HandleWorker(
    ServedWorker& entry,
    std::string action,
    HttpRequest request) {
  if (entry.reachability == Reachability::kDown)
    co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
  if (entry.reachability == Reachability::kSilent) {
    asio::steady_timer timer(m_io, kNoAnswerDelay);
    co_await timer.async_wait(asio::use_awaitable);
    co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
  }
  LeaseWorker& worker = *entry.worker;
  worker.Advance(MonotonicNow());
  if (request.method == "GET" && action == "leases")
    co_return InjectedResponse{
        MakeJsonResponse(200, LeasesToJson(worker).dump())};
  if (request.method != "POST")
    co_return InjectedResponse{NotFoundResponse()};
  HttpResponse response = HandleCommand(worker, action, request);
  if (entry.replies_to_lose == 0)
    co_return InjectedResponse{std::move(response)};
  --entry.replies_to_lose;
  co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
}

HttpResponse WorkerService::HandleCommand(LeaseWorker& worker,
                                          std::string_view action,
                                          const HttpRequest& request) {
  const auto body = ParseObject(request.body);
  if (!body)
    return BadRequestResponse("not_an_object");
  const auto epoch = ParseEpoch(*body);
  if (!epoch)
    return BadRequestResponse("no_epoch");
  if (action == "start")
    return StartTask(worker, *body);
  if (action == "renew")
    return RenewLeases(worker, *epoch, *body);
  if (action == "ack")
    return AckTasks(worker, *epoch, *body);
  if (action != "fence")
    return HandleTaskCommand(worker, action, *body);
  CommandRefusal refusal = CommandRefusal::kStaleEpoch;
  const bool accepted = worker.Fence(*epoch, refusal);
  return MakeCommandResponse(accepted, refusal);
}

HttpResponse WorkerService::HandleTaskCommand(LeaseWorker& worker,
                                              std::string_view action,
                                              const Json& body) {
  const Epoch epoch = ParseEpoch(body).value_or(Epoch());
  const auto task = ParseTask(body);
  if (!task)
    return BadRequestResponse("no_task");
  CommandRefusal refusal = CommandRefusal::kStaleEpoch;
  bool accepted = false;
  if (action == "checkpoint") {
    accepted = worker.Checkpoint(epoch, *task, refusal);
  } else if (action == "stop") {
    accepted = worker.Stop(epoch, *task, refusal);
  } else if (action == "throttle") {
    const auto percent = UnsignedField(body, "percent");
    if (!percent || *percent > 100)
      return BadRequestResponse("bad_percent");
    accepted = worker.Throttle(epoch, *task, *percent, refusal);
  } else {
    return NotFoundResponse();
  }
  return MakeCommandResponse(accepted, refusal);
}

// {"data_centre","out":bool} tells the invariant checker that a data centre was
// drained or returned to service; {"worker",...} sets the behaviour of a
// worker.
HttpResponse WorkerService::ApplyControl(const HttpRequest& request) {
  const auto body = ParseObject(request.body);
  if (!body)
    return BadRequestResponse("not_an_object");
  if (const auto name = StringField(*body, "worker"))
    return ApplyWorkerControl(*body, *name);
  const auto data_centre = StringField(*body, "data_centre");
  const auto out = BoolField(*body, "out");
  if (!data_centre || !out)
    return BadRequestResponse("no_worker_or_data_centre");
  m_checker.SetDataCentreDrained(DataCentreId(*data_centre), *out,
                                 MonotonicNow());
  return OkResponse();
}

HttpResponse WorkerService::ApplyWorkerControl(const Json& body,
                                               const std::string& name) {
  for (auto& [path, entry] : m_workers) {
    if (entry.worker->vm().id.value() != name)
      continue;
    const std::string reachability =
        StringField(body, "reach").value_or("normal");
    if (reachability != "normal" && reachability != "silent" &&
        reachability != "down")
      return BadRequestResponse("unknown_reach");
    entry.reachability = reachability == "silent" ? Reachability::kSilent
                         : reachability == "down" ? Reachability::kDown
                                                  : Reachability::kNormal;
    entry.replies_to_lose = UnsignedField(body, "lose_replies").value_or(0);
    entry.worker->set_fail_all_tasks(
        BoolField(body, "fails_all").value_or(false));
    entry.worker->set_skip_start_checks(
        BoolField(body, "careless").value_or(false));
    if (BoolField(body, "restart").value_or(false))
      entry.worker->Restart();
    return OkResponse();
  }
  return BadRequestResponse("unknown_worker");
}

}  // namespace cowslipmast::standins
