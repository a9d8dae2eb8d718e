#include "standins/vm_list/vm_list_service.h"

#include <utility>

#include "standins/common/clock.h"

namespace cowslipmast::standins {

VmListService::VmListService(Json rows, Duration lag)
    : m_list(std::move(rows), lag) {}

asio::awaitable<FaultAnswer> VmListService::Handle(HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == "/v1/vms") {
    ++m_reads;
    const Json vms = {{"vms", m_list.Visible(MonotonicNow())}};
    co_return FaultAnswer{MakeJsonResponse(200, vms.dump())};
  }
  if (path == "/control")
    co_return FaultAnswer{Control(request)};
  if (path == "/stats")
    co_return FaultAnswer{
        MakeJsonResponse(200, Json{{"reads", m_reads}}.dump())};
  co_return FaultAnswer{NotFoundResponse()};
}

HttpResponse VmListService::Control(const HttpRequest& request) {
  const auto json = ParseObject(request.body);
  if (!json)
    return BadRequestResponse("not_an_object");
  const auto vm = StringField(*json, "vm");
  const auto state = StringField(*json, "state");
  if (!vm || !state || !m_list.SetState(*vm, *state, MonotonicNow()))
    return BadRequestResponse("unknown_vm_or_state");
  return OkResponse();
}

}  // namespace cowslipmast::standins
