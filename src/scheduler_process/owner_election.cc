#include "src/scheduler_process/owner_election.h"

#include <algorithm>
#include <utility>

#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/owner_election_impl.h"
#include "src/scheduler_process/peer_health.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// A response takes 25 ms between regions; a VM without processor time to spare
// may need 100 ms more.
constexpr Duration kHealthCheckTimeout = milliseconds(400);
// Less time than this is not enough for a response.
constexpr Duration kMinHealthCheckTimeout = milliseconds(50);
// An owner proves its ownership every second; without the store for longer than
// this it cannot start tasks.
constexpr Duration kMaxProofAge = milliseconds(2200);
// Owners checked by one process in one round.
constexpr size_t kChecksPerRound = 3;
constexpr size_t kReserveRoundsPerCheck = 3;
// Until the store's response to a claim, which others may read before, its
// process does not own the cell yet.
constexpr Duration kMaxClaimTime = milliseconds(1500);
// The claims change rarely, and are read again before each claim; the wait
// bounds how long a connection that stopped responding goes unnoticed.
constexpr FollowTiming kClaimFollowTiming = {
    .max_wait = milliseconds(5000),
    .pause_after_records = milliseconds(50)};
// During a planned stop, whose grace time is 6 s.
constexpr int kMaxReleaseAttempts = 3;
constexpr Duration kReleaseRetryDelay = milliseconds(150);
// A handover pauses a cell for some tenths of a second.
constexpr Duration kMoveCheckInterval = milliseconds(5000);
constexpr Duration kMinOwnershipBeforeMove = milliseconds(8000);

std::string_view OwnerHealthName(OwnerHealth answer) {
  switch (answer) {
    case OwnerHealth::kHealthy:
      return "healthy";
    case OwnerHealth::kUnresponsive:
      return "silent";
    case OwnerHealth::kCannotOwn:
      return "cannot own";
  }
  return "";
}

bool HasNoOwner(const ElectedCell& cell, const ProcessId& self) {
  return !cell.claim || cell.claim->released || cell.claim->process == self;
}

}  // namespace

ElectedCell* OwnerElection::Impl::Find(CellId id) {
  return id.value() < cells.size() ? cells[id.value()].get() : nullptr;
}

size_t OwnerElection::Impl::CountOwned() const {
  return static_cast<size_t>(std::count_if(
      cells.begin(), cells.end(),
      [](const auto& cell) { return cell->chart.state() == "owning"; }));
}

Suitability OwnerElection::Impl::SuitabilityWith(size_t owned_cells) const {
  Suitability suitability{.store_latency = store_latency,
                          .cores = options.cores,
                          .largest_cores = 0,
                          .owned_cells = owned_cells,
                          .lag = hooks.own_lag()};
  for (const auto& cell : cells) {
    if (cell->claim)
      suitability.largest_cores =
          std::max(suitability.largest_cores, cell->claim->cores);
  }
  return suitability;
}

Duration OwnerElection::Impl::DelayWith(size_t owned_cells) const {
  return ClaimDelay(SuitabilityWith(owned_cells));
}

// Asks the owner of the cell, and tells it that this process is a candidate.
asio::awaitable<OwnerHealth> OwnerElection::Impl::CheckOwner(ElectedCell& cell,
                                                             Duration timeout) {
  HttpRequest request;
  request.method = "POST";
  request.path = MakeCellPath(cell.id, kHealthResource);
  request.body = EncodeCandidate({.control = options.control,
                                  .may_claim = hooks.may_claim(),
                                  .uptime = MonotonicNow() - started,
                                  .claim_delay = DelayWith(CountOwned())});
  const CellClaim claim = *cell.claim;
  const TimePoint sent_at = MonotonicNow();
  NetError error;
  const auto response =
      co_await client.Call(claim.control, std::move(request), timeout, error);
  if (cell.claim != claim)
    co_return OwnerHealth::kHealthy;  // of an owner that is not one any more
  if (!response) {
    client.DropIdle(claim.control);
    NoteSilence(cell.watch, sent_at);
    co_return OwnerHealth::kUnresponsive;
  }
  const TimePoint now = MonotonicNow();
  const auto health = DecodePeerHealth(response->body);
  // A new owner may still wait for the store's response to its claim.
  if (!health || !health->owning || health->epoch < claim.epoch)
    co_return now - cell.watch.claimed_at < kMaxClaimTime
        ? OwnerHealth::kUnresponsive
        : OwnerHealth::kCannotOwn;
  // A new owner reads its state and lists all workers before its first append.
  if (!IsStartingUp(cell.watch, now) && health->proof_age &&
      *health->proof_age > kMaxProofAge)
    co_return OwnerHealth::kCannotOwn;
  NoteResponse(cell.watch, health->response_timeout, now);
  latest_response = now;
  co_return OwnerHealth::kHealthy;
}

