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

/** How the store misbehaves. */
enum class StoreFault {
  kNone,
  kBusy,          // refuses with 503
  kSilent,        // does nothing and does not answer
  kLosesAnswers,  // does it and does not answer
  kSlow           // each append takes a second
};

/** The platform's metadata store, as far as the scheduler uses it: keyed
 * topics with one partition, conditional appends and producers with epochs. */
class StoreStandIn {
 public:
  /** Starts to listen on a free port of 127.0.0.1. */
  static std::unique_ptr<StoreStandIn> Make(asio::io_context& io);
  ~StoreStandIn();

  Endpoint endpoint() const;
  /** Writes a record as the operators or a worker would. */
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void SetFault(StoreFault fault);
  /** Deletes the history: only the newest record of each key stays. */
  void DropHistory();

 private:
  struct Impl;
  explicit StoreStandIn(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::platform

#endif  // COWSLIPMAST_STANDINS_PLATFORM_STORE_STAND_IN_H_
