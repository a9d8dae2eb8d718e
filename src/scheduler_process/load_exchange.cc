#include "src/scheduler_process/load_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/scheduler_process/cell_load_codec.h"
#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/spawn.h"
#include "src/scheduler_process/waiting_count.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// Each owner asks each other one this often: at 64 cells an owner answers 128
// requests a second, 1% of a core.
constexpr Duration kInterval = milliseconds(500);
constexpr size_t kMaxCellsAtFullRate = 64;
constexpr Duration kRequestTimeout = milliseconds(400);
// What cells have learned is exchanged in every other round: it changes within
// seconds, and takes about 9 kB for a cell.
constexpr uint64_t kRoundsPerInterference = 2;
// Decisions use loads up to this age. During a change of owner a cell's last
// waiting count is used for longer.
constexpr Duration kMaxLoadAge = milliseconds(2500);
constexpr Duration kMaxCountAge = std::chrono::seconds(30);

struct KnownLoad {
  CellLoad load;
  TimePoint at;
};

bool ContainsCell(const std::vector<CellLoad>& loads, CellId cell) {
  return std::any_of(loads.begin(), loads.end(), [cell](const CellLoad& load) {
    return load.cell == cell;
  });
}

}  // namespace

struct LoadExchange::Impl : std::enable_shared_from_this<LoadExchange::Impl> {
  Impl(asio::io_context& context,
       HttpClient& http,
       std::shared_ptr<OwnerElection> owner_election,
       LoadExchangeHooks exchange_hooks)
      : io(context),
        client(http),
        election(std::move(owner_election)),
        hooks(std::move(exchange_hooks)) {}

  asio::awaitable<void> Run();
  asio::awaitable<void> Ask(CellId cell, Endpoint owner);
  asio::awaitable<void> AskForInterference(CellId cell, Endpoint owner);
  void AskOthers(const CellLayout& layout, const std::vector<CellLoad>& own);
  std::vector<CellLoad> RecentLoads(const std::vector<CellLoad>& own) const;

  asio::io_context& io;
  HttpClient& client;
  std::shared_ptr<OwnerElection> election;
  LoadExchangeHooks hooks;
  std::map<CellId, KnownLoad> known;
  std::map<CellId, std::string> known_interference;
  uint64_t rounds = 0;
  bool stopped = false;
};

asio::awaitable<void> LoadExchange::Impl::Ask(CellId cell, Endpoint owner) {
  const auto self = shared_from_this();
  HttpRequest request;
  request.path = MakeCellPath(cell, kLoadResource);
  NetError error;
  const auto response =
      co_await client.Call(owner, std::move(request), kRequestTimeout, error);
  auto load = response && response->status == 200
                  ? DecodeCellLoad(response->body)
                  : std::nullopt;
  // Without a response the election finds out what is wrong.
  if (load && load->cell == cell)
    known[cell] = {std::move(*load), MonotonicNow()};
}

asio::awaitable<void> LoadExchange::Impl::AskForInterference(CellId cell,
                                                             Endpoint owner) {
  const auto self = shared_from_this();
  HttpRequest request;
  request.path = MakeCellPath(cell, kInterferenceResource);
  NetError error;
  auto response =
      co_await client.Call(owner, std::move(request), kRequestTimeout, error);
  // Without a response what was learned before still holds.
  if (response && response->status == 200 && !response->body.empty())
    known_interference[cell] = std::move(response->body);
}

void LoadExchange::Impl::AskOthers(const CellLayout& layout,
                                   const std::vector<CellLoad>& own) {
  for (uint32_t i = 0; i < layout.cells; ++i) {
    const CellId cell(i);
    const bool is_own = ContainsCell(own, cell);
    const auto owner = election->owner(cell);
    if (is_own || !owner || owner->released)
      continue;
    Spawn(io, "load_request", Ask(cell, owner->control));
    if (rounds % kRoundsPerInterference == 0)
      Spawn(io, "interference_request",
            AskForInterference(cell, owner->control));
  }
}

std::vector<CellLoad> LoadExchange::Impl::RecentLoads(
    const std::vector<CellLoad>& own) const {
  const TimePoint now = MonotonicNow();
  std::vector<CellLoad> loads = own;
  for (const auto& [cell, entry] : known) {
    const bool is_own = ContainsCell(own, cell);
    if (!is_own && now - entry.at <= kMaxLoadAge)
      loads.push_back(entry.load);
  }
  return loads;
}

asio::awaitable<void> LoadExchange::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    const auto layout = election->layout();
    const std::vector<CellLoad> own = hooks.own_loads();
    if (layout && layout->cells > 1 && !own.empty()) {
      hooks.on_loads(RecentLoads(own));
      if (++rounds % kRoundsPerInterference == 1) {
        std::map<CellId, std::string> learned = hooks.own_interference();
        learned.insert(known_interference.begin(), known_interference.end());
        hooks.on_interference(learned);
      }
      AskOthers(*layout, own);
    }
    const size_t cells = layout ? layout->cells : 1;
    const auto factor =
        static_cast<int64_t>(1 + (cells - 1) / kMaxCellsAtFullRate);
    co_await Sleep(kInterval * factor);
  }
}

LoadExchange::LoadExchange(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

LoadExchange::~LoadExchange() {
  m_impl->stopped = true;
}

std::shared_ptr<LoadExchange> LoadExchange::Make(
    asio::io_context& io,
    HttpClient& client,
    std::shared_ptr<OwnerElection> election,
    LoadExchangeHooks hooks) {
  auto impl =
      std::make_shared<Impl>(io, client, std::move(election), std::move(hooks));
  Spawn(io, "load_exchange", impl->Run());
  return std::shared_ptr<LoadExchange>(new LoadExchange(std::move(impl)));
}

std::optional<uint64_t> LoadExchange::CountWaiting(const QueueId& queue) const {
  const auto layout = m_impl->election->layout();
  const std::vector<CellLoad> own = m_impl->hooks.own_loads();
  if (!layout || own.empty())
    return std::nullopt;
  const TimePoint now = MonotonicNow();
  std::vector<CellLoad> loads = own;
  for (const auto& [cell, entry] : m_impl->known) {
    const bool is_own = ContainsCell(own, cell);
    if (!is_own && now - entry.at <= kMaxCountAge)
      loads.push_back(entry.load);
  }
  return SumWaiting(*layout, loads, queue);
}

}  // namespace cowslipmast::sched