// Waits for `delay`, and meanwhile goes on checking the owner; true as soon as
// it is healthy. Only the path to it may have been silent, such as over a link
// that was full for a while.
asio::awaitable<bool> OwnerElection::Impl::HearsOwnerWithin(ElectedCell& cell,
                                                            Duration delay) {
  const TimePoint end = MonotonicNow() + delay;
  while (!stopped && !HasNoOwner(cell, options.process) &&
         end - MonotonicNow() > kMinHealthCheckTimeout) {
    const TimePoint next = MonotonicNow() + kHealthCheckInterval;
    const Duration timeout =
        std::min<Duration>(kHealthCheckTimeout, end - MonotonicNow());
    const OwnerHealth health = co_await CheckOwner(cell, timeout);
    if (health == OwnerHealth::kHealthy)
      co_return true;
    co_await Sleep(std::min(next, end) - MonotonicNow());
  }
  co_await Sleep(end - MonotonicNow());
  co_return false;
}

// Reads the claims; true if another one of this cell is known now.
asio::awaitable<bool> OwnerElection::Impl::HasNewClaim(ElectedCell& cell) {
  const auto before = cell.claim;
  const bool read = co_await ReadClaims();
  if (!read)
    co_await ReadClaimsFromSeeds();
  co_return cell.claim != before;
}

// Checks the owner until it is healthy or another one is known, or claims the
// cell.
asio::awaitable<void> OwnerElection::Impl::CheckUntilSettled(CellId id) {
  const auto self = shared_from_this();
  ElectedCell& cell = *Find(id);
  const FlagGuard guard(cell.being_checked);
  if (HasNoOwner(cell, options.process)) {
    const bool changed = co_await HasNewClaim(cell);
    if (!changed)
      co_await ClaimAfterDelay(cell, "no owner");
    co_return;
  }
  while (!stopped && cell.chart.state() == "following") {
    const OwnerHealth health = co_await CheckOwner(cell, kHealthCheckTimeout);
    if (health == OwnerHealth::kHealthy)
      co_return;
    const bool changed = co_await HasNewClaim(cell);
    if (changed)
      co_return;
    if (health == OwnerHealth::kUnresponsive && !cell.watch.first_look) {
      if (const auto look = co_await LookAtProof(cell))
        NoteFirstLook(cell.watch, *look);
    }
    // Only an owner that does not respond may be merely busy.
    if (health == OwnerHealth::kCannotOwn ||
        IsOwnerGone(cell.watch, MonotonicNow())) {
      co_await ClaimAfterDelay(cell, OwnerHealthName(health));
      co_return;
    }
    co_await Sleep(kHealthCheckInterval);
  }
}

void OwnerElection::Impl::StartCheck(ElectedCell& cell) {
  if (cell.being_checked || cell.chart.state() != "following")
    return;
  // The check itself begins later, and must not be started twice by then.
  cell.being_checked = true;
  Spawn(io, "owner_check", CheckUntilSettled(cell.id));
}

