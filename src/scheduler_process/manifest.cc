#include "src/scheduler_process/manifest.h"

#include "src/core/strings.h"

namespace cowslipmast::sched {

const QueueRoute* FindRoute(const Manifest& manifest,
                            std::string_view host,
                            std::string_view path) {
  const std::string_view name = host.substr(0, host.find(':'));
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : manifest.routes) {
    if (!EqualsIgnoreCase(route.host, name) ||
        !path.starts_with(route.path_prefix))
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

}  // namespace cowslipmast::sched
