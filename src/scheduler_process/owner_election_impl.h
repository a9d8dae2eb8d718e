#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_IMPL_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "src/core/random.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/owner_election.h"
#include "src/scheduler_process/owner_watch.h"
#include "src/scheduler_process/topic_follower.h"

namespace cowslipmast::sched {

/** What a check of a cell's owner has shown. */
enum class OwnerHealth {
  kHealthy,
  kUnresponsive,
  kCannotOwn,  // it answers, but has given up the cell or lost the store
};

/** One cell as this process sees it. */
struct ElectedCell {
  ElectedCell(CellId cell_id, const CellChart& cell_chart)
      : id(cell_id), chart(cell_chart) {}

  CellId id;
  CellChart chart;
  std::optional<CellClaim> claim;
  OwnerWatch watch;
  Candidates candidates;
  bool being_checked = false;
};

/** Sets a flag for as long as it lives. */
class FlagGuard {
 public:
  explicit FlagGuard(bool& flag) : m_flag(flag) { m_flag = true; }
  ~FlagGuard() { m_flag = false; }
  FlagGuard(const FlagGuard&) = delete;
  FlagGuard& operator=(const FlagGuard&) = delete;

 private:
  bool& m_flag;
};

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

  // owner_election.cc
  asio::awaitable<void> Run();
  void CheckNextOwners();
  void StartCheck(ElectedCell& cell);
  asio::awaitable<void> CheckUntilSettled(CellId id);
  asio::awaitable<OwnerHealth> CheckOwner(ElectedCell& cell, Duration timeout);
  asio::awaitable<bool> HearsOwnerWithin(ElectedCell& cell, Duration delay);
  asio::awaitable<bool> HasNewClaim(ElectedCell& cell);
  asio::awaitable<void> MoveCellToBetterOwner();
  ElectedCell* Find(CellId id);
  size_t CountOwned() const;
  Suitability SuitabilityWith(size_t owned_cells) const;
  Duration DelayWith(size_t owned_cells) const;

  // claim_calls.cc
  asio::awaitable<void> EstablishLayout();
  asio::awaitable<bool> ReadClaims();
  asio::awaitable<void> ReadClaimsFromSeeds();
  void AcceptTable(const ClaimTable& table);
  void AcceptClaim(ElectedCell& cell, const CellClaim& claim);
  asio::awaitable<bool> Append(KeyedRecord record, uint64_t at);
  asio::awaitable<std::optional<ProofLook>> LookAtProof(
      const ElectedCell& cell);
  asio::awaitable<bool> MustPostpone(ElectedCell& cell);
  asio::awaitable<bool> StoreClaim(ElectedCell& cell, CellClaim claim);
  asio::awaitable<void> TryToClaim(ElectedCell& cell);
  asio::awaitable<void> ClaimAfterDelay(ElectedCell& cell,
                                        std::string_view why);
  asio::awaitable<bool> OfferTo(ElectedCell& cell, Endpoint endpoint);

  asio::io_context& io;
  StorePort store;
  HttpClient& client;
  CellChart chart;
  OwnerElectionOptions options;
  Random random;
  OwnerElectionHooks hooks;
  const TimePoint started = MonotonicNow();
  std::optional<CellLayout> layout;
  bool reported_other_version = false;
  // One for each cell of the layout, by id; never changed once it is filled.
  std::vector<std::unique_ptr<ElectedCell>> cells;
  std::unique_ptr<TopicFollower> claim_follower;
  // End offset of the claim stream when it was last read.
  uint64_t claims_end = 0;
  Duration store_latency = std::chrono::milliseconds(5);
  size_t next_check = 0;
  size_t rounds = 0;      // of checks
  bool claiming = false;  // one claim at a time, so that the delays hold
  std::optional<TimePoint> latest_response;
  // Time since boot of the last health request of another process.
  std::optional<TimePoint> heard_at;
  TimePoint last_move_check = started;
  bool stopped = false;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_IMPL_H_
