#include "standins/common/json.h"

namespace cowslipmast::standins {

std::optional<Json> ParseObject(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  return json;
}

std::optional<uint64_t> UnsignedField(const Json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_number_integer())
    return std::nullopt;
  if (!field->is_number_unsigned() && field->get<int64_t>() < 0)
    return std::nullopt;
  return field->get<uint64_t>();
}

std::optional<std::string> StringField(const Json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_string())
    return std::nullopt;
  return field->get<std::string>();
}

std::optional<bool> BoolField(const Json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_boolean())
    return std::nullopt;
  return field->get<bool>();
}

Resources ResourcesFromJson(const Json& object) {
  const auto count = [&object](const char* name) {
    return static_cast<int64_t>(UnsignedField(object, name).value_or(0));
  };
  return {MilliCores(count("cpu_millis")), Mebibytes(count("memory_mib")),
          Accelerators(count("accelerators"))};
}

Json ResourcesToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu.count()},
          {"memory_mib", resources.memory.count()},
          {"accelerators", resources.accelerators.count()}};
}

HttpResponse OkResponse() {
  return MakeJsonResponse(200, "{}");
}

HttpResponse BadRequestResponse(const std::string& error) {
  return MakeJsonResponse(400, Json{{"error", error}}.dump());
}

HttpResponse NotFoundResponse() {
  return MakeJsonResponse(404, R"({"error":"not_found"})");
}

}  // namespace cowslipmast::standins
