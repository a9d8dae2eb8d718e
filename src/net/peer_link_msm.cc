// Compiled as C++17: Boost.MSM 1.74 does not compile as C++20.
#include "src/net/peer_link_msm.h"

#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace cowslipmast {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

namespace {

struct Answered {};
struct FreshAnswered {};
struct Unresponsive {};
struct Expired {};
struct Retry {};

struct OpenFresh {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.open_fresh = true;
  }
};

struct KeepFresh {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.keep_fresh = true;
  }
};

struct DropFresh {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.drop_fresh = true;
  }
};

struct DropAll {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.actions.drop_all = true;
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  struct Down : msm::front::state<> {};
  struct Up : msm::front::state<> {};
  struct Suspect : msm::front::state<> {};
  using initial_state = Down;

  // clang-format off
  struct transition_table
      : mpl::vector<
            Row<Down, Retry, none, OpenFresh, none>,
            Row<Down, FreshAnswered, Up, KeepFresh, none>,
            Row<Up, Unresponsive, Suspect, OpenFresh, none>,
            Row<Suspect, Answered, Up, DropFresh, none>,
            Row<Suspect, FreshAnswered, Up, KeepFresh, none>,
            Row<Suspect, Expired, Down, DropAll, none>> {};
  // clang-format on

  // Ignores events without a row, such as a response while up.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  PeerLinkActions actions;
};

using Machine = msm::back::state_machine<Definition>;

}  // namespace

struct PeerLinkMachine::Impl {
  Machine machine;
};

PeerLinkMachine::PeerLinkMachine(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
PeerLinkMachine::~PeerLinkMachine() = default;

std::unique_ptr<PeerLinkMachine> PeerLinkMachine::Make() {
  auto impl = std::make_unique<Impl>();
  impl->machine.start();
  return std::unique_ptr<PeerLinkMachine>(new PeerLinkMachine(std::move(impl)));
}

PeerLinkActions PeerLinkMachine::Process(PeerLinkEvent event) {
  Machine& machine = m_impl->machine;
  machine.actions = PeerLinkActions{};
  switch (event) {
    case PeerLinkEvent::kAnswered:
      machine.process_event(Answered{});
      break;
    case PeerLinkEvent::kFreshAnswered:
      machine.process_event(FreshAnswered{});
      break;
    case PeerLinkEvent::kUnresponsive:
      machine.process_event(Unresponsive{});
      break;
    case PeerLinkEvent::kExpired:
      machine.process_event(Expired{});
      break;
    case PeerLinkEvent::kRetry:
      machine.process_event(Retry{});
      break;
  }
  return machine.actions;
}

PeerLink PeerLinkMachine::state() const {
  // MSM numbers the states in the order of their first use in the table.
  constexpr int kDownIndex = 0;
  constexpr int kUpIndex = 1;
  switch (m_impl->machine.current_state()[0]) {
    case kDownIndex:
      return PeerLink::kDown;
    case kUpIndex:
      return PeerLink::kUp;
    default:
      return PeerLink::kSuspect;
  }
}

}  // namespace cowslipmast
