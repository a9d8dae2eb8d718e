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

/** Reads the platform's list of VMs once. */
asio::awaitable<std::optional<std::vector<VmInfo>>> ReadVmList(
    HttpClient& http,
    Endpoint vm_list,
    Duration timeout,
    NetError& reason);

/** Parses the body of `GET /v1/vms`; nothing if any row is malformed. */
std::optional<std::vector<VmInfo>> ParseVmList(const std::string& body);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_VM_LIST_CLIENT_H_
