#ifndef COWSLIPMAST_SRC_DAEMON_ADMIN_H_
#define COWSLIPMAST_SRC_DAEMON_ADMIN_H_

#include <functional>
#include <nlohmann/json.hpp>

#include "src/daemon/metrics.h"
#include "src/daemon/role.h"
#include "src/net/http_server.h"

namespace cowslipmast {

/** What the admin port shows. */
struct AdminPages {
  std::function<bool()> serving;
  std::function<nlohmann::json()> status;
  std::function<nlohmann::json()> dump;
  std::function<std::string()> metrics;
  /** Pages of the role; nothing for a path that it does not know. */
  std::function<asio::awaitable<std::optional<HttpResponse>>(HttpRequest)> role;
};

/** Answers /healthz, /metrics, /status and /dump, and the role's pages. */
HttpHandler MakeAdminHandler(AdminPages pages);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ADMIN_H_
