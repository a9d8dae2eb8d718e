#include "src/scheduler/owner_watch.h"

#include <algorithm>
#include <utility>

#include "src/core/random.h"
#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kAskEvery = milliseconds(300);
// An answer takes 25 ms between regions; a VM that is out of processor time
// may need 100 ms more.
constexpr Duration kAskTimeout = milliseconds(400);
// Three unanswered questions in a row; the least that an owner may ask for.
constexpr Duration kLeastPatience = milliseconds(1200);
// An owner proves its ownership every second; one without the store for longer
// cannot start anything.
constexpr Duration kProofTooOld = milliseconds(2200);
// A claim takes 6 ms, and up to 1.2 s in a slow store.
constexpr Duration kAppendTimeout = milliseconds(1400);
// A candidate waits this many times the latency of its own store calls, so that
// one near the store, whose appends are quicker, comes first.
constexpr int kLatencyWeight = 12;
// A candidate waits longer the less processor time it has, so that a VM that
// can bear the work of the owner comes first; in ms for a whole core.
constexpr double kCoreWeightMs = 40;
// Of a planned stop; the grace time is 6 s.
constexpr int kReleaseTries = 3;
constexpr Duration kReleaseAgainAfter = milliseconds(150);
// Processes that the cell is offered to before a planned stop: an offer without
// an answer takes 1.8 s of the grace time.
constexpr size_t kMostOffers = 2;
// Spreads candidates that are equally far, so that most claims meet no other.
constexpr size_t kSpreadMs = 150;

enum class OwnerAnswer {
  kHealthy,
  kSilent,
  kCannotOwn,  // it answers, but has given up the cell or lost the store
};

std::string_view NameOf(OwnerAnswer answer) {
  switch (answer) {
    case OwnerAnswer::kHealthy:
      return "healthy";
    case OwnerAnswer::kSilent:
      return "silent";
    case OwnerAnswer::kCannotOwn:
      return "cannot own";
  }
  return "";
}

}  // namespace

struct OwnerWatch::Impl : std::enable_shared_from_this<OwnerWatch::Impl> {
  Impl(asio::io_context& context,
       const StorePort& store_port,
       HttpClient& http,
       const CellChart& cell_chart,
       const OwnerWatchOptions& watch_options,
       OwnerWatchHooks watch_hooks)
      : io(context),
        store(store_port),
        client(http),
        chart(cell_chart),
        options(watch_options),
        random(watch_options.seed),
        hooks(std::move(watch_hooks)) {}

  asio::awaitable<void> Run();
  asio::awaitable<OwnerAnswer> AskOwner();
  asio::awaitable<bool> ReadClaim();
  asio::awaitable<void> AskSeeds();
  void Adopt(const Claim& claim);
  asio::awaitable<void> TryToClaim();
  asio::awaitable<bool> AppendClaim(Claim claim, uint64_t at);
  asio::awaitable<void> Consider(std::string_view why);
  Duration ClaimDelay() const;

  asio::io_context& io;
  StorePort store;
  HttpClient& client;
  CellChart chart;
  OwnerWatchOptions options;
  Random random;
  OwnerWatchHooks hooks;
  const TimePoint started = MonotonicNow();
  Candidates candidates;
  std::optional<Claim> known;
  TimePoint known_since;
  uint64_t claims_end = 0;  // of the topic, when `known` was read
  std::optional<TimePoint> answered;
  Duration patience = kOwnerSettles;
  Duration store_latency = milliseconds(5);
  bool stopped = false;
};

asio::awaitable<bool> OwnerWatch::Impl::ReadClaim() {
  StoreError error;
  const TimePoint asked = MonotonicNow();
  const auto snapshot = co_await store.read_newest(Topic::kOwner, error);
  if (!snapshot)
    co_return false;
  store_latency = MonotonicNow() - asked;
  claims_end = snapshot->end;
  for (const KeyedRecord& record : snapshot->records) {
    if (record.key != kClaimKey)
      continue;
    const auto claim = DecodeClaim(record.value);
    if (!claim) {
      LogEvent("claim_unreadable", {{"key", record.key}});
      continue;
    }
    if (known != claim)
      Adopt(*claim);
  }
  co_return true;
}

void OwnerWatch::Impl::Adopt(const Claim& claim) {
  LogEvent("owner", {{"process", claim.process.value()},
                     {"epoch", static_cast<int64_t>(claim.epoch.value())},
                     {"released", static_cast<int64_t>(claim.released)}});
  known = claim;
  known_since = MonotonicNow();
  answered = known_since;
  patience = kOwnerSettles;
}

