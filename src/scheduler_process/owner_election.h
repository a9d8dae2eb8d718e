#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/scheduler_process/cell_chart.h"
#include "src/scheduler_process/cell_claim.h"
#include "src/scheduler_process/handover.h"
#include "src/scheduler_process/peer_health.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Identity of this process, and what its claim delay depends on. */
struct OwnerElectionOptions {
  CellClaim self;
  /** Control addresses of some processes, possibly stale. Asked for the owner
   * while the store is unreachable. */
  std::vector<Endpoint> seeds;
  /** Processor share of this VM, in cores. */
  double cores = 1.0;
  uint64_t seed = 0;
};

struct OwnerElectionHooks {
  /** Called when this process has won a claim and owns the cell. */
  std::function<void(Epoch)> on_won;
  /** True once this process is able to own the cell. */
  std::function<bool()> may_claim;
};

/** Tracks which process owns the cell, and claims it when the owner fails. */
class OwnerElection {
 public:
  static std::shared_ptr<OwnerElection> Make(
      asio::io_context& io,
      const StorePort& store,
      HttpClient& client,
      const CellChart& chart,
      const OwnerElectionOptions& options,
      OwnerElectionHooks hooks);
  ~OwnerElection();

  void Start();
  /** To be called when a later owner has taken the cell. */
  void OnFenced();
  /** Before a planned stop: offers the cell to other processes while this one
   * still works. False if none claimed it. */
  asio::awaitable<bool> HandOver();
  /** Marks the claim as released for a planned stop; returns when that is
   * stored or has failed. */
  asio::awaitable<void> Release();
  /** To be called on each health request; records the process that sent it as a
   * candidate. */
  void OnHealthRequest(const Candidate& candidate);
  /** Claims the cell that the owner of `epoch` offers; returns this process's
   * claim, nothing if it did not win. */
  asio::awaitable<std::optional<CellClaim>> AcceptOffer(Epoch epoch);

  /** Claim of the last known owner; nothing before the first claim. */
  std::optional<CellClaim> owner() const;
  bool IsOwner() const;
  /** Time since the owner last answered; nothing if it never did. */
  std::optional<Duration> OwnerResponseAge() const;
  std::string_view state() const;

 private:
  struct Impl;
  explicit OwnerElection(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/** Control path that returns the newest claim known to the process. */
inline constexpr std::string_view kClaimPath = "/v1/claim";

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_H_
