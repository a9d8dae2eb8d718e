#ifndef COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_
#define COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/codec.h"
#include "cowslipmast/shared_state.h"
#include "src/fold/producer_table.h"

namespace cowslipmast {

/** Everything that the fold of `control` remembers. */
struct ControlImage {
  ControlState state;
  ProducerTable producers;
};

/** Everything that the fold of a data centre's stream remembers. */
struct DataCentreImage {
  DataCentreState state;
  Epoch highest_epoch;
  ProducerTable producers;
};

// Equal images have equal bytes, so that digests can be taken of them. The
// offset is not part of the bytes.

std::string EncodeImage(const ControlImage& image);
std::string EncodeImage(const DataCentreImage& image);
std::optional<ControlImage> DecodeControlImage(std::string_view bytes,
                                               DecodeError& reason);
std::optional<DataCentreImage> DecodeDataCentreImage(std::string_view bytes,
                                                     DecodeError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_
