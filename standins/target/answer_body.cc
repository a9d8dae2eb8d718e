#include "standins/target/answer_body.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

namespace cowslipmast::standins {

std::string MakeAnswerBody(std::string_view request_id, size_t bytes) {
  std::string padding(request_id);
  padding += '|';
  padding.reserve(bytes + padding.size());
  const size_t period = padding.size();
  while (padding.size() < bytes)
    padding += padding[padding.size() - period];
  padding.resize(bytes);
  const uint64_t seed = XXH3_64bits(request_id.data(), request_id.size());
  char checksum[17];
  std::snprintf(checksum, sizeof(checksum), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits_withSeed(
                    padding.data(), padding.size(), seed)));
  std::string body(request_id);
  body += '\n';
  body += checksum;
  body += '\n';
  body += padding;
  return body;
}

bool IsCompleteAnswerBody(std::string_view body,
                          std::string_view request_id,
                          size_t bytes) {
  return body == MakeAnswerBody(request_id, bytes);
}

}  // namespace cowslipmast::standins