// Learns of a later claim from other processes: a process that is cut off from
// the store still serves its callers through the owner.
asio::awaitable<void> OwnerWatch::Impl::AskSeeds() {
  for (const Endpoint& seed : options.seeds) {
    HttpRequest request;
    request.path = std::string(kClaimPath);
    NetError error;
    const auto response =
        co_await client.Call(seed, std::move(request), kAskTimeout, error);
    const auto claim = response && response->status == 200
                           ? DecodeClaim(response->body)
                           : std::nullopt;
    if (claim && (!known || known->epoch < claim->epoch))
      Adopt(*claim);
  }
}

asio::awaitable<OwnerAnswer> OwnerWatch::Impl::AskOwner() {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kHealthPath);
  request.body = EncodeCandidate({.control = options.self.control,
                                  .may_claim = hooks.may_claim(),
                                  .uptime = MonotonicNow() - started,
                                  .claim_delay = ClaimDelay()});
  const Endpoint endpoint = known->control;
  NetError error;
  const auto response =
      co_await client.Call(endpoint, std::move(request), kAskTimeout, error);
  if (!response) {
    client.DropIdle(endpoint);
    co_return OwnerAnswer::kSilent;
  }
  const auto health = DecodePeerHealth(response->body);
  if (!health || !health->owning || health->epoch < known->epoch)
    co_return OwnerAnswer::kCannotOwn;
  // A new owner reads and lists before it stores anything.
  const bool settles = MonotonicNow() - known_since < kOwnerSettles;
  if (!settles && health->proof_age && *health->proof_age > kProofTooOld)
    co_return OwnerAnswer::kCannotOwn;
  answered = MonotonicNow();
  patience = std::max(kLeastPatience, health->patience);
  co_return OwnerAnswer::kHealthy;
}

asio::awaitable<bool> OwnerWatch::Impl::AppendClaim(Claim claim, uint64_t at) {
  AppendRequest request;
  request.topic = Topic::kOwner;
  request.records.push_back({std::string(kClaimKey), EncodeClaim(claim)});
  request.at = at;
  request.timeout = kAppendTimeout;
  StoreError error;
  const bool stored = co_await store.append(std::move(request), error);
  if (!stored) {
    LogEvent("claim_failed",
             {{"epoch", static_cast<int64_t>(claim.epoch.value())},
              {"detail", error.detail}});
  }
  co_return stored;
}

// After the chart has said "claim".
asio::awaitable<void> OwnerWatch::Impl::TryToClaim() {
  Claim claim = options.self;
  claim.epoch = known ? known->epoch.Next() : Epoch(1);
  const uint64_t at = claims_end;
  bool stored = co_await AppendClaim(claim, at);
  if (!stored && !stopped) {
    // The claim may be stored although no answer came.
    co_await ReadClaim();
    stored = known == claim;
  }
  if (stopped)
    co_return;
  if (!stored) {
    chart.Process("claim_lost");
    co_await Sleep(milliseconds(100));
    co_return;
  }
  known = claim;
  answered = MonotonicNow();
  LogEvent("claimed", {{"epoch", static_cast<int64_t>(claim.epoch.value())}});
  if (chart.Process("claim_won") == "start_cell")
    hooks.on_won(claim.epoch);
}

Duration OwnerWatch::Impl::ClaimDelay() const {
  return std::min<Duration>(store_latency * kLatencyWeight,
                            milliseconds(1500)) +
         milliseconds(static_cast<int64_t>(kCoreWeightMs /
                                           std::max(0.02, options.cores)));
}

// Claims the cell, unless the owner answers or another process is first.
asio::awaitable<void> OwnerWatch::Impl::Consider(std::string_view why) {
  if (!hooks.may_claim())
    co_return;
  const auto before = known;
  co_await Sleep(ClaimDelay() + milliseconds(RandomBelow(random, kSpreadMs)));
  const bool read = co_await ReadClaim();
  if (!read || stopped || known != before)
    co_return;
  if (chart.Process("owner_missed") != "claim")
    co_return;
  LogEvent("owner_missed",
           {{"why", why},
            {"epoch", static_cast<int64_t>(known ? known->epoch.value() : 0)}});
  co_await TryToClaim();
}

