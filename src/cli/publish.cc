#include "src/cli/publish.h"

#include <functional>
#include <utility>

namespace cowslipmast {

asio::awaitable<PublishOutcome> Publish(ControlLog& log,
                                        ConfigPublished record,
                                        NetError& reason) {
  const ConfigVersion base = record.base_version;
  const std::function<bool(const ControlState&)> is_superseded =
      [base](const ControlState& state) { return state.config_version > base; };
  const AppendOutcome outcome =
      co_await log.Append(std::move(record), is_superseded, reason);
  switch (outcome) {
    case AppendOutcome::kNotSent:
      co_return PublishOutcome::kNotSent;
    case AppendOutcome::kUnknown:
      co_return PublishOutcome::kUnknown;
    case AppendOutcome::kSuperseded:
      co_return PublishOutcome::kConflict;
    case AppendOutcome::kAppended:
      break;
  }
  if (log.OwnPublishAccepted())
    co_return PublishOutcome::kAccepted;
  co_return log.state().config_version > base ? PublishOutcome::kConflict
                                              : PublishOutcome::kRefused;
}

}  // namespace cowslipmast
