#include "tools/load/request_load.h"

#include <random>
#include <utility>

namespace cowslipmast::load {

namespace {

// Limits the requests in flight: a system with more of them is overloaded, and
// the machine would run out of file descriptors.
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
  // Each run has its own ids, since the stand-in targets remember all ids.
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

// Arrivals form a Poisson process, like those of independent callers. A late
// request is sent immediately to keep the rate.
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
