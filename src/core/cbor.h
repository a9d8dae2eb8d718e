#ifndef COWSLIPMAST_SRC_CORE_CBOR_H_
#define COWSLIPMAST_SRC_CORE_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace cowslipmast {

/** Decodes CBOR; a discarded value if it is malformed or nested more deeply
 * than any record or message. */
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CORE_CBOR_H_
