#include "src/scheduler_process/owner_election.h"

#include <algorithm>
#include <utility>

#include "src/core/random.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kHealthCheckInterval = milliseconds(300);
// A response takes 25 ms between regions; a VM without processor time to spare
// may need 100 ms more.
constexpr Duration kHealthCheckTimeout = milliseconds(400);
// Time of three unanswered requests in a row. An owner may only ask for longer.
constexpr Duration kMinResponseTimeout = milliseconds(1200);
// An owner proves its ownership every second; without the store for longer than
// this it cannot start tasks.
constexpr Duration kMaxProofAge = milliseconds(2200);
// A claim takes 6 ms, and up to 1.2 s in a slow store.
constexpr Duration kClaimTimeout = milliseconds(1400);
// A candidate waits this many times the latency of its own store calls before
// it claims, so that one near the store, with faster appends, comes first.
constexpr int kClaimDelayPerStoreLatency = 12;
// A candidate with less processor time waits longer, so that a VM that can bear
// the owner's load comes first. Milliseconds for one core; the delay is
// inversely proportional to the cores.
constexpr double kClaimDelayMsTimesCores = 40;
// During a planned stop, whose grace time is 6 s.
constexpr int kMaxReleaseAttempts = 3;
constexpr Duration kReleaseRetryDelay = milliseconds(150);
// Number of processes that the cell is offered to before a planned stop: an
// offer without a response takes 1.8 s of the grace time.
constexpr size_t kMaxOffers = 2;
// Random part of the delay: candidates at equal distance rarely claim at the
// same time.
constexpr size_t kMaxClaimJitterMs = 150;

enum class OwnerHealth {
  kHealthy,
  kUnresponsive,
  kCannotOwn,  // it answers, but has given up the cell or lost the store
};

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

}  // namespace

struct OwnerElection::Impl : std::enable_shared_from_this<OwnerElection::Impl> {
  Impl(asio::io_context& context,
       const StorePort& store_port,
       HttpClient& http,
       const CellChart& cell_chart,
       const OwnerElectionOptions& election_options,
       OwnerElectionHooks election_hooks)
      : io(context),
        store(store_port),
        client(http),
        chart(cell_chart),
        options(election_options),
        random(election_options.seed),
        hooks(std::move(election_hooks)) {}

  asio::awaitable<void> Run();
  asio::awaitable<OwnerHealth> CheckOwner();
  asio::awaitable<bool> ReadClaim();
  asio::awaitable<void> ReadClaimFromSeeds();
  void AcceptClaim(const CellClaim& claim);
  asio::awaitable<void> TryToClaim();
  asio::awaitable<bool> AppendClaim(CellClaim claim, uint64_t at);
  asio::awaitable<void> ClaimAfterDelay(std::string_view why);
  Duration ClaimDelay() const;

  asio::io_context& io;
  StorePort store;
  HttpClient& client;
  CellChart chart;
  OwnerElectionOptions options;
  Random random;
  OwnerElectionHooks hooks;
  const TimePoint started = MonotonicNow();
  Candidates candidates;
  std::optional<CellClaim> known_claim;
  TimePoint known_claim_since;
  // End offset of the claim topic when `known_claim` was read.
  uint64_t claim_topic_end = 0;
  std::optional<TimePoint> owner_responded_at;
  Duration response_timeout = kOwnerStartupPeriod;
  Duration store_latency = milliseconds(5);
  bool stopped = false;
};

asio::awaitable<bool> OwnerElection::Impl::ReadClaim() {
  StoreError error;
  const TimePoint requested_at = MonotonicNow();
  const auto snapshot = co_await store.read_newest(StoreTopic::kOwner, error);
  if (!snapshot)
    co_return false;
  store_latency = MonotonicNow() - requested_at;
  claim_topic_end = snapshot->end;
  for (const KeyedRecord& record : snapshot->records) {
    if (record.key != kClaimKey)
      continue;
    const auto claim = DecodeCellClaim(record.value);
    if (!claim) {
      LogEvent("claim_unreadable", {{"key", record.key}});
      continue;
    }
    if (known_claim != claim)
      AcceptClaim(*claim);
  }
  co_return true;
}

void OwnerElection::Impl::AcceptClaim(const CellClaim& claim) {
  LogEvent("owner", {{"process", claim.process.value()},
                     {"epoch", static_cast<int64_t>(claim.epoch.value())},
                     {"released", static_cast<int64_t>(claim.released)}});
  known_claim = claim;
  known_claim_since = MonotonicNow();
  owner_responded_at = known_claim_since;
  response_timeout = kOwnerStartupPeriod;
}

