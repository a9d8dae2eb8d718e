#include "src/net/endpoint.h"

#include <string_view>

#include "src/core/strings.h"
#include "src/net/asio.h"

namespace cowslipmast {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::string address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  boost::system::error_code error;
  asio::ip::make_address(address, error);
  const auto port = ParseUnsigned(std::string_view(text).substr(colon + 1));
  if (error || !port || *port == 0 || *port > 65535)
    return std::nullopt;
  return Endpoint{address, static_cast<uint16_t>(*port)};
}

}  // namespace cowslipmast
