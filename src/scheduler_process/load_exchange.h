#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOAD_EXCHANGE_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOAD_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cowslipmast/sched/cell.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/scheduler_process/owner_election.h"

namespace cowslipmast::sched {

/** Callbacks into the process. */
struct LoadExchangeHooks {
  /** Loads of the cells that this process owns and knows completely. */
  std::function<std::vector<CellLoad>()> own_loads;
  /** What the process's own cells have learned of interference, by cell. */
  std::function<std::map<CellId, std::string>()> own_interference;
  /** Called with what all cells have learned. */
  std::function<void(const std::map<CellId, std::string>&)> on_interference;
  /** Called with the recent loads of all cells. */
  std::function<void(const std::vector<CellLoad>&)> on_loads;
};

/** Keeps the loads of all cells, and what they have learned, known to a process
 * that owns one: asks the other owners for theirs. Processes that own none ask
 * nobody. */
class LoadExchange {
 public:
  static std::shared_ptr<LoadExchange> Make(
      asio::io_context& io,
      HttpClient& client,
      std::shared_ptr<OwnerElection> election,
      LoadExchangeHooks hooks);
  ~LoadExchange();

  /** Jobs of the queue that wait in all cells, at most a second old; nothing if
   * this process owns no cell or does not know the other cells yet. */
  std::optional<uint64_t> CountWaiting(const QueueId& queue) const;

 private:
  struct Impl;
  explicit LoadExchange(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_LOAD_EXCHANGE_H_