asio::awaitable<void> OwnerWatch::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    if (chart.state() == "owning") {
      co_await Sleep(kAskEvery);
      continue;
    }
    if (!known) {
      const bool read = co_await ReadClaim();
      if (read && !known)
        co_await Consider("no owner");
      else
        co_await Sleep(milliseconds(50));
      continue;
    }
    OwnerAnswer answer = OwnerAnswer::kCannotOwn;
    if (!known->released && known->process != options.self.process)
      answer = co_await AskOwner();
    // Only an owner that does not answer may be busy.
    const bool is_patient = answer == OwnerAnswer::kSilent && answered &&
                            MonotonicNow() - *answered < patience;
    if (answer != OwnerAnswer::kHealthy) {
      // Another process may have claimed the cell already; it then gets the
      // same patience.
      const auto before = known;
      const bool read = co_await ReadClaim();
      if (!read)
        co_await AskSeeds();
      if (!is_patient && known == before)
        co_await Consider(NameOf(answer));
    }
    co_await Sleep(kAskEvery);
  }
}

OwnerWatch::OwnerWatch(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

OwnerWatch::~OwnerWatch() {
  m_impl->stopped = true;
}

std::shared_ptr<OwnerWatch> OwnerWatch::Make(asio::io_context& io,
                                             const StorePort& store,
                                             HttpClient& client,
                                             const CellChart& chart,
                                             const OwnerWatchOptions& options,
                                             OwnerWatchHooks hooks) {
  return std::shared_ptr<OwnerWatch>(new OwnerWatch(std::make_shared<Impl>(
      io, store, client, chart, options, std::move(hooks))));
}

void OwnerWatch::Start() {
  asio::co_spawn(m_impl->io, m_impl->Run(), asio::detached);
}

void OwnerWatch::OnFenced() {
  m_impl->chart.Process("fenced");
}

void OwnerWatch::OnAsked(const Candidate& candidate) {
  NoteCandidate(m_impl->candidates, candidate, MonotonicNow());
}

asio::awaitable<std::optional<Claim>> OwnerWatch::TakeOffer(Epoch epoch) {
  const auto impl = m_impl;
  if (!impl->known || impl->known->epoch != epoch || !impl->hooks.may_claim() ||
      impl->chart.Process("offered") != "claim")
    co_return std::nullopt;
  LogEvent("offer_taken", {{"epoch", static_cast<int64_t>(epoch.value())}});
  co_await impl->TryToClaim();
  if (impl->chart.state() != "owning")
    co_return std::nullopt;
  co_return impl->known;
}

asio::awaitable<bool> OwnerWatch::HandOver() {
  const auto impl = m_impl;
  if (!IsOwner() || !impl->known)
    co_return false;
  const Claim own = *impl->known;
  const TimePoint now = MonotonicNow();
  const std::vector<Endpoint> ranked =
      RankCandidates(impl->candidates, now - impl->started, now);
  for (size_t i = 0; i < std::min(ranked.size(), kMostOffers); ++i) {
    const Endpoint& endpoint = ranked[i];
    const auto claim = co_await OfferCell(impl->client, endpoint, own);
    if (!claim)
      continue;
    impl->chart.Process("fenced");
    impl->Adopt(*claim);
    co_return true;
  }
  co_return false;
}

asio::awaitable<void> OwnerWatch::Release() {
  // The owner is followed on: callers are answered until the process ends.
  const auto impl = m_impl;
  const bool release = impl->chart.Process("sigterm") == "release";
  if (!release || !impl->known)
    co_return;
  Claim claim = *impl->known;
  claim.released = true;
  for (int i = 0; i < kReleaseTries; ++i) {
    const bool read = co_await impl->ReadClaim();
    if (read && impl->known->epoch != claim.epoch)
      break;
    if (read) {
      const uint64_t at = impl->claims_end;
      const bool stored = co_await impl->AppendClaim(claim, at);
      if (stored) {
        impl->known = claim;
        break;
      }
    }
    co_await Sleep(kReleaseAgainAfter);
  }
  impl->chart.Process("released");
}

std::optional<Claim> OwnerWatch::owner() const {
  return m_impl->known;
}

bool OwnerWatch::IsOwner() const {
  return m_impl->chart.state() == "owning";
}

std::optional<Duration> OwnerWatch::OwnerAnswerAge() const {
  if (!m_impl->answered)
    return std::nullopt;
  return MonotonicNow() - *m_impl->answered;
}

std::string_view OwnerWatch::state() const {
  return m_impl->chart.state();
}

}  // namespace cowslipmast::sched
