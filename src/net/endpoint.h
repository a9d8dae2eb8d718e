#ifndef COWSLIPMAST_SRC_NET_ENDPOINT_H_
#define COWSLIPMAST_SRC_NET_ENDPOINT_H_

#include <optional>
#include <string>

#include "cowslipmast/vm.h"

namespace cowslipmast {

/** Parses `address:port`; an IPv6 address must be in brackets. */
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_ENDPOINT_H_