// Reads later claims from other processes, so that a process cut off from the
// store can still serve callers through the owner.
asio::awaitable<void> OwnerElection::Impl::ReadClaimFromSeeds() {
  for (const Endpoint& seed : options.seeds) {
    HttpRequest request;
    request.path = std::string(kClaimPath);
    NetError error;
    const auto response = co_await client.Call(seed, std::move(request),
                                               kHealthCheckTimeout, error);
    const auto claim = response && response->status == 200
                           ? DecodeCellClaim(response->body)
                           : std::nullopt;
    if (claim && (!known_claim || known_claim->epoch < claim->epoch))
      AcceptClaim(*claim);
  }
}

asio::awaitable<OwnerHealth> OwnerElection::Impl::CheckOwner() {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kHealthPath);
  request.body = EncodeCandidate({.control = options.self.control,
                                  .may_claim = hooks.may_claim(),
                                  .uptime = MonotonicNow() - started,
                                  .claim_delay = ClaimDelay()});
  const Endpoint endpoint = known_claim->control;
  NetError error;
  const auto response = co_await client.Call(endpoint, std::move(request),
                                             kHealthCheckTimeout, error);
  if (!response) {
    client.DropIdle(endpoint);
    co_return OwnerHealth::kUnresponsive;
  }
  const auto health = DecodePeerHealth(response->body);
  if (!health || !health->owning || health->epoch < known_claim->epoch)
    co_return OwnerHealth::kCannotOwn;
  // A new owner reads its state and lists all workers before its first append.
  const bool starting_up =
      MonotonicNow() - known_claim_since < kOwnerStartupPeriod;
  if (!starting_up && health->proof_age && *health->proof_age > kMaxProofAge)
    co_return OwnerHealth::kCannotOwn;
  owner_responded_at = MonotonicNow();
  response_timeout = std::max(kMinResponseTimeout, health->response_timeout);
  co_return OwnerHealth::kHealthy;
}

asio::awaitable<bool> OwnerElection::Impl::AppendClaim(CellClaim claim,
                                                       uint64_t at) {
  AppendRequest request;
  request.topic = StoreTopic::kOwner;
  request.records.push_back({std::string(kClaimKey), EncodeCellClaim(claim)});
  request.expected_end = at;
  request.timeout = kClaimTimeout;
  StoreError error;
  const bool stored = co_await store.append(std::move(request), error);
  if (!stored) {
    LogEvent("claim_failed",
             {{"epoch", static_cast<int64_t>(claim.epoch.value())},
              {"detail", error.detail}});
  }
  co_return stored;
}

// Must be called only after the chart returned the action "claim".
asio::awaitable<void> OwnerElection::Impl::TryToClaim() {
  CellClaim claim = options.self;
  claim.epoch = known_claim ? known_claim->epoch.Next() : Epoch(1);
  const uint64_t at = claim_topic_end;
  bool stored = co_await AppendClaim(claim, at);
  if (!stored && !stopped) {
    // The claim may be stored although no response came.
    co_await ReadClaim();
    stored = known_claim == claim;
  }
  if (stopped)
    co_return;
  if (!stored) {
    chart.HandleEvent("claim_lost");
    co_await Sleep(milliseconds(100));
    co_return;
  }
  known_claim = claim;
  owner_responded_at = MonotonicNow();
  LogEvent("claimed", {{"epoch", static_cast<int64_t>(claim.epoch.value())}});
  if (chart.HandleEvent("claim_won") == "start_cell")
    hooks.on_won(claim.epoch);
}

Duration OwnerElection::Impl::ClaimDelay() const {
  return std::min<Duration>(store_latency * kClaimDelayPerStoreLatency,
                            milliseconds(1500)) +
         milliseconds(static_cast<int64_t>(kClaimDelayMsTimesCores /
                                           std::max(0.02, options.cores)));
}

// Claims the cell after the claim delay, unless another process has claimed it
// by then.
asio::awaitable<void> OwnerElection::Impl::ClaimAfterDelay(
    std::string_view why) {
  if (!hooks.may_claim())
    co_return;
  const auto before = known_claim;
  co_await Sleep(ClaimDelay() +
                 milliseconds(RandomBelow(random, kMaxClaimJitterMs)));
  const bool read = co_await ReadClaim();
  if (!read || stopped || known_claim != before)
    co_return;
  if (chart.HandleEvent("owner_missed") != "claim")
    co_return;
  LogEvent("owner_missed",
           {{"why", why},
            {"epoch", static_cast<int64_t>(
                          known_claim ? known_claim->epoch.value() : 0)}});
  co_await TryToClaim();
}

