#ifndef COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipmast {

struct HttpHeader {
  std::string name;
  std::string value;
};

/** A whole HTTP/1.1 request; headers that frame the body are left out. */
struct HttpRequest {
  std::string method = "GET";
  std::string path;  // with the query
  std::vector<HttpHeader> headers;
  std::string body;
};

/** A whole HTTP/1.1 answer; headers that frame the body are left out. */
struct HttpResponse {
  uint16_t status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

/** Returns the first header of that name, compared without case. */
std::optional<std::string_view> FindHeader(
    const std::vector<HttpHeader>& headers,
    std::string_view name);

/** Splits `path?query` and returns the value of a query parameter. */
std::optional<std::string> QueryParameter(std::string_view path,
                                          std::string_view name);

/** Returns `path` without its query. */
std::string_view PathWithoutQuery(std::string_view path);

/** Makes an answer with a JSON body. */
HttpResponse MakeJsonResponse(uint16_t status, std::string body);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_HTTP_MESSAGE_H_
