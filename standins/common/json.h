#ifndef COWSLIPMAST_STANDINS_COMMON_JSON_H_
#define COWSLIPMAST_STANDINS_COMMON_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cowslipmast/units.h"
#include "src/net/http_message.h"

namespace cowslipmast::standins {

using Json = nlohmann::json;

/** Parses a JSON object; returns nothing for any other text. */
std::optional<Json> ParseObject(const std::string& text);

std::optional<uint64_t> UnsignedField(const Json& object, const char* name);
std::optional<std::string> StringField(const Json& object, const char* name);
std::optional<bool> BoolField(const Json& object, const char* name);

/** Reads {"cpu_millis","memory_mib","accelerators"}. Missing fields are 0. */
Resources ResourcesFromJson(const Json& object);
Json ResourcesToJson(const Resources& resources);

HttpResponse OkResponse();
/** 400 with {"error":`error`}. */
HttpResponse BadRequestResponse(const std::string& error);
/** 404 with {"error":"not_found"}. */
HttpResponse NotFoundResponse();

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_JSON_H_
