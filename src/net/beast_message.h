#ifndef COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_

#include "src/net/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "src/net/http_message.h"

namespace cowslipmast {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Copies the fields except those for framing and for the connection. */
std::vector<HttpHeader> FromBeastFields(const http::fields& fields);

/** Adds headers, except those for message framing. */
void AddBeastFields(const std::vector<HttpHeader>& headers,
                    http::fields& fields);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_BEAST_MESSAGE_H_
