#ifndef COWSLIPMAST_TESTS_FOLD_OWNERSHIP_SIMULATION_H_
#define COWSLIPMAST_TESTS_FOLD_OWNERSHIP_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/ownership.h"
#include "src/core/random.h"
#include "tests/fold/fake_stream.h"

namespace cowslipmast {

/** Processes of one region, a log and a network in virtual time. Message delays
 * are random; the test makes processes and links fail. */
class OwnershipSimulation {
 public:
  struct SimulatedProcess {
    ProcessId id;
    VmId vm;
    std::unique_ptr<ControlFold> fold = ControlFold::Make();
    OwnershipMemory memory;
    std::optional<TimePoint> proof;
    std::map<ProcessId, PeerReport> peers;
    std::map<ResourceId, Epoch> usable;
    TimePoint usable_until;
    TimePoint paused_until;
    std::set<std::pair<ResourceId, Epoch>> released;
    bool running = true;
    bool draining = false;
    bool store_cut = false;
    bool read_pending = false;
  };

  explicit OwnershipSimulation(uint64_t seed) : m_random(seed) {}

  SimulatedProcess& Start(const std::string& vm) {
    const int incarnation = ++m_incarnations[vm];
    m_processes.push_back(std::make_unique<SimulatedProcess>());
    SimulatedProcess& p = *m_processes.back();
    p.id = MakeProcess(vm, incarnation);
    p.vm = VmId(vm);
    m_listed.insert(p.vm);
    Every(p, Duration(100'000), [this, &p] { Read(p); });
    Every(p, Duration(200'000), [this, &p] { Decide(p); });
    Every(p, Duration(500'000), [this, &p] { SendHeartbeats(p); });
    Every(p, Duration(1'000'000), [this, &p] { Join(p); });
    return p;
  }
  SimulatedProcess* Running(const std::string& vm) {
    for (const auto& p : m_processes)
      if (p->running && p->vm == VmId(vm))
        return p.get();
    return nullptr;
  }
  /** Ends a process; with `with_vm` its VM fails too and later leaves the VM
   * list. */
  void Crash(SimulatedProcess& p, bool with_vm) {
    p.running = false;
    if (with_vm)
      At(now + Below(6'000'000), [this, vm = p.vm] {
        if (!Running(vm.value()))
          m_listed.erase(vm);
      });
  }
  void Pause(SimulatedProcess& p, Duration duration) {
    p.paused_until = now + duration;
  }

  void Run(Duration duration) {
    const TimePoint end = now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      now = event.at;
      event.run();
    }
    now = end;
  }
  size_t CountUsers(const ResourceId& resource) const {
    size_t count = 0;
    for (const auto& p : m_processes)
      count += Uses(*p, resource) ? 1 : 0;
    return count;
  }
  Duration Below(int64_t micros) {
    return Duration(RandomBelow(m_random, static_cast<size_t>(micros)));
  }
  size_t Choose(size_t bound) { return RandomBelow(m_random, bound); }

  TimePoint now{std::chrono::seconds(1000)};
  std::set<ResourceId> resources;
  std::set<std::pair<VmId, VmId>> cut_links;
  size_t violations = 0;
  size_t takeovers = 0;

 private:
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(TimePoint at, std::function<void()> run) {
    m_events.push({at, ++m_order, std::move(run)});
  }
  // Delivers to a process once it is not paused, and never after it ended.
  void Deliver(TimePoint at, SimulatedProcess& p, std::function<void()> run) {
    At(at, [this, &p, run = std::move(run)] {
      if (p.running && now < p.paused_until)
        Deliver(p.paused_until, p, run);
      else if (p.running)
        run();
    });
  }
  void Every(SimulatedProcess& p,
             Duration period,
             const std::function<void()>& run) {
    Deliver(now + period / 2 + Below(period.count()), p, [=, this, &p] {
      run();
      Every(p, period, run);
    });
  }
  Duration Delay() {
    return Choose(20) == 0 ? Below(2'000'000) : Below(100'000);
  }

  void Read(SimulatedProcess& p) {
    if (p.store_cut || p.read_pending)
      return;
    p.read_pending = true;
    const TimePoint asked_at = now;
    At(now + Delay(), [this, &p, asked_at] {
      const size_t end = m_stream.entries.size();
      Deliver(now + Delay(), p, [this, &p, asked_at, end] {
        p.read_pending = false;
        for (size_t i = p.fold->state().next.value(); i < end; ++i)
          p.fold->Apply(LogOffset(i), m_stream.entries[i]);
        p.proof = asked_at;
      });
    });
  }
  // Retries until it succeeds; the record may arrive after its sender has
  // ended.
  void Append(SimulatedProcess& p, const Record& record) {
    if (!p.store_cut)
      At(now + Delay(), [=, this] { m_stream.Add({record}); });
    else
      Deliver(now + Delay(), p, [=, this, &p] { Append(p, record); });
  }
  void SendHeartbeats(SimulatedProcess& from) {
    for (const auto& [id, member] : Members(from))
      for (const auto& to : m_processes)
        if (to->id == id && to->id != from.id)
          SendHeartbeat(from, *to);
  }
  void SendHeartbeat(SimulatedProcess& from, SimulatedProcess& to) {
    if (IsCut(from, to))
      return;
    const TimePoint asked_at = now;
    Deliver(now + Delay(), to, [this, &from, &to, asked_at] {
      const PeerReport report{to.id, to.fold->state().next, asked_at,
                              to.draining};
      if (IsCut(from, to))
        return;
      Deliver(now + Delay(), from, [&from, report] {
        PeerReport& latest = from.peers[report.process];
        if (report.asked_at >= latest.asked_at)
          latest = report;
      });
    });
  }
  bool IsCut(const SimulatedProcess& a, const SimulatedProcess& b) const {
    return cut_links.count(std::minmax(a.vm, b.vm)) > 0;
  }

  std::map<ProcessId, Member> Members(const SimulatedProcess& p) const {
    const auto it = p.fold->state().members.find({kLuzon, Role::kEntry});
    return it == p.fold->state().members.end() ? std::map<ProcessId, Member>()
                                               : it->second.members;
  }
  void Join(SimulatedProcess& p) {
    if (!p.proof || p.draining || Members(p).count(p.id) > 0)
      return;
    const auto it = p.fold->state().members.find({kLuzon, Role::kEntry});
    const MembershipVersion version = it == p.fold->state().members.end()
                                          ? MembershipVersion()
                                          : it->second.version;
    Append(p,
           cowslipmast::Join{{p.id, p.vm, kLuzon, Role::kEntry, {}}, version});
  }
  void Decide(SimulatedProcess& p) {
    OwnershipView view{.self = p.id,
                       .region = kLuzon,
                       .role = Role::kEntry,
                       .now = now,
                       .proof = p.proof,
                       .peers = {},
                       .listed_vms = m_listed,
                       .resources = resources,
                       .draining = p.draining};
    for (const auto& [id, report] : p.peers)
      view.peers.push_back(report);
    const ControlState& state = p.fold->state();
    const OwnershipDecision decision = DecideOwnership(state, view, p.memory);
    for (const Record& record : decision.records)
      Append(p, record);
    for (const auto& [resource, epoch] : decision.hand_over)
      if (Choose(3) == 0 && p.released.emplace(resource, epoch).second)
        Append(p, Release{resource, epoch});
    p.usable = decision.usable;
    p.usable_until = decision.permit_until;
    for (const auto& [resource, epoch] : p.usable) {
      violations += CountUsers(resource) > 1 ? 1 : 0;
      takeovers += state.ownership.at(resource).taken_over ? 1 : 0;
    }
  }
  bool Uses(const SimulatedProcess& p, const ResourceId& resource) const {
    return p.running && now < p.usable_until && p.usable.count(resource) > 0;
  }

  Random m_random;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<SimulatedProcess>> m_processes;
  std::map<std::string, int> m_incarnations;
  std::set<VmId> m_listed;
  FakeStream m_stream;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_FOLD_OWNERSHIP_SIMULATION_H_
