#ifndef COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_
#define COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipmast::standins {

/** Makes the body of a response: the request id, a checksum and `bytes` bytes
 * of padding derived from the id. A response to another request or a truncated
 * one can be detected. */
std::string MakeAnswerBody(std::string_view request_id, size_t bytes);

/** True if `body` is the complete response body to the request `request_id`. */
bool IsCompleteAnswerBody(std::string_view body,
                          std::string_view request_id,
                          size_t bytes);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_ANSWER_BODY_H_
