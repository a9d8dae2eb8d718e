#ifndef COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_
#define COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/codec.h"
#include "cowslipmast/shared_state.h"
#include "src/fold/producer_table.h"

namespace cowslipmast {

/** The complete state of the fold of `control`. */
struct ControlFoldState {
  ControlState state;
  ProducerTable producers;
};

/** The complete state of the fold of a data centre's stream. */
struct DataCentreFoldState {
  DataCentreState state;
  Epoch highest_epoch;
  ProducerTable producers;
};

// Equal states have equal encodings, so that processes can compare digests. The
// offset is not part of the encoding.

std::string EncodeFoldState(const ControlFoldState& fold_state);
std::string EncodeFoldState(const DataCentreFoldState& fold_state);
std::optional<ControlFoldState> DecodeControlFoldState(std::string_view bytes,
                                                       DecodeError& reason);
std::optional<DataCentreFoldState> DecodeDataCentreFoldState(
    std::string_view bytes,
    DecodeError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_SNAPSHOT_CODEC_H_
