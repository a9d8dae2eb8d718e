#ifndef COWSLIPMAST_SRC_SCHEDULER_OWNER_WATCH_H_
#define COWSLIPMAST_SRC_SCHEDULER_OWNER_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/scheduler/cell_chart.h"
#include "src/scheduler/claim.h"
#include "src/scheduler/handover.h"
#include "src/scheduler/peer_health.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

/** How this process compares with others as an owner. */
struct OwnerWatchOptions {
  Claim self;
  /** Control addresses of some processes; some may be stale. Asked for the
   * owner while the store is away. */
  std::vector<Endpoint> seeds;
  /** Processor share of this VM, in cores. */
  double cores = 1.0;
  uint64_t seed = 0;
};

struct OwnerWatchHooks {
  /** This process won a claim: it owns the cell from here on. */
  std::function<void(Epoch)> on_won;
  /** True once this process could work as the owner. */
  std::function<bool()> may_claim;
};

/** Knows which process owns the cell, and claims it when that one is missed. */
class OwnerWatch {
 public:
  static std::shared_ptr<OwnerWatch> Make(asio::io_context& io,
                                          const StorePort& store,
                                          HttpClient& client,
                                          const CellChart& chart,
                                          const OwnerWatchOptions& options,
                                          OwnerWatchHooks hooks);
  ~OwnerWatch();

  void Start();
  /** The cell was taken by a later owner. */
  void OnFenced();
  /** Before a planned stop: lets another process claim the cell while this one
   * still works. False if none did. */
  asio::awaitable<bool> HandOver();
  /** Gives the claim up for a planned stop; returns when that is stored or
   * cannot be. */
  asio::awaitable<void> Release();
  /** A process asked this one whether it is a healthy owner. */
  void OnAsked(const Candidate& candidate);
  /** The owner of that epoch offers the cell. Returns this process's claim. */
  asio::awaitable<std::optional<Claim>> TakeOffer(Epoch epoch);

  /** The owner as far as it is known; nothing before the first claim. */
  std::optional<Claim> owner() const;
  bool IsOwner() const;
  /** How long ago the owner last answered. */
  std::optional<Duration> OwnerAnswerAge() const;
  std::string_view state() const;

 private:
  struct Impl;
  explicit OwnerWatch(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/** Path on the control address that answers with the claim that the process
 * knows. */
inline constexpr std::string_view kClaimPath = "/v1/claim";

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_OWNER_WATCH_H_
