#ifndef COWSLIPMAST_STANDINS_PLATFORM_STORE_STAND_IN_H_
#define COWSLIPMAST_STANDINS_PLATFORM_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_server.h"

namespace cowslipmast::platform {

/** Faults that the store can be made to show. */
enum class StoreFault {
  kNone,
  kUnavailable,     // responds with 503 to all requests
  kUnresponsive,    // neither applies requests nor responds
  kDropsResponses,  // applies requests, but does not respond
  kSlowAppends      // responds to each append after a second
};

/** Test double of the platform's metadata store, as far as the scheduler uses
 * it: keyed topics with one partition, conditional appends, and producers with
 * epochs. */
class StoreStandIn {
 public:
  /** Listens on a free port of 127.0.0.1; null if it cannot. */
  static std::unique_ptr<StoreStandIn> Make(asio::io_context& io);
  ~StoreStandIn();

  Endpoint endpoint() const;
  /** Writes a record, as operators or workers do. */
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void SetFault(StoreFault fault);
  /** Deletes the history; the newest record of each key stays. */
  void DropHistory();

 private:
  struct Impl;
  explicit StoreStandIn(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::platform

#endif  // COWSLIPMAST_STANDINS_PLATFORM_STORE_STAND_IN_H_