// Checks the owner of one cell after the other, and one of the cells that have
// none.
void OwnerElection::Impl::CheckNextOwners() {
  // Reserves check less often, so that the suitable processes find a cell
  // without an owner first, and the owners get no more checks in all.
  const bool is_reserve = IsReserve(SuitabilityWith(0));
  const bool pauses = is_reserve && rounds++ % kReserveRoundsPerCheck != 0;
  const size_t checks = pauses       ? 0
                        : is_reserve ? 1
                                     : std::min(kChecksPerRound, cells.size());
  for (size_t i = 0; i < checks; ++i)
    StartCheck(*cells[next_check++ % cells.size()]);
  std::vector<ElectedCell*> without_owner;
  for (const auto& cell : cells) {
    if (HasNoOwner(*cell, options.process) && !cell->being_checked &&
        cell->chart.state() == "following")
      without_owner.push_back(cell.get());
  }
  if (!without_owner.empty())
    StartCheck(*without_owner[RandomBelow(random, without_owner.size())]);
}

// Hands one cell over if another process suits much better.
asio::awaitable<void> OwnerElection::Impl::MoveCellToBetterOwner() {
  const auto self = shared_from_this();
  const TimePoint now = MonotonicNow();
  const size_t owned = CountOwned();
  if (owned == 0 || claiming)
    co_return;
  const Duration own_delay = DelayWith(owned - 1);
  for (const auto& cell : cells) {
    if (cell->chart.state() != "owning" ||
        now - cell->watch.claimed_at < kMinOwnershipBeforeMove)
      continue;
    const auto better = FindBetterOwner(cell->candidates, own_delay, now);
    if (!better)
      continue;
    const bool moved = co_await OfferTo(*cell, *better);
    if (moved) {
      hooks.on_superseded(cell->id);
      co_return;
    }
  }
}

asio::awaitable<void> OwnerElection::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped && !layout)
    co_await EstablishLayout();
  const std::weak_ptr<Impl> weak = weak_from_this();
  claim_follower =
      TopicFollower::Make(io, store, StoreTopic::kOwner, kClaimFollowTiming,
                          [weak](const TopicFollower::Records&,
                                 const std::vector<KeyedRecord>& added) {
                            const auto impl = weak.lock();
                            if (!impl || impl->stopped)
                              return;
                            ClaimTable table;
                            for (const KeyedRecord& record : added)
                              ApplyClaimRecord(table, record);
                            impl->AcceptTable(table);
                          });
  while (!stopped) {
    CheckNextOwners();
    if (MonotonicNow() - last_move_check > kMoveCheckInterval) {
      last_move_check = MonotonicNow();
      co_await MoveCellToBetterOwner();
    }
    co_await Sleep(kHealthCheckInterval);
  }
}

