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
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Identity of this process, and what its claim delay depends on. */
struct OwnerElectionOptions {
  ProcessId process;
  Endpoint control;
  /** Control addresses of some processes, possibly stale. Asked for the owners
   * while the store is unreachable. */
  std::vector<Endpoint> seeds;
  /** Processor share of this VM, in cores. */
  double cores = 1.0;
  uint64_t seed = 0;
};

struct OwnerElectionHooks {
  /** Called when this process has won a claim and owns the cell. */
  std::function<void(CellId, Epoch)> on_won;
  /** Called when another process has claimed a cell that this one owns. */
  std::function<void(CellId)> on_superseded;
  /** True once this process is able to own a cell. */
  std::function<bool()> may_claim;
  /** Delay with which this process handles its events. */
  std::function<Duration()> own_lag;
  /** Number of cells for a system that starts for the first time; nothing if it
   * cannot be told yet. */
  std::function<asio::awaitable<std::optional<uint32_t>>()> count_cells;
};

/** Tracks which processes own the cells, and claims a cell when its owner
 * fails. */
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
  void OnFenced(CellId cell);
  /** Before a planned stop: offers the cell to that many other processes at
   * most while this one still works. False if none claimed it. */
  asio::awaitable<bool> HandOver(CellId cell, size_t offers);
  /** Marks the claim as released for a planned stop; returns when that is
   * stored or has failed. */
  asio::awaitable<void> Release(CellId cell);
  /** To be called on each health request; records the process that sent it as a
   * candidate. */
  void OnHealthRequest(CellId cell, const Candidate& candidate);
  /** Time since boot of the last health request of another process; nothing
   * before the first. */
  std::optional<TimePoint> HeardAt() const;
  /** Claims the cell that the owner of `epoch` offers; returns this process's
   * claim, nothing if it did not win. */
  asio::awaitable<std::optional<CellClaim>> AcceptOffer(CellId cell,
                                                        Epoch epoch);

  /** Nothing before it is known. */
  std::optional<CellLayout> layout() const;
  /** The layout and the last known claims. */
  ClaimTable claims() const;
  /** Claim of the last known owner; nothing before the first claim. */
  std::optional<CellClaim> owner(CellId cell) const;
  bool IsOwner(CellId cell) const;
  std::vector<CellId> OwnedCells() const;
  /** Time since the owner last answered; nothing if it never did. */
  std::optional<Duration> OwnerResponseAge(CellId cell) const;
  /** Time since any owner last answered; nothing if none did. */
  std::optional<Duration> LatestResponseAge() const;
  /** State of this process as an owner of the cell. */
  std::string_view state(CellId cell) const;

 private:
  struct Impl;
  explicit OwnerElection(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_OWNER_ELECTION_H_