asio::awaitable<void> OwnerElection::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    if (chart.state() == "owning") {
      co_await Sleep(kHealthCheckInterval);
      continue;
    }
    if (!known_claim) {
      const bool read = co_await ReadClaim();
      if (read && !known_claim)
        co_await ClaimAfterDelay("no owner");
      else
        co_await Sleep(milliseconds(50));
      continue;
    }
    OwnerHealth answer = OwnerHealth::kCannotOwn;
    if (!known_claim->released && known_claim->process != options.self.process)
      answer = co_await CheckOwner();
    // Only an owner that does not respond may be merely busy.
    const bool may_be_busy =
        answer == OwnerHealth::kUnresponsive && owner_responded_at &&
        MonotonicNow() - *owner_responded_at < response_timeout;
    if (answer != OwnerHealth::kHealthy) {
      // Another process may have claimed the cell already; it then gets a full
      // answer timeout.
      const auto before = known_claim;
      const bool read = co_await ReadClaim();
      if (!read)
        co_await ReadClaimFromSeeds();
      if (!may_be_busy && known_claim == before)
        co_await ClaimAfterDelay(OwnerHealthName(answer));
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

void OwnerElection::OnFenced() {
  m_impl->chart.HandleEvent("fenced");
}

void OwnerElection::OnHealthRequest(const Candidate& candidate) {
  NoteCandidate(m_impl->candidates, candidate, MonotonicNow());
}

asio::awaitable<std::optional<CellClaim>> OwnerElection::AcceptOffer(
    Epoch epoch) {
  const auto impl = m_impl;
  if (!impl->known_claim || impl->known_claim->epoch != epoch ||
      !impl->hooks.may_claim() || impl->chart.HandleEvent("offered") != "claim")
    co_return std::nullopt;
  LogEvent("offer_taken", {{"epoch", static_cast<int64_t>(epoch.value())}});
  co_await impl->TryToClaim();
  if (impl->chart.state() != "owning")
    co_return std::nullopt;
  co_return impl->known_claim;
}

asio::awaitable<bool> OwnerElection::HandOver() {
  const auto impl = m_impl;
  if (!IsOwner() || !impl->known_claim)
    co_return false;
  const CellClaim own = *impl->known_claim;
  const TimePoint now = MonotonicNow();
  const std::vector<Endpoint> ranked =
      RankCandidates(impl->candidates, now - impl->started, now);
  for (size_t i = 0; i < std::min(ranked.size(), kMaxOffers); ++i) {
    const Endpoint& endpoint = ranked[i];
    const auto claim = co_await OfferCell(impl->client, endpoint, own);
    if (!claim)
      continue;
    impl->chart.HandleEvent("fenced");
    impl->AcceptClaim(*claim);
    co_return true;
  }
  co_return false;
}

asio::awaitable<void> OwnerElection::Release() {
  // The owner is still tracked, as callers are served until the process ends.
  const auto impl = m_impl;
  const bool release = impl->chart.HandleEvent("sigterm") == "release";
  if (!release || !impl->known_claim)
    co_return;
  CellClaim claim = *impl->known_claim;
  claim.released = true;
  for (int i = 0; i < kMaxReleaseAttempts; ++i) {
    const bool read = co_await impl->ReadClaim();
    if (read && impl->known_claim->epoch != claim.epoch)
      break;
    if (read) {
      const uint64_t at = impl->claim_topic_end;
      const bool stored = co_await impl->AppendClaim(claim, at);
      if (stored) {
        impl->known_claim = claim;
        break;
      }
    }
    co_await Sleep(kReleaseRetryDelay);
  }
  impl->chart.HandleEvent("released");
}

std::optional<CellClaim> OwnerElection::owner() const {
  return m_impl->known_claim;
}

bool OwnerElection::IsOwner() const {
  return m_impl->chart.state() == "owning";
}

std::optional<Duration> OwnerElection::OwnerResponseAge() const {
  if (!m_impl->owner_responded_at)
    return std::nullopt;
  return MonotonicNow() - *m_impl->owner_responded_at;
}

std::string_view OwnerElection::state() const {
  return m_impl->chart.state();
}

}  // namespace cowslipmast::sched
