#ifndef COWSLIPMAST_SRC_CLI_CONTROL_LOG_H_
#define COWSLIPMAST_SRC_CLI_CONTROL_LOG_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/fold.h"
#include "cowslipmast/record.h"
#include "cowslipmast/shared_state.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/log_client.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** A publish that the log holds; `version` if it is known to be accepted. */
struct PublishedConfig {
  LogOffset offset;
  ConfigVersion version;
  ConfigPublished record;
};

enum class AppendOutcome {
  kAppended,    // the log holds the record
  kSuperseded,  // the record can no longer take effect
  kNotSent,     // no attempt reached the store
  kUnknown,     // the record may still be accepted
};

/** The `control` stream as one call of the tool reads and extends it. */
class ControlLog {
 public:
  using Clock = std::chrono::steady_clock;

  /** `http` must outlive the log. All calls end by `deadline`. */
  static std::unique_ptr<ControlLog> Make(HttpClient& http,
                                          const Endpoint& store,
                                          Clock::time_point deadline);

  const ControlState& state() const { return m_fold->state(); }
  /** Accepted publishes that the log still holds, the oldest first. */
  std::vector<PublishedConfig> History() const;

  /** Reads to the end of the stream; repeats failed reads. */
  asio::awaitable<bool> CatchUp(NetError& reason);

  /** Appends a record and reads it back. A lost reply is settled by reading
   * and by appending the same batch again, which the fold ignores. Gives up
   * early with kSuperseded once `is_superseded` holds for the state. */
  asio::awaitable<AppendOutcome> Append(
      Record record,
      std::function<bool(const ControlState&)> is_superseded,
      NetError& reason);
  /** True if the publish that was appended last became a version. */
  bool OwnPublishAccepted() const;

  bool DeadlinePassed() const { return Clock::now() >= m_deadline; }

 private:
  ControlLog(HttpClient& http,
             const Endpoint& store,
             Clock::time_point deadline);

  Duration CallTimeout() const;
  asio::awaitable<void> Pause();
  bool ApplyPage(const LogPage& page, NetError& reason);
  void Apply(const LogEntry& entry);
  const PublishedConfig* FindAccepted(ConfigVersion version,
                                      LogOffset before) const;

  std::unique_ptr<LogClient> m_client;
  Clock::time_point m_deadline;
  std::unique_ptr<ControlFold> m_fold = ControlFold::Make();
  LogOffset m_next;
  std::vector<PublishedConfig> m_published;
  ProducerId m_producer;
  std::optional<LogOffset> m_own_offset;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_CONTROL_LOG_H_
