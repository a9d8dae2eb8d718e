#include "src/net/http_message.h"

#include <utility>

#include "src/core/strings.h"

namespace cowslipmast {

std::optional<std::string_view> FindHeader(
    const std::vector<HttpHeader>& headers,
    std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, name))
      return header.value;
  }
  return std::nullopt;
}

std::optional<std::string> QueryParameter(std::string_view path,
                                          std::string_view name) {
  const size_t mark = path.find('?');
  if (mark == std::string_view::npos)
    return std::nullopt;
  for (const std::string_view part : Split(path.substr(mark + 1), '&')) {
    const size_t equals = part.find('=');
    if (part.substr(0, equals) != name)
      continue;
    return equals == std::string_view::npos
               ? std::string()
               : std::string(part.substr(equals + 1));
  }
  return std::nullopt;
}

std::string_view PathWithoutQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

HttpResponse MakeJsonResponse(uint16_t status, std::string body) {
  return HttpResponse{.status = status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(body)};
}

}  // namespace cowslipmast
