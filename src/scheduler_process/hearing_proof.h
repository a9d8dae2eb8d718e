#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_HEARING_PROOF_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_HEARING_PROOF_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Key of the record in an owner's progress stream that shows that other
 * processes reach it. The last key of the stream, so that a page that begins
 * there is small. Earlier versions skip it. */
inline constexpr std::string_view kHearingKey = "proof-of-hearing";

/** What an owner tells with each of these records. */
struct HearingProof {
  Epoch epoch;
  uint64_t number = 0;    // of the records of this epoch
  Duration heard_age{0};  // since the last health request of another process
};

std::string EncodeHearingProof(const HearingProof& proof);
std::optional<HearingProof> DecodeHearingProof(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_HEARING_PROOF_H_
