#ifndef COWSLIPMAST_SRC_NET_VM_LIST_CLIENT_H_
#define COWSLIPMAST_SRC_NET_VM_LIST_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Result of one read of the platform's VM list. */
struct VmListRead {
  /** std::nullopt if the list has not changed since `entity_tag`. */
  std::optional<std::vector<VmInfo>> vms;
  std::string entity_tag;  // empty if the platform gives none
};

/** Reads the list if it has changed since `entity_tag`, so that a list of
 * thousands of rows is not sent and parsed every second. */
asio::awaitable<std::optional<VmListRead>> ReadVmList(HttpClient& http,
                                                      Endpoint vm_list,
                                                      std::string entity_tag,
                                                      Duration timeout,
                                                      NetError& reason);

/** Parses the body of `GET /v1/vms`; fails if any row is malformed. */
std::optional<std::vector<VmInfo>> ParseVmList(const std::string& body);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_VM_LIST_CLIENT_H_
