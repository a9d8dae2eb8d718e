#ifndef COWSLIPMAST_STANDINS_LOG_LOG_SERVICE_H_
#define COWSLIPMAST_STANDINS_LOG_LOG_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"
#include "standins/common/json.h"
#include "standins/log/log_store.h"

namespace cowslipmast::standins {

/** HTTP interface of the log stand-in. `/control` injects faults. */
class LogService {
 public:
  LogService(asio::io_context& io, size_t retained_entries);

  asio::awaitable<InjectedResponse> Handle(HttpRequest request);

 private:
  struct StreamCounters {
    uint64_t appends = 0;
    uint64_t reads = 0;
    uint64_t bytes_written = 0;  // bodies of appends
    uint64_t bytes_read = 0;     // bodies of responses to reads
  };

  asio::awaitable<InjectedResponse> HandleStream(HttpRequest request);
  asio::awaitable<InjectedResponse> Append(std::string stream,
                                           HttpRequest request);
  asio::awaitable<InjectedResponse> Read(std::string stream,
                                         HttpRequest request);
  asio::awaitable<void> WaitForAppend(std::chrono::milliseconds wait);
  asio::awaitable<void> WaitForConfiguredDelay();
  InjectedResponse ApplyControl(const HttpRequest& request);
  InjectedResponse Stats() const;
  void WakeReaders();

  asio::io_context& m_io;
  LogStore m_store;
  std::map<std::string, StreamCounters> m_counters;
  std::set<asio::steady_timer*> m_waiting_reads;
  bool m_outage = false;
  std::chrono::milliseconds m_delay{0};
  uint64_t m_replies_to_lose = 0;
  uint64_t m_lost_replies = 0;
  uint64_t m_refused_calls = 0;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_LOG_LOG_SERVICE_H_
