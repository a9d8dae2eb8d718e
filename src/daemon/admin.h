#ifndef COWSLIPMAST_SRC_DAEMON_ADMIN_H_
#define COWSLIPMAST_SRC_DAEMON_ADMIN_H_

#include <functional>
#include <nlohmann/json.hpp>

#include "src/daemon/metrics.h"
#include "src/daemon/role.h"
#include "src/net/http_server.h"

namespace cowslipmast {

/** Sources of the pages of the admin port. */
struct AdminPages {
  std::function<bool()> serving;
  std::function<nlohmann::json()> status;
  std::function<nlohmann::json()> dump;
  std::function<std::string()> metrics;
  /** Serves the pages of the role; std::nullopt for an unknown path. */
  std::function<asio::awaitable<std::optional<HttpResponse>>(HttpRequest)> role;
};

/** Serves /healthz, /metrics, /status, /dump and the pages of the role. */
HttpHandler MakeAdminHandler(AdminPages pages);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ADMIN_H_
