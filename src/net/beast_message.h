#ifndef COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_

#include <cstddef>
#include <string>

#include "src/net/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "src/net/http_message.h"

namespace cowslipmast {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Copies the fields except those for framing and for the connection. */
std::vector<HttpHeader> FromBeastFields(const http::fields& fields);

/** Memory in bytes of the fields: beside their text, a node for each, and then
 * two strings. */
size_t HeldByFields(const http::fields& fields);

/** Memory in bytes of a body and a buffer while a message is read; a body grows
 * by doubling. */
size_t HeldBytes(const std::string& body, const beast::flat_buffer& buffer);

/** Adds headers, except those for message framing. */
void AddBeastFields(const std::vector<HttpHeader>& headers,
                    http::fields& fields);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_
