#include "standins/target/answer_body.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

namespace cowslipmast::standins {

std::string MakeAnswerBody(std::string_view request_id, size_t bytes) {
  std::string filling(request_id);
  filling += '|';
  filling.reserve(bytes + filling.size());
  const size_t period = filling.size();
  while (filling.size() < bytes)
    filling += filling[filling.size() - period];
  filling.resize(bytes);
  const uint64_t seed = XXH3_64bits(request_id.data(), request_id.size());
  char checksum[17];
  std::snprintf(checksum, sizeof(checksum), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits_withSeed(
                    filling.data(), filling.size(), seed)));
  std::string body(request_id);
  body += '\n';
  body += checksum;
  body += '\n';
  body += filling;
  return body;
}

bool IsAnswerBody(std::string_view body,
                  std::string_view request_id,
                  size_t bytes) {
  return body == MakeAnswerBody(request_id, bytes);
}

}  // namespace cowslipmast::standins
