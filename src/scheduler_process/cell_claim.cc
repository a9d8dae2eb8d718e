#include "src/scheduler_process/cell_claim.h"

#include <nlohmann/json.hpp>

namespace cowslipmast::sched {

using nlohmann::json;

std::string EncodeCellClaim(const CellClaim& claim) {
  return json{{"epoch", claim.epoch.value()},
              {"process", claim.process.value()},
              {"address", claim.control.address},
              {"port", claim.control.port},
              {"released", claim.released}}
      .dump();
}

std::optional<CellClaim> DecodeCellClaim(std::string_view bytes) {
  const json j = json::parse(bytes, nullptr, false);
  if (j.is_discarded())
    return std::nullopt;
  try {
    return CellClaim{.epoch = Epoch(j.at("epoch").get<uint64_t>()),
                     .process = ProcessId(j.at("process").get<std::string>()),
                     .control = {j.at("address").get<std::string>(),
                                 j.at("port").get<uint16_t>()},
                     .released = j.at("released").get<bool>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslipmast::sched
