#include "src/daemon/placer_role.h"

#include <spdlog/spdlog.h>

#include <map>
#include <utility>
#include <variant>

#include "src/daemon/chart_files.h"
#include "src/daemon/job_api.h"
#include "src/daemon/job_view_json.h"
#include "src/daemon/owned_data_centre.h"

namespace cowslipmast {

namespace {

constexpr auto kDecisionInterval = std::chrono::milliseconds(100);
// Combines replies and records that arrive together into one decision.
constexpr auto kDecisionDelay = std::chrono::milliseconds(10);

using DataCentres = std::map<DataCentreId, std::unique_ptr<OwnedDataCentre>>;

using ChartsPtr = std::shared_ptr<const PlacementCharts>;

ChartsPtr LoadPlacementCharts(const std::string& directory,
                              PlacerError& reason) {
  ChartFileError file_error;
  std::optional<ChartSet> charts = LoadCharts(directory, file_error);
  if (!charts) {
    reason = {PlacerErrorKind::kChartFile, DescribeChartFileError(file_error)};
    return nullptr;
  }
  PlacementChartError name_error;
  ChartsPtr bound =
      MakePlacementCharts((*charts)["task"], (*charts)["lease"], name_error);
  if (!bound)
    reason = {PlacerErrorKind::kChartName,
              name_error.chart + ": " + name_error.expected};
  return bound;
}

size_t CountPlacedTasks(const DataCentres& owned) {
  size_t count = 0;
  for (const auto& [id, data_centre] : owned) {
    if (data_centre->placement())
      count += data_centre->placement()->assignments.size();
  }
  return count;
}

size_t CountWaitingTasks(const DataCentres& owned) {
  size_t count = 0;
  for (const auto& [id, data_centre] : owned) {
    if (!data_centre->placement())
      continue;
    for (const auto& [job_id, job] : data_centre->placement()->jobs)
      count += job.waiting.size();
  }
  return count;
}

}  // namespace

struct PlacerRole::Impl : std::enable_shared_from_this<PlacerRole::Impl> {
  Impl(const RoleContext& role_context,
       const PlacementPolicy& policy,
       ChartsPtr charts)
      : context(role_context),
        timer(context.io),
        workers(WorkerClient::Make(context.http)),
        shared{context,           *workers, addresses, policy,
               std::move(charts), {},       false} {}

  void Init();
  asio::awaitable<void> Run();
  void DecideAll();
  void RequestDecision();
  void OnOwnership(const OwnershipDecision& ownership);
  void SyncOwnedDataCentres();
  void SyncWorkerAddresses();
  std::set<ResourceId> Resources() const;
  bool IsIdle(const ResourceId& resource) const;
  bool IsDrained() const;
  nlohmann::json Dump() const;
  RoleHooks MakeHooks();

  RoleContext context;
  asio::steady_timer timer;
  std::unique_ptr<WorkerClient> workers;
  WorkerAddresses addresses;
  OwnedDataCentre::Shared shared;
  DataCentres owned;
  std::unique_ptr<JobApi> api;
  bool decision_requested = false;
  bool stopped = false;
};

void PlacerRole::Impl::Init() {
  shared.request_decision = [this] { RequestDecision(); };
  api = JobApi::Make(context, [this](const DataCentreId& id) {
    const auto found = owned.find(id);
    return found == owned.end() ? nullptr : &found->second->state();
  });
  context.metrics.Gauge("cowslipmast_placed_tasks", {}, [this] {
    return static_cast<double>(CountPlacedTasks(owned));
  });
  context.metrics.Gauge("cowslipmast_waiting_tasks", {}, [this] {
    return static_cast<double>(CountWaitingTasks(owned));
  });
}

asio::awaitable<void> PlacerRole::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    timer.expires_after(decision_requested ? kDecisionDelay
                                           : kDecisionInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    // A request cancels the regular interval and waits for the short delay.
    if (error && !stopped && decision_requested)
      continue;
    decision_requested = false;
    if (!stopped)
      DecideAll();
  }
}

void PlacerRole::Impl::RequestDecision() {
  if (std::exchange(decision_requested, true))
    return;
  timer.cancel();
}

void PlacerRole::Impl::DecideAll() {
  SyncOwnedDataCentres();
  for (auto& [id, data_centre] : owned)
    data_centre->Decide();
}

