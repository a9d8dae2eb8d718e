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
  DataCentreImage image;

  bool ApplyRecord(LogOffset, const Record& record) {
    if (const auto* outcomes = std::get_if<TaskOutcomes>(&record)) {
      if (!Accept(outcomes->data_centre, outcomes->epoch))
        return false;
      ApplyOutcomes(image.state, *outcomes);
      return true;
    }
    if (const auto* ended = std::get_if<JobEnded>(&record)) {
      if (!Accept(ended->data_centre, ended->epoch))
        return false;
      DropTasks(image.state, ended->job);
      return true;
    }
    return std::holds_alternative<Snapshot>(record);
  }
  bool Accept(const DataCentreId& data_centre, Epoch epoch) {
    if (data_centre != id || epoch < image.highest_epoch)
      return false;
    image.highest_epoch = epoch;
    return true;
  }
  static std::optional<DataCentreImage> Decode(std::string_view bytes,
                                               DecodeError& reason) {
    return DecodeDataCentreImage(bytes, reason);
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
  return m_impl->engine.model().image.state;
}

const FoldCounters& DataCentreFold::counters() const {
  return m_impl->engine.counters();
}

std::string DataCentreFold::EncodeSnapshot() const {
  if (!complete())
    return {};
  return EncodeImage(m_impl->engine.model().image);
}

}  // namespace cowslipmast
