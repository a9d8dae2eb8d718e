#include <optional>
#include <utility>
#include <variant>

#include "cowslipmast/fold.h"
#include "src/fold/apply.h"
#include "src/fold/fold_engine.h"
#include "src/fold/snapshot_codec.h"

namespace cowslipmast {

namespace {

struct DataCentreModel {
  DataCentreId id;
  DataCentreFoldState fold_state;

  bool ApplyRecord(LogOffset, const Record& record) {
    if (const auto* outcomes = std::get_if<TaskOutcomes>(&record)) {
      if (!Accept(outcomes->data_centre, outcomes->epoch))
        return false;
      ApplyOutcomes(fold_state.state, *outcomes);
      return true;
    }
    if (const auto* ended = std::get_if<JobEnded>(&record)) {
      if (!Accept(ended->data_centre, ended->epoch))
        return false;
      DropTasks(fold_state.state, ended->job);
      return true;
    }
    return std::holds_alternative<Snapshot>(record);
  }
  bool Accept(const DataCentreId& data_centre, Epoch epoch) {
    if (data_centre != id || epoch < fold_state.highest_epoch)
      return false;
    fold_state.highest_epoch = epoch;
    return true;
  }
  static std::optional<DataCentreFoldState> Decode(std::string_view bytes,
                                                   DecodeError& reason) {
    return DecodeDataCentreFoldState(bytes, reason);
  }
};

}  // namespace

struct DataCentreFold::Impl {
  explicit Impl(const DataCentreId& id) : engine(DataCentreModel{id, {}}) {}
  FoldEngine<DataCentreModel> engine;
};

DataCentreFold::DataCentreFold(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

DataCentreFold::~DataCentreFold() = default;

std::unique_ptr<DataCentreFold> DataCentreFold::Make(const DataCentreId& id) {
  return std::unique_ptr<DataCentreFold>(
      new DataCentreFold(std::make_unique<Impl>(id)));
}

void DataCentreFold::Apply(LogOffset offset, std::string_view entry) {
  m_impl->engine.Apply(offset, entry);
}

void DataCentreFold::Restart(LogOffset oldest) {
  m_impl->engine.Restart(oldest);
}

bool DataCentreFold::complete() const {
  return m_impl->engine.complete();
}

const DataCentreState& DataCentreFold::state() const {
  return m_impl->engine.model().fold_state.state;
}

const FoldCounters& DataCentreFold::counters() const {
  return m_impl->engine.counters();
}

std::string DataCentreFold::EncodeSnapshot() const {
  if (!complete())
    return {};
  return EncodeFoldState(m_impl->engine.model().fold_state);
}

}  // namespace cowslipmast