// Follows the stream of a claimed data centre as soon as the fold shows the
// claim, while the ownership rules may still require the new owner to wait.
void PlacerRole::Impl::SyncOwnedDataCentres() {
  const auto& ownership = context.control.state().ownership;
  std::erase_if(owned, [&](const auto& item) {
    const auto found = ownership.find(ResourceId(item.first));
    const bool lost = found == ownership.end() ||
                      found->second.owner != context.self ||
                      found->second.epoch != item.second->epoch();
    if (lost)
      spdlog::info("data centre {} is no longer owned", item.first.value());
    return lost;
  });
  for (const auto& [resource, entry] : ownership) {
    const auto* id = std::get_if<DataCentreId>(&resource);
    if (!id || entry.owner != context.self || owned.contains(*id))
      continue;
    spdlog::info("data centre {} owned with epoch {}", id->value(),
                 entry.epoch.value());
    owned.emplace(*id, OwnedDataCentre::Make(shared, *id, entry.epoch));
  }
}

void PlacerRole::Impl::SyncWorkerAddresses() {
  for (const VmInfo& vm : context.vms) {
    if (vm.kind == VmKind::kWorker)
      addresses[vm.id] = {vm.endpoint, vm.base_path};
  }
}

void PlacerRole::Impl::OnOwnership(const OwnershipDecision& ownership) {
  SyncOwnedDataCentres();
  for (auto& [id, data_centre] : owned) {
    const auto usable = ownership.usable.find(ResourceId(id));
    data_centre->SetPermitted(usable != ownership.usable.end() &&
                              usable->second == data_centre->epoch());
  }
}

std::set<ResourceId> PlacerRole::Impl::Resources() const {
  std::set<ResourceId> resources;
  for (const auto& [id, data_centre] :
       context.control.state().config.data_centres) {
    if (data_centre.region == context.settings.region)
      resources.insert(id);
  }
  return resources;
}

bool PlacerRole::Impl::IsIdle(const ResourceId& resource) const {
  const auto* id = std::get_if<DataCentreId>(&resource);
  if (!id)
    return true;
  const auto found = owned.find(*id);
  return found == owned.end() || found->second->idle();
}

bool PlacerRole::Impl::IsDrained() const {
  for (const auto& [id, data_centre] : owned) {
    if (!data_centre->idle())
      return false;
  }
  return true;
}

nlohmann::json PlacerRole::Impl::Dump() const {
  const TimePoint now = ToTimePoint(std::chrono::steady_clock::now());
  nlohmann::json data_centres = nlohmann::json::object();
  for (const auto& [id, data_centre] : owned) {
    const PlacementState* placement = data_centre->placement();
    data_centres[id.value()] =
        placement ? PlacementToJson(*placement, now)
                  : nlohmann::json{{"epoch", data_centre->epoch().value()}};
  }
  return {{"data_centres", std::move(data_centres)},
          {"draining", shared.draining}};
}

RoleHooks PlacerRole::Impl::MakeHooks() {
  RoleHooks hooks;
  hooks.on_ownership = [this](const OwnershipDecision& ownership) {
    OnOwnership(ownership);
  };
  hooks.resources = [this] { return Resources(); };
  hooks.idle = [this](const ResourceId& resource) { return IsIdle(resource); };
  hooks.on_change = [this] {
    SyncWorkerAddresses();
    RequestDecision();
  };
  hooks.free_slots = [] { return FreeSlots(); };
  hooks.forward = [](RouterRequest) -> asio::awaitable<RouterReply> {
    co_return RouterReply{};  // a placement process serves no callers
  };
  hooks.admin = [this](HttpRequest request) {
    return api->Handle(std::move(request));
  };
  hooks.dump = [this] { return Dump(); };
  hooks.begin_drain = [this] {
    shared.draining = true;
    api->BeginDrain();
  };
  hooks.drained = [this] { return IsDrained(); };
  return hooks;
}

PlacerRole::PlacerRole(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PlacerRole::~PlacerRole() {
  m_impl->stopped = true;
  m_impl->timer.cancel();
  m_impl->owned.clear();
}

std::unique_ptr<PlacerRole> PlacerRole::Make(const RoleContext& context,
                                             const PlacementPolicy& policy,
                                             PlacerError& reason) {
  ChartsPtr charts = LoadPlacementCharts(context.settings.charts_dir, reason);
  if (!charts)
    return nullptr;
  auto impl = std::make_shared<Impl>(context, policy, std::move(charts));
  impl->Init();
  return std::unique_ptr<PlacerRole>(new PlacerRole(std::move(impl)));
}

void PlacerRole::Start() {
  asio::co_spawn(m_impl->context.io, m_impl->Run(), asio::detached);
}

RoleHooks PlacerRole::hooks() {
  return m_impl->MakeHooks();
}

}  // namespace cowslipmast
