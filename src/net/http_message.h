#ifndef COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/http.h"

namespace cowslipmast {

/** Returns the first header with that name, ignoring case. */
std::optional<std::string_view> FindHeader(
    const std::vector<HttpHeader>& headers,
    std::string_view name);

/** Returns the value of a query parameter of `path?query`. */
std::optional<std::string> QueryParameter(std::string_view path,
                                          std::string_view name);

/** Returns `path` without its query. */
std::string_view PathWithoutQuery(std::string_view path);

/** Makes a response with a JSON body. */
HttpResponse MakeJsonResponse(uint16_t status, std::string body);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_
