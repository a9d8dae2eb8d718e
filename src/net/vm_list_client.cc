#include "src/net/vm_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/core/strings.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr uint16_t kOk = 200;
constexpr uint16_t kNotModified = 304;

std::optional<VmKind> ParseKind(const std::string& text) {
  if (text == "entry")
    return VmKind::kEntry;
  if (text == "target")
    return VmKind::kTarget;
  if (text == "worker")
    return VmKind::kWorker;
  return std::nullopt;
}

std::string Text(const Json& row, const char* key) {
  const auto found = row.find(key);
  return found != row.end() && found->is_string() ? found->get<std::string>()
                                                  : "";
}

int64_t Amount(const Json& row, const char* key) {
  const auto found = row.find(key);
  return found != row.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

// Entry VMs may have no address: their processes announce their own.
bool ReadEndpoint(const Json& row, Endpoint& endpoint) {
  const std::string address = Text(row, "address");
  if (address.empty())
    return true;
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  const auto port = ParseUnsigned(std::string_view(address).substr(colon + 1));
  if (!port || *port > 65535)
    return false;
  endpoint = {address.substr(0, colon), static_cast<uint16_t>(*port)};
  return true;
}

std::optional<VmInfo> ParseRow(const Json& row) {
  if (!row.is_object())
    return std::nullopt;
  const auto kind = ParseKind(Text(row, "kind"));
  const std::string state = Text(row, "state");
  VmInfo vm;
  vm.id = VmId(Text(row, "id"));
  if (!kind || vm.id.empty() || (state != "live" && state != "leaving"))
    return std::nullopt;
  if (!ReadEndpoint(row, vm.endpoint))
    return std::nullopt;
  vm.kind = *kind;
  vm.state = state == "live" ? VmListState::kLive : VmListState::kLeaving;
  vm.service = ServiceId(Text(row, "service"));
  vm.data_centre = DataCentreId(Text(row, "data_centre"));
  vm.region = RegionId(Text(row, "region"));
  vm.rack = Text(row, "rack");
  vm.base_path = Text(row, "base_path");
  vm.slots = Slots(Amount(row, "slots"));
  vm.resources = {MilliCores(Amount(row, "cores") * 1000),
                  Mebibytes(Amount(row, "memory_mib")),
                  Accelerators(Amount(row, "accelerators"))};
  return vm;
}

}  // namespace

std::optional<std::vector<VmInfo>> ParseVmList(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
    return std::nullopt;
  std::vector<VmInfo> vms;
  for (const Json& row : json["vms"]) {
    auto vm = ParseRow(row);
    if (!vm)
      return std::nullopt;
    vms.push_back(std::move(*vm));
  }
  return vms;
}

asio::awaitable<std::optional<VmListRead>> ReadVmList(HttpClient& http,
                                                      Endpoint vm_list,
                                                      std::string entity_tag,
                                                      Duration timeout,
                                                      NetError& reason) {
  HttpRequest request;
  request.path = "/v1/vms";
  if (!entity_tag.empty())
    request.headers.push_back({"If-None-Match", entity_tag});
  const auto response =
      co_await http.Call(vm_list, std::move(request), timeout, reason);
  if (!response)
    co_return std::nullopt;
  VmListRead read;
  if (response->status == kNotModified && !entity_tag.empty()) {
    read.entity_tag = std::move(entity_tag);
    co_return read;
  }
  read.vms = ParseVmList(response->body);
  if (response->status != kOk || !read.vms) {
    reason = {NetErrorKind::kBadResponse, true,
              "status " + std::to_string(response->status)};
    co_return std::nullopt;
  }
  read.entity_tag =
      std::string(FindHeader(response->headers, "ETag").value_or(""));
  co_return read;
}

}  // namespace cowslipmast
