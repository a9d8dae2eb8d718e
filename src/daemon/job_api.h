#ifndef COWSLIPMAST_SRC_DAEMON_JOB_API_H_
#define COWSLIPMAST_SRC_DAEMON_JOB_API_H_

#include <functional>
#include <memory>
#include <optional>

#include "cowslipmast/shared_state.h"
#include "src/daemon/role.h"
#include "src/net/asio.h"
#include "src/net/http_message.h"

namespace cowslipmast {

/** HTTP API under `/v1/jobs`: submission, cancellation and queries. */
class JobApi {
 public:
  /** Returns the stream state of a data centre that this process owns. */
  using StateSource =
      std::function<const DataCentreState*(const DataCentreId&)>;

  /** `context` must outlive the API. */
  static std::unique_ptr<JobApi> Make(RoleContext& context, StateSource states);
  ~JobApi();

  /** Returns std::nullopt for a path that is not under `/v1/jobs`. */
  asio::awaitable<std::optional<HttpResponse>> Handle(HttpRequest request);
  /** Rejects submissions from now on. */
  void BeginDrain();

 private:
  struct Impl;
  explicit JobApi(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_JOB_API_H_
