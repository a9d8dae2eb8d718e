#include "tools/load/request_load.h"

#include <random>
#include <utility>

namespace cowslipmast::load {

namespace {

// Beyond this the system is far behind, and the machine would run out of
// descriptors before anything is learnt.
constexpr size_t kMaxInFlight = 4000;

}  // namespace

RequestLoadGenerator::RequestLoadGenerator(asio::io_context& io,
                                           HttpClient& http,
                                           const RequestOptions& options)
    : m_io(io),
      m_options(options),
      m_caller(http, options),
      m_group(io),
      m_random(options.seed) {
  // Ids differ between runs, since the stand-in targets remember all ids.
  m_id_prefix = "load-" + std::to_string(std::random_device()()) + "-";
}

asio::awaitable<void> RequestLoadGenerator::Run() {
  m_start = std::chrono::steady_clock::now();
  if (m_options.rate > 0) {
    co_await SendAtRate();
  } else {
    for (uint64_t i = 0; i < m_options.connections; ++i)
      m_group.Spawn(SendBackToBack());
  }
  co_await m_group.Wait();
}

bool RequestLoadGenerator::MaySend() const {
  if (m_options.count > 0 && m_sent >= m_options.count)
    return false;
  return m_options.time.count() == 0 ||
         std::chrono::steady_clock::now() - m_start < m_options.time;
}

PlannedRequest RequestLoadGenerator::Plan() {
  PlannedRequest request;
  request.id = m_id_prefix + std::to_string(m_sent++);
  request.idempotent =
      RandomBelow(m_random, 100) >= m_options.non_idempotent_percent;
  request.answer_bytes = RandomBelow(m_random, m_options.max_answer_bytes + 1);
  return request;
}

asio::awaitable<void> RequestLoadGenerator::SendOne(PlannedRequest request) {
  RequestResult result = co_await m_caller.Send(std::move(request));
  m_results.push_back(std::move(result));
}

asio::awaitable<void> RequestLoadGenerator::SendBackToBack() {
  while (MaySend()) {
    PlannedRequest request = Plan();
    co_await SendOne(std::move(request));
  }
}

// Arrivals are a Poisson process, as those of independent callers are. An
// arrival that is late is sent at once, so that the rate is kept.
asio::awaitable<void> RequestLoadGenerator::SendAtRate() {
  std::exponential_distribution<double> gap(m_options.rate);
  asio::steady_timer timer(m_io);
  auto next = m_start;
  while (MaySend()) {
    next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(gap(m_random)));
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    if (m_group.running() < kMaxInFlight)
      m_group.Spawn(SendOne(Plan()));
  }
}

}  // namespace cowslipmast::load
