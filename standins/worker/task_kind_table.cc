#include "standins/worker/task_kind_table.h"

namespace cowslipmast::standins {

namespace {

constexpr double kPercent = 100;

TaskKindBehaviour ParseBehaviour(const Json& json) {
  TaskKindBehaviour behaviour;
  if (const auto run_ms = UnsignedField(json, "run_ms"))
    behaviour.run_time = std::chrono::milliseconds(*run_ms);
  behaviour.usage_percent = UnsignedField(json, "usage_percent").value_or(100);
  behaviour.fails = BoolField(json, "fails").value_or(false);
  return behaviour;
}

}  // namespace

std::optional<TaskKindTable> TaskKindTable::FromJson(const Json& json) {
  TaskKindTable table;
  const Json kinds = json.value("kinds", Json::object());
  for (const auto& [name, kind] : kinds.items()) {
    if (!kind.is_object())
      return std::nullopt;
    table.m_kinds[name] = ParseBehaviour(kind);
  }
  for (const Json& pair : json.value("interference", Json::array())) {
    if (!pair.is_object())
      return std::nullopt;
    const auto kind = StringField(pair, "kind");
    const auto beside = StringField(pair, "beside");
    const auto percent = UnsignedField(pair, "percent");
    if (!kind || !beside || !percent || *percent < 100)
      return std::nullopt;
    table.m_slowdowns[{*kind, *beside}] =
        static_cast<double>(*percent) / kPercent;
  }
  return table;
}

TaskKindBehaviour TaskKindTable::BehaviourOf(const std::string& kind) const {
  const auto found = m_kinds.find(kind);
  return found == m_kinds.end() ? TaskKindBehaviour{} : found->second;
}

double TaskKindTable::Slowdown(const std::string& kind,
                               const std::string& beside) const {
  const auto found = m_slowdowns.find({kind, beside});
  return found == m_slowdowns.end() ? 1 : found->second;
}

}  // namespace cowslipmast::standins
