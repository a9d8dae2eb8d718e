#include "standins/vm_list/vm_list_service.h"

#include <functional>
#include <string>
#include <utility>

#include "standins/common/clock.h"

namespace cowslipmast::standins {

VmListService::VmListService(Json rows, Duration lag)
    : m_list(std::move(rows), lag) {}

asio::awaitable<InjectedResponse> VmListService::Handle(HttpRequest request) {
  const std::string_view path = PathWithoutQuery(request.path);
  if (path == "/v1/vms") {
    ++m_reads;
    co_return InjectedResponse{RespondWithList(request)};
  }
  if (path == "/control")
    co_return InjectedResponse{ApplyControl(request)};
  if (path == "/stats")
    co_return InjectedResponse{MakeJsonResponse(
        200, Json{{"reads", m_reads}, {"unchanged", m_unchanged}}.dump())};
  co_return InjectedResponse{NotFoundResponse()};
}

HttpResponse VmListService::RespondWithList(const HttpRequest& request) {
  std::string body = Json{{"vms", m_list.VisibleRows(MonotonicNow())}}.dump();
  const std::string tag =
      '"' + std::to_string(std::hash<std::string>{}(body)) + '"';
  if (FindHeader(request.headers, "If-None-Match") == tag) {
    ++m_unchanged;
    return HttpResponse{.status = 304, .headers = {{"ETag", tag}}, .body = {}};
  }
  HttpResponse response = MakeJsonResponse(200, std::move(body));
  response.headers.push_back({"ETag", tag});
  return response;
}

HttpResponse VmListService::ApplyControl(const HttpRequest& request) {
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
