#include "src/net/beast_message.h"

#include <algorithm>
#include <string>
#include <vector>

namespace cowslipmast {

namespace {

// Hop-by-hop headers (RFC 9110, section 7.6.1); never forwarded.
bool IsHopByHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::content_length:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<HttpHeader> FromBeastFields(const http::fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& field : fields) {
    if (IsHopByHop(field.name()))
      continue;
    headers.push_back(HttpHeader{std::string(field.name_string()),
                                 std::string(field.value())});
  }
  return headers;
}

size_t HeldByFields(const http::fields& fields) {
  constexpr size_t node_bytes = 160;
  size_t bytes = 0;
  for (const auto& field : fields)
    bytes += node_bytes + field.name_string().size() + field.value().size();
  return bytes;
}

size_t HeldBytes(const std::string& body, const beast::flat_buffer& buffer) {
  return buffer.capacity() + std::min(body.capacity(), 2 * body.size());
}

void AddBeastFields(const std::vector<HttpHeader>& headers,
                    http::fields& fields) {
  for (const HttpHeader& header : headers) {
    if (!IsHopByHop(http::string_to_field(header.name)))
      fields.insert(header.name, header.value);
  }
}

}  // namespace cowslipmast
