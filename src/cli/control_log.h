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

/** A ConfigPublished record in the log. `version` is 0 unless the record is
 * known to have been accepted. */
struct PublishedConfig {
  LogOffset offset;
  ConfigVersion version;
  ConfigPublished record;
};

enum class AppendOutcome {
  kAppended,    // the record was read back from the log
  kSuperseded,  // the record can no longer take effect
  kNotSent,     // no attempt reached the store
  kUnknown,     // the record may still take effect
};

/** Reads and appends to the `control` stream during one run of the tool. */
class ControlLog {
 public:
  using Clock = std::chrono::steady_clock;

  /** `http` must outlive the object. All calls return by `deadline`. */
  static std::unique_ptr<ControlLog> Make(HttpClient& http,
                                          const Endpoint& store,
                                          Clock::time_point deadline);

  const ControlState& state() const { return m_fold->state(); }
  /** Returns the accepted publishes that the log still holds, oldest first. */
  std::vector<PublishedConfig> History() const;

  /** Reads to the end of the stream and retries failed reads. Returns false and
   * sets `reason` if the end is not reached by the deadline. */
  asio::awaitable<bool> CatchUp(NetError& reason);

  /** Appends a record and reads it back. After a lost reply it reads the stream
   * and appends the same batch again; the fold ignores duplicates. Returns
   * kSuperseded as soon as `is_superseded` holds for the state. */
  asio::awaitable<AppendOutcome> Append(
      Record record,
      std::function<bool(const ControlState&)> is_superseded,
      NetError& reason);
  /** True if the publish that was appended last has been accepted. */
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
