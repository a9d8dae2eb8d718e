#ifndef COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_H_
#define COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "src/net/asio.h"
#include "src/net/log_client.h"

namespace cowslipmast {

/** How a follower folds its stream; all run on the Asio thread. */
struct StreamFold {
  /** Offset of the next entry to fold. */
  std::function<LogOffset()> next;
  /** Folds the entry at `next()`; a bad entry is counted and skipped. */
  std::function<void(const LogEntry&)> apply;
  /** Starts anew from the oldest kept entry, which needs a snapshot. */
  std::function<void(LogOffset oldest)> restart;
  /** Encodes the state for a snapshot after the latest folded entry. */
  std::function<std::string()> encode_snapshot;
  /** Called after one or more entries were folded. */
  std::function<void()> changed;
};

/** Source of pages other than the store: a peer that follows the stream. */
using PeerPageSource =
    std::function<asio::awaitable<std::optional<LogPage>>(StreamId stream,
                                                          LogOffset from,
                                                          uint32_t max_entries,
                                                          Duration wait)>;

enum class AppendErrorKind {
  kQueueFull,  // nothing was sent
  kStopped,    // the outcome is unknown
  kTimeout,    // the outcome is unknown; the follower goes on trying
};

struct AppendError {
  AppendErrorKind kind = AppendErrorKind::kQueueFull;
};

struct StreamFollowerCounters {
  uint64_t reads = 0;
  uint64_t read_failures = 0;
  uint64_t entries = 0;
  uint64_t peer_reads = 0;
  uint64_t appends = 0;
  uint64_t append_failures = 0;
  uint64_t records_appended = 0;
  uint64_t duplicates = 0;
  uint64_t restarts = 0;
  uint64_t snapshots = 0;
};

/** Follows one log stream, folds it and appends records to it. */
class StreamFollower {
 public:
  static std::unique_ptr<StreamFollower> Make(asio::io_context& io,
                                              LogClient& log,
                                              StreamId stream,
                                              ProducerId producer,
                                              uint64_t seed,
                                              StreamFold fold);
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  /** Starts to read and append; runs until Stop(). */
  void Start();
  void Stop();

  /** Reads from this source first, where it answers; see PeerPageSource. */
  void SetPeerSource(PeerPageSource source);

  /** Queues records and returns once they were read back, that is, folded.
   * Whether they took effect shows in the state. */
  asio::awaitable<bool> Append(std::vector<Record> records,
                               Duration timeout,
                               AppendError& reason);

  /** True once the end of the stream was reached for the first time. */
  bool caught_up() const;
  /** The latest moment at which the fold was known to be complete. */
  std::optional<std::chrono::steady_clock::time_point> proof() const;
  const StreamFollowerCounters& counters() const;

  /** Answers a peer from memory of recent entries; waits for new ones. */
  asio::awaitable<std::optional<LogPage>> ServePeer(LogOffset from,
                                                    uint32_t max_entries,
                                                    Duration wait);

 private:
  struct Impl;
  explicit StreamFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_H_
