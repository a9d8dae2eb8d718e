#include "tools/load/caller.h"

#include <chrono>
#include <string>
#include <utility>

namespace cowslipmast::load {

namespace {

// An entry process answers by the deadline; the margin covers the transfer of
// the response.
constexpr Duration kResponseMargin = std::chrono::seconds(1);

HttpRequest MakeRequest(const PlannedRequest& planned,
                        const RequestOptions& options) {
  HttpRequest request;
  request.path = "/" + options.service +
                 "/quote?bytes=" + std::to_string(planned.answer_bytes);
  request.headers = {
      {"Cowslipmast-Request-Id", planned.id},
      {"Cowslipmast-Idempotent", planned.idempotent ? "true" : "false"},
      {"Cowslipmast-Deadline-Ms", std::to_string(options.deadline_ms)}};
  return request;
}

Duration Since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              start);
}

}  // namespace

Caller::Caller(HttpClient& http, const RequestOptions& options)
    : m_http(http), m_options(options) {}

asio::awaitable<RequestResult> Caller::Send(PlannedRequest planned) {
  const auto start = std::chrono::steady_clock::now();
  const HttpRequest request = MakeRequest(planned, m_options);
  const Duration timeout =
      std::chrono::milliseconds(m_options.deadline_ms) + kResponseMargin;
  RequestResult result;
  result.request = std::move(planned);
  for (size_t tried = 0; tried < m_options.entries.size(); ++tried) {
    const Endpoint entry =
        m_options.entries[m_next_entry++ % m_options.entries.size()];
    NetError error;
    const auto response = co_await m_http.Call(entry, request, timeout, error);
    if (response) {
      result.outcome = OutcomeOf(*response);
      result.status = response->status;
      if (result.outcome != CallerOutcome::kAnswered)
        result.reason = ReasonOf(*response);
      result.intact = result.outcome != CallerOutcome::kAnswered ||
                      IsIntact(*response, result.request);
      break;
    }
    result.outcome = OutcomeOf(error);
    if (result.outcome != CallerOutcome::kNotSent)
      break;
    ++result.failovers;
  }
  result.latency = Since(start);
  co_return result;
}

}  // namespace cowslipmast::load
