#ifndef COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_
#define COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipmast::standins {

/** Answer to a request: its id, a checksum and `bytes` bytes of filling that
 * depend on the id, so that a mixed-up or shortened answer is recognised. */
std::string MakeAnswerBody(std::string_view request_id, size_t bytes);

/** True if `body` is the whole answer to the request `request_id`. */
bool IsCompleteAnswerBody(std::string_view body,
                          std::string_view request_id,
                          size_t bytes);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_
