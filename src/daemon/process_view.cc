#include <utility>

#include <spdlog/fmt/fmt.h>

#include "src/daemon/process_impl.h"

namespace cowslipmast {

namespace {

nlohmann::json ToJson(const std::optional<SteadyClock::time_point>& proof) {
  if (!proof)
    return nullptr;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - *proof)
      .count();
}

const char* LinkName(PeerLink link) {
  switch (link) {
    case PeerLink::kUp:
      return "up";
    case PeerLink::kSuspect:
      return "suspect";
    case PeerLink::kDown:
      return "down";
  }
  return "";
}

}  // namespace

OwnershipView Process::Impl::MakeView() const {
  OwnershipView view;
  view.self = self.process;
  view.region = self.region;
  view.role = self.role;
  view.now = ToTimePoint(SteadyClock::now());
  if (const auto proof = control_log->proof())
    view.proof = ToTimePoint(*proof);
  for (const PeerView& peer : peers->Peers()) {
    if (peer.member.region != self.region || !peer.last)
      continue;
    view.peers.push_back({.process = peer.member.process,
                          .folded_next = peer.last->folded_next,
                          .asked_at = ToTimePoint(peer.asked_at),
                          .draining = peer.last->draining});
  }
  for (const VmInfo& vm : vms) {
    if (vm.kind == VmKind::kEntry)
      view.listed_vms.insert(vm.id);
  }
  view.resources = role.resources();
  // During the grace time this process still serves requests on its targets.
  view.draining = drain_begun;
  return view;
}

Heartbeat Process::Impl::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.process = self.process;
  heartbeat.region = self.region;
  heartbeat.role = self.role;
  heartbeat.folded_next = control->state().next;
  heartbeat.digest = digest;
  heartbeat.digest_at = digest_at;
  if (const auto proof = control_log->proof()) {
    heartbeat.proof_age =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - *proof);
  }
  heartbeat.free_slots = role.free_slots();
  heartbeat.draining = lifecycle->state() == LifecycleState::kDraining;
  return heartbeat;
}

nlohmann::json Process::Impl::Status() const {
  return {{"process", self.process.value()},
          {"role", self.role == Role::kEntry ? "entry" : "placer"},
          {"region", self.region.value()},
          {"data_centre", settings.data_centre.value()},
          {"state", lifecycle->state_name()},
          {"config_version", control->state().config_version.value()},
          {"folded_next", control->state().next.value()},
          {"digest", fmt::format("{:016x}", digest)},
          {"digest_at", digest_at.value()},
          {"proof_age_ms", ToJson(control_log->proof())},
          {"owned", decision.usable.size()}};
}

nlohmann::json Process::Impl::Dump() const {
  nlohmann::json dump = Status();
  for (const PeerView& peer : peers->Peers()) {
    dump["peers"].push_back(
        {{"process", peer.member.process.value()},
         {"region", peer.member.region.value()},
         {"link", LinkName(peer.link)},
         {"folded_next", peer.last ? peer.last->folded_next.value() : 0}});
  }
  dump["vms"] = vms.size();
  dump["jobs"] = control->state().jobs.size();
  dump["role_state"] = role.dump();
  return dump;
}

}  // namespace cowslipmast
