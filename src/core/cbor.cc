#include "src/core/cbor.h"

#include <cstddef>
#include <string>

namespace cowslipmast {

namespace {

using nlohmann::json;

// Far more than any of our records has.
constexpr size_t kMaxDepth = 64;

// Accepts well-formed input up to the depth limit. The library's decoder calls
// itself for each level, and this ends it before the stack does.
class DepthCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++m_depth <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return ++m_depth <= kMaxDepth; }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const json::exception&) override {
    return false;
  }

 private:
  bool Leave() {
    --m_depth;
    return true;
  }

  size_t m_depth = 0;
};

}  // namespace

json ParseCbor(std::string_view bytes) {
  DepthCheck check;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &check,
                       json::input_format_t::cbor))
    return json(json::value_t::discarded);
  return json::from_cbor(bytes, true, false);
}

}  // namespace cowslipmast
