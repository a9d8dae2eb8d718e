#include "src/daemon/admin.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cowslipmast {

namespace {

std::optional<HttpResponse> HandleGet(const AdminPages& pages,
                                      std::string_view path) {
  if (path == "/healthz") {
    const bool serving = pages.serving();
    return MakeJsonResponse(serving ? 200 : 503, serving
                                                     ? R"({"serving":true})"
                                                     : R"({"serving":false})");
  }
  if (path == "/status")
    return MakeJsonResponse(200, pages.status().dump());
  if (path == "/dump")
    return MakeJsonResponse(200, pages.dump().dump());
  if (path == "/metrics") {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = pages.metrics();
    return response;
  }
  return std::nullopt;
}

asio::awaitable<HttpResponse> HandleRequest(
    std::shared_ptr<const AdminPages> pages,
    HttpRequest request) {
  if (request.method == "GET") {
    auto response = HandleGet(*pages, PathWithoutQuery(request.path));
    if (response)
      co_return std::move(*response);
  }
  std::optional<HttpResponse> response;
  if (pages->role)
    response = co_await pages->role(std::move(request));
  if (!response)
    co_return MakeJsonResponse(404, R"({"error":"unknown_path"})");
  co_return std::move(*response);
}

}  // namespace

HttpHandler MakeAdminHandler(AdminPages pages) {
  auto shared = std::make_shared<const AdminPages>(std::move(pages));
  return [shared](HttpRequest request) {
    return HandleRequest(shared, std::move(request));
  };
}

}  // namespace cowslipmast
