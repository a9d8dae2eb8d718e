// Calls of the owner election to the store and to other processes' claims.

#include <algorithm>
#include <utility>

#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/owner_election_impl.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// A claim takes 6 ms, and up to 1.2 s in a slow store.
constexpr Duration kClaimTimeout = milliseconds(1400);
constexpr Duration kSeedTimeout = milliseconds(400);
constexpr Duration kLayoutRetryDelay = milliseconds(150);
// Counting the workers reads all of them, so the delays of candidates are
// stretched until only the first ones do.
constexpr int kLayoutDelayFactor = 3;
// Claims of other cells can come in between, as all are in one stream.
constexpr int kMaxClaimAttempts = 6;
// Random part of the delay: candidates at equal distance rarely claim at the
// same time.
constexpr size_t kMaxClaimJitterMs = 150;
// An owner may have recovered if it was checked longer ago.
constexpr Duration kMaxCheckAge = milliseconds(400);

}  // namespace

void OwnerElection::Impl::AcceptClaim(ElectedCell& cell,
                                      const CellClaim& claim) {
  if (cell.claim == claim || (cell.claim && claim.epoch < cell.claim->epoch))
    return;
  LogEvent("owner", {{"cell", static_cast<int64_t>(cell.id.value())},
                     {"process", claim.process.value()},
                     {"epoch", static_cast<int64_t>(claim.epoch.value())},
                     {"released", static_cast<int64_t>(claim.released)}});
  const bool superseded = cell.chart.state() == "owning" && cell.claim &&
                          claim.epoch > cell.claim->epoch;
  cell.claim = claim;
  NoteClaim(cell.watch, MonotonicNow());
  if (superseded)
    hooks.on_superseded(cell.id);
}

void OwnerElection::Impl::AcceptTable(const ClaimTable& table) {
  if (table.has_other_version && !std::exchange(reported_other_version, true))
    LogEvent("layout_unsupported",
             {{"version", static_cast<int64_t>(kLayoutVersion)}});
  if (!layout && table.layout && !table.has_other_version) {
    layout = table.layout;
    for (uint32_t i = 0; i < layout->cells; ++i)
      cells.push_back(std::make_unique<ElectedCell>(CellId(i), chart));
    next_check = RandomBelow(random, cells.size());
    LogEvent("layout", {{"cells", static_cast<int64_t>(layout->cells)}});
  }
  for (const auto& [id, claim] : table.claims) {
    if (ElectedCell* cell = Find(id))
      AcceptClaim(*cell, claim);
  }
}

asio::awaitable<bool> OwnerElection::Impl::ReadClaims() {
  StoreError error;
  const TimePoint requested_at = MonotonicNow();
  const auto snapshot = co_await store.read_newest(StoreTopic::kOwner, error);
  if (!snapshot)
    co_return false;
  store_latency = MonotonicNow() - requested_at;
  claims_end = snapshot->end;
  ClaimTable table;
  for (const KeyedRecord& record : snapshot->records)
    ApplyClaimRecord(table, record);
  AcceptTable(table);
  co_return true;
}

// Reads claims from other processes, so that a process cut off from the store
// can still serve callers through the owners.
asio::awaitable<void> OwnerElection::Impl::ReadClaimsFromSeeds() {
  for (const Endpoint& seed : options.seeds) {
    HttpRequest request;
    request.path = std::string(kClaimsPath);
    NetError error;
    const auto response =
        co_await client.Call(seed, std::move(request), kSeedTimeout, error);
    const auto table = response && response->status == 200
                           ? DecodeClaimTable(response->body)
                           : std::nullopt;
    if (table)
      AcceptTable(*table);
  }
}

asio::awaitable<bool> OwnerElection::Impl::Append(KeyedRecord record,
                                                  uint64_t at) {
  AppendRequest request;
  request.stream = StoreTopic::kOwner;
  request.records.push_back(std::move(record));
  request.expected_end = at;
  request.timeout = kClaimTimeout;
  StoreError error;
  const bool stored = co_await store.append(std::move(request), error);
  if (!stored)
    LogEvent("claim_failed", {{"detail", error.detail}});
  co_return stored;
}

// Stores the layout if none is stored yet.
asio::awaitable<void> OwnerElection::Impl::EstablishLayout() {
  bool read = co_await ReadClaims();
  if (!read)
    co_await ReadClaimsFromSeeds();
  if (layout || !read || reported_other_version || !hooks.may_claim()) {
    co_await Sleep(layout ? Duration(0) : kLayoutRetryDelay);
    co_return;
  }
  co_await Sleep(DelayWith(0) * kLayoutDelayFactor +
                 milliseconds(RandomBelow(random, kMaxClaimJitterMs)));
  read = co_await ReadClaims();
  if (layout || !read || stopped)
    co_return;
  const auto count = co_await hooks.count_cells();
  if (!count || stopped) {
    co_await Sleep(kLayoutRetryDelay);
    co_return;
  }
  // The stream is empty; of several processes the first one stores its layout.
  const CellLayout counted{.version = kLayoutVersion, .cells = *count};
  KeyedRecord record = MakeLayoutRecord(counted);
  co_await Append(std::move(record), 0);
  co_await ReadClaims();
}

