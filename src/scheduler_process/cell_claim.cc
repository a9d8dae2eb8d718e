#include "src/scheduler_process/cell_claim.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/core/strings.h"
#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

// Keys of stored records; they must not change.
constexpr std::string_view kLayoutKey = "layout";
constexpr std::string_view kClaimPrefix = "cell/";
// Claim of the only cell in the first version of the layout.
constexpr std::string_view kFirstVersionKey = "cell";
// A layout with more cells is taken for a malformed record.
constexpr uint32_t kMaxCells = 100'000;

json ToJson(const CellClaim& claim) {
  return {
      {"epoch", claim.epoch.value()},     {"process", claim.process.value()},
      {"address", claim.control.address}, {"port", claim.control.port},
      {"released", claim.released},       {"cores", claim.cores}};
}

std::optional<CellClaim> FromJson(const json& j) {
  try {
    return CellClaim{.epoch = Epoch(j.at("epoch").get<uint64_t>()),
                     .process = ProcessId(j.at("process").get<std::string>()),
                     .control = {j.at("address").get<std::string>(),
                                 j.at("port").get<uint16_t>()},
                     .released = j.at("released").get<bool>(),
                     .cores = j.value("cores", 0.0)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json LayoutToJson(const CellLayout& layout) {
  return {{"version", layout.version}, {"cells", layout.cells}};
}

std::optional<CellLayout> LayoutFromJson(const json& j) {
  try {
    const CellLayout layout{.version = j.at("version").get<uint32_t>(),
                            .cells = j.at("cells").get<uint32_t>()};
    if (layout.cells == 0 || layout.cells > kMaxCells)
      return std::nullopt;
    return layout;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void ApplyLayout(ClaimTable& table, const KeyedRecord& record) {
  const auto layout = LayoutFromJson(json::parse(record.value, nullptr, false));
  if (!layout) {
    LogEvent("layout_unreadable", {{"key", record.key}});
  } else if (layout->version != kLayoutVersion) {
    table.has_other_version = true;
  } else {
    table.layout = layout;
  }
}

}  // namespace

std::string EncodeCellClaim(const CellClaim& claim) {
  return ToJson(claim).dump();
}

std::optional<CellClaim> DecodeCellClaim(std::string_view bytes) {
  return FromJson(json::parse(bytes, nullptr, false));
}

KeyedRecord MakeClaimRecord(CellId cell, const CellClaim& claim) {
  return {std::string(kClaimPrefix) + std::to_string(cell.value()),
          EncodeCellClaim(claim)};
}

KeyedRecord MakeLayoutRecord(const CellLayout& layout) {
  return {std::string(kLayoutKey), LayoutToJson(layout).dump()};
}

void ApplyClaimRecord(ClaimTable& table, const KeyedRecord& record) {
  const std::string_view key = record.key;
  if (key == kLayoutKey) {
    ApplyLayout(table, record);
    return;
  }
  if (key == kFirstVersionKey) {
    table.has_other_version = true;
    return;
  }
  const auto cell = key.starts_with(kClaimPrefix)
                        ? ParseUnsigned(key.substr(kClaimPrefix.size()))
                        : std::nullopt;
  const auto claim = cell ? DecodeCellClaim(record.value) : std::nullopt;
  if (!claim) {
    LogEvent("claim_unreadable", {{"key", record.key}});
    return;
  }
  table.claims[CellId(*cell)] = *claim;
}

std::string EncodeClaimTable(const ClaimTable& table) {
  json claims = json::object();
  for (const auto& [cell, claim] : table.claims)
    claims[std::to_string(cell.value())] = ToJson(claim);
  json j = {{"claims", std::move(claims)}};
  if (table.layout)
    j["layout"] = LayoutToJson(*table.layout);
  return j.dump();
}

std::optional<ClaimTable> DecodeClaimTable(std::string_view bytes) {
  const json j = json::parse(bytes, nullptr, false);
  if (!j.is_object() || !j.contains("claims") || !j["claims"].is_object())
    return std::nullopt;
  ClaimTable table;
  if (j.contains("layout"))
    table.layout = LayoutFromJson(j["layout"]);
  for (const auto& [key, value] : j["claims"].items()) {
    const auto cell = ParseUnsigned(key);
    const auto claim = FromJson(value);
    if (cell && claim)
      table.claims[CellId(*cell)] = *claim;
  }
  return table;
}

}  // namespace cowslipmast::sched
