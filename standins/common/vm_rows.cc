#include "standins/common/vm_rows.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>

#include "src/core/strings.h"

namespace cowslipmast::standins {

namespace {

constexpr int64_t kMilliCoresPerCore = 1000;

std::string_view KindName(VmKind kind) {
  switch (kind) {
    case VmKind::kEntry:
      return "entry";
    case VmKind::kTarget:
      return "target";
    case VmKind::kWorker:
      return "worker";
  }
  return "";
}

std::string TextOf(const Json& row, const char* name) {
  return StringField(row, name).value_or("");
}

int64_t CountOf(const Json& row, const char* name) {
  return static_cast<int64_t>(UnsignedField(row, name).value_or(0));
}

std::optional<VmInfo> ParseRow(const Json& row, VmKind kind) {
  const auto endpoint = SplitAddress(TextOf(row, "address"));
  if (!endpoint || TextOf(row, "id").empty())
    return std::nullopt;
  VmInfo vm;
  vm.id = VmId(TextOf(row, "id"));
  vm.kind = kind;
  vm.service = ServiceId(TextOf(row, "service"));
  vm.data_centre = DataCentreId(TextOf(row, "data_centre"));
  vm.region = RegionId(TextOf(row, "region"));
  vm.rack = TextOf(row, "rack");
  vm.endpoint = *endpoint;
  vm.base_path = TextOf(row, "base_path");
  vm.slots = Slots(CountOf(row, "slots"));
  vm.resources = {MilliCores(CountOf(row, "cores") * kMilliCoresPerCore),
                  Mebibytes(CountOf(row, "memory_mib")),
                  Accelerators(CountOf(row, "accelerators"))};
  return vm;
}

}  // namespace

std::optional<Endpoint> SplitAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  const auto port = ParseUnsigned(std::string_view(text).substr(colon + 1));
  if (!port || *port > 65535)
    return std::nullopt;
  return Endpoint{text.substr(0, colon), static_cast<uint16_t>(*port)};
}

std::optional<Json> ReadVmListFile(const std::string& path,
                                   VmRowsError& reason) {
  std::ifstream file(path);
  if (!file) {
    reason = {VmRowsErrorKind::kUnreadableFile, path};
    return std::nullopt;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto json = ParseObject(text);
  if (!json || !json->contains("vms") || !json->at("vms").is_array()) {
    reason = {VmRowsErrorKind::kBadJson, path};
    return std::nullopt;
  }
  return json->at("vms");
}

std::optional<std::vector<VmInfo>> ParseVmRows(const Json& rows,
                                               VmKind kind,
                                               VmRowsError& reason) {
  std::vector<VmInfo> vms;
  for (const Json& row : rows) {
    if (!row.is_object() || TextOf(row, "kind") != KindName(kind))
      continue;
    auto vm = ParseRow(row, kind);
    if (!vm) {
      reason = {VmRowsErrorKind::kBadRow, row.dump()};
      return std::nullopt;
    }
    vms.push_back(std::move(*vm));
  }
  return vms;
}

std::optional<std::vector<VmInfo>> LoadVmRows(const std::string& path,
                                              VmKind kind) {
  VmRowsError reason;
  std::optional<std::vector<VmInfo>> vms;
  if (const auto rows = ReadVmListFile(path, reason))
    vms = ParseVmRows(*rows, kind, reason);
  if (!vms)
    std::cerr << "cannot read the VM list file: " << reason.detail << "\n";
  return vms;
}

}  // namespace cowslipmast::standins