// Reads what the present owner has stored of being reached; nothing without a
// response.
asio::awaitable<std::optional<ProofLook>> OwnerElection::Impl::LookAtProof(
    const ElectedCell& cell) {
  ProofLook look{.requested_at = MonotonicNow(), .proof = std::nullopt};
  StoreError error;
  const auto record =
      co_await store.read_record(StoreStream(StoreTopic::kProgress, cell.id),
                                 std::string(kHearingKey), error);
  if (!record)
    co_return std::nullopt;
  look.proof = DecodeHearingProof(record->value);
  // An earlier owner may have stored it.
  if (look.proof && (!cell.claim || look.proof->epoch != cell.claim->epoch))
    look.proof.reset();
  co_return look;
}

// True if only this process does not hear the owner.
asio::awaitable<bool> OwnerElection::Impl::MustPostpone(ElectedCell& cell) {
  if (!cell.watch.first_look || !cell.watch.first_look->proof)
    co_return false;
  const auto look = co_await LookAtProof(cell);
  if (!look || !PostponeClaim(cell.watch, *look, MonotonicNow()))
    co_return false;
  LogEvent("claim_postponed",
           {{"cell", static_cast<int64_t>(cell.id.value())},
            {"epoch", static_cast<int64_t>(look->proof->epoch.value())},
            {"heard_ms", ToMillis(look->proof->heard_age)}});
  co_return true;
}

// Stores the claim unless a later one of the cell is stored. The claim may be
// stored although no response came; it is then read back.
asio::awaitable<bool> OwnerElection::Impl::StoreClaim(ElectedCell& cell,
                                                      CellClaim claim) {
  const auto before = cell.claim;
  for (int i = 0; i < kMaxClaimAttempts && !stopped; ++i) {
    KeyedRecord record = MakeClaimRecord(cell.id, claim);
    const bool stored = co_await Append(std::move(record), claims_end);
    if (stored)
      co_return true;
    const bool read = co_await ReadClaims();
    if (cell.claim == claim)
      co_return true;
    if (!read || cell.claim != before)
      co_return false;
  }
  co_return false;
}

// Must be called only after the chart returned the action "claim".
asio::awaitable<void> OwnerElection::Impl::TryToClaim(ElectedCell& cell) {
  const CellClaim claim{
      .epoch = cell.claim ? cell.claim->epoch.Next() : Epoch(1),
      .process = options.process,
      .control = options.control,
      .released = false,
      .cores = options.cores};
  const bool stored = co_await StoreClaim(cell, claim);
  if (stopped)
    co_return;
  if (!stored) {
    cell.chart.HandleEvent("claim_lost");
    co_await Sleep(milliseconds(100));
    co_return;
  }
  cell.claim = claim;
  NoteClaim(cell.watch, MonotonicNow());
  LogEvent("claimed", {{"cell", static_cast<int64_t>(cell.id.value())},
                       {"epoch", static_cast<int64_t>(claim.epoch.value())}});
  if (cell.chart.HandleEvent("claim_won") == "start_cell")
    hooks.on_won(cell.id, claim.epoch);
}

// Claims the cell after the claim delay, unless another process has claimed it
// by then, its owner is healthy after all, or others reach the owner.
asio::awaitable<void> OwnerElection::Impl::ClaimAfterDelay(
    ElectedCell& cell,
    std::string_view why) {
  if (claiming || !hooks.may_claim())
    co_return;
  const FlagGuard guard(claiming);
  const auto before = cell.claim;
  const Duration delay = DelayWith(CountOwned()) +
                         milliseconds(RandomBelow(random, kMaxClaimJitterMs));
  const TimePoint due = MonotonicNow() + delay;
  bool heard = co_await HearsOwnerWithin(cell, delay);
  if (heard)
    co_return;
  const bool postponed = co_await MustPostpone(cell);
  if (postponed)
    co_return;
  const bool read = co_await ReadClaims();
  // This process was paused, or the store is slow.
  if (cell.claim == before && cell.claim && !cell.claim->released &&
      MonotonicNow() - due > kMaxCheckAge)
    heard = co_await HearsOwnerWithin(cell, kMaxCheckAge);
  if (heard)
    co_return;
  if (!read || stopped || cell.claim != before || !hooks.may_claim())
    co_return;
  if (cell.chart.HandleEvent("owner_missed") != "claim")
    co_return;
  LogEvent("owner_missed",
           {{"cell", static_cast<int64_t>(cell.id.value())},
            {"why", why},
            {"epoch", static_cast<int64_t>(
                          cell.claim ? cell.claim->epoch.value() : 0)}});
  co_await TryToClaim(cell);
}

// Offers the cell to a process; true if that one owns it now.
asio::awaitable<bool> OwnerElection::Impl::OfferTo(ElectedCell& cell,
                                                   Endpoint endpoint) {
  const CellClaim own = *cell.claim;
  const auto claim = co_await OfferCell(client, endpoint, cell.id, own);
  if (!claim)
    co_return false;
  cell.chart.HandleEvent("fenced");
  AcceptClaim(cell, *claim);
  co_return true;
}

}  // namespace cowslipmast::sched