OwnerElection::OwnerElection(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

OwnerElection::~OwnerElection() {
  m_impl->stopped = true;
}

std::shared_ptr<OwnerElection> OwnerElection::Make(
    asio::io_context& io,
    const StorePort& store,
    HttpClient& client,
    const CellChart& chart,
    const OwnerElectionOptions& options,
    OwnerElectionHooks hooks) {
  return std::shared_ptr<OwnerElection>(
      new OwnerElection(std::make_shared<Impl>(io, store, client, chart,
                                               options, std::move(hooks))));
}

void OwnerElection::Start() {
  Spawn(m_impl->io, "owner_election", m_impl->Run());
}

void OwnerElection::OnFenced(CellId cell) {
  if (ElectedCell* found = m_impl->Find(cell))
    found->chart.HandleEvent("fenced");
}

void OwnerElection::OnHealthRequest(CellId cell, const Candidate& candidate) {
  if (candidate.control != m_impl->options.control)
    m_impl->heard_at = BootTimeNow();
  if (ElectedCell* found = m_impl->Find(cell))
    NoteCandidate(found->candidates, candidate, MonotonicNow());
}

std::optional<TimePoint> OwnerElection::HeardAt() const {
  return m_impl->heard_at;
}

asio::awaitable<std::optional<CellClaim>> OwnerElection::AcceptOffer(
    CellId cell,
    Epoch epoch) {
  const auto impl = m_impl;
  ElectedCell* found = impl->Find(cell);
  if (found == nullptr)
    co_return std::nullopt;
  // The owner may have claimed the cell a moment ago.
  if (!found->claim || found->claim->epoch != epoch)
    co_await impl->ReadClaims();
  if (!found->claim || found->claim->epoch != epoch ||
      !impl->hooks.may_claim() ||
      found->chart.HandleEvent("offered") != "claim")
    co_return std::nullopt;
  LogEvent("offer_taken", {{"cell", static_cast<int64_t>(cell.value())},
                           {"epoch", static_cast<int64_t>(epoch.value())}});
  co_await impl->ReadClaims();
  co_await impl->TryToClaim(*found);
  if (found->chart.state() != "owning")
    co_return std::nullopt;
  co_return found->claim;
}

asio::awaitable<bool> OwnerElection::HandOver(CellId cell, size_t offers) {
  const auto impl = m_impl;
  ElectedCell* found = impl->Find(cell);
  if (!IsOwner(cell) || !found->claim)
    co_return false;
  const TimePoint now = MonotonicNow();
  const std::vector<Endpoint> ranked =
      RankCandidates(found->candidates, now - impl->started, now);
  for (size_t i = 0; i < std::min(ranked.size(), offers); ++i) {
    const Endpoint& endpoint = ranked[i];
    const bool taken = co_await impl->OfferTo(*found, endpoint);
    if (taken)
      co_return true;
  }
  co_return false;
}

asio::awaitable<void> OwnerElection::Release(CellId cell) {
  // The owner is still tracked, as callers are served until the process ends.
  const auto impl = m_impl;
  ElectedCell* found = impl->Find(cell);
  if (found == nullptr || found->chart.HandleEvent("sigterm") != "release" ||
      !found->claim)
    co_return;
  CellClaim released = *found->claim;
  released.released = true;
  for (int i = 0; i < kMaxReleaseAttempts; ++i) {
    const bool read = co_await impl->ReadClaims();
    if (read && found->claim->epoch != released.epoch)
      break;
    if (read) {
      const bool stored = co_await impl->StoreClaim(*found, released);
      if (stored)
        break;
    }
    co_await Sleep(kReleaseRetryDelay);
  }
  found->chart.HandleEvent("released");
}

std::optional<CellLayout> OwnerElection::layout() const {
  return m_impl->layout;
}

ClaimTable OwnerElection::claims() const {
  ClaimTable table{
      .layout = m_impl->layout, .has_other_version = false, .claims = {}};
  for (const auto& cell : m_impl->cells) {
    if (cell->claim)
      table.claims[cell->id] = *cell->claim;
  }
  return table;
}

std::optional<CellClaim> OwnerElection::owner(CellId cell) const {
  const ElectedCell* found = m_impl->Find(cell);
  return found == nullptr ? std::nullopt : found->claim;
}

bool OwnerElection::IsOwner(CellId cell) const {
  return state(cell) == "owning";
}

std::vector<CellId> OwnerElection::OwnedCells() const {
  std::vector<CellId> owned;
  for (const auto& cell : m_impl->cells) {
    if (cell->chart.state() == "owning")
      owned.push_back(cell->id);
  }
  return owned;
}

std::optional<Duration> OwnerElection::OwnerResponseAge(CellId cell) const {
  const ElectedCell* found = m_impl->Find(cell);
  if (found == nullptr || !found->watch.responded_at)
    return std::nullopt;
  return MonotonicNow() - *found->watch.responded_at;
}

std::optional<Duration> OwnerElection::LatestResponseAge() const {
  if (!m_impl->latest_response)
    return std::nullopt;
  return MonotonicNow() - *m_impl->latest_response;
}

std::string_view OwnerElection::state(CellId cell) const {
  const ElectedCell* found = m_impl->Find(cell);
  return found == nullptr ? "unknown" : found->chart.state();
}

}  // namespace cowslipmast::sched
