#ifndef COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_H_
#define COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/units.h"
#include "src/net/asio.h"
#include "src/net/log_client.h"

namespace cowslipmast {

/** Callbacks that fold a stream into state; all run on the Asio thread. */
struct StreamFold {
  /** Offset of the next entry to fold. */
  std::function<LogOffset()> next;
  /** Folds the entry at `next()`; a bad entry is counted and skipped. */
  std::function<void(const LogEntry&)> apply;
  /** Discards the state and restarts at the oldest stored entry; the state is
   * incomplete until a snapshot is folded. */
  std::function<void(LogOffset oldest)> restart;
  /** Encodes the state for a snapshot after the latest folded entry; empty if
   * it is not complete, so that no reader starts from a partial state. */
  std::function<std::string()> encode_snapshot;
  /** Called after one or more entries were folded. */
  std::function<void()> changed;
  /** False while the state lacks a snapshot; unset means always true. */
  std::function<bool()> complete;
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
  kTimeout,    // the outcome is unknown; the follower keeps retrying
  kTooLarge,   // nothing was sent: readers reject entries of this size
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

struct StreamFollowerLimits {
  /** Duration of a long poll. The proof of freshness is up to twice as old,
   * and a task start requires one younger than 2 s. */
  Duration poll_wait = std::chrono::milliseconds(400);
  /** Timeout of an append; added to the duration of a poll. */
  Duration call_timeout = std::chrono::seconds(2);
  /** Time to wait for an accepted batch to be read back before it is appended
   * again. */
  Duration read_back_timeout = std::chrono::seconds(5);
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(2);
  /** Minimum time between reads that return no new entries. */
  Duration min_read_interval = std::chrono::milliseconds(50);
  /** If the page of a peer is older than this, the store is read instead. */
  Duration max_peer_age = std::chrono::milliseconds(1500);
  uint32_t page_entries = 256;
  uint64_t snapshot_entries = 500;
  Duration max_snapshot_delay = std::chrono::seconds(3);
  /** Pause after a snapshot, including one that failed or that a snapshot of
   * another process made redundant. */
  Duration snapshot_pause = std::chrono::seconds(10);
  size_t queued_records = 10'000;
  size_t queued_bytes = 8 * 1024 * 1024;
  /** Size limit of a batch of several appends; keeps entries well below
   * 1 MiB. */
  size_t batch_bytes = 512 * 1024;
  size_t recent_entries = 2'000;
  size_t recent_bytes = 2 * 1024 * 1024;
};

/** Follows one log stream, folds it and appends records to it. */
class StreamFollower {
 public:
  static std::unique_ptr<StreamFollower> Make(
      asio::io_context& io,
      LogClient& log,
      StreamId stream,
      ProducerId producer,
      uint64_t seed,
      StreamFold fold,
      const StreamFollowerLimits& limits = {});
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  /** Starts reading and appending; runs until Stop(). */
  void Start();
  void Stop();

  /** Reads from this source before the store; see PeerPageSource. */
  void SetPeerSource(PeerPageSource source);

  /** Queues records and returns once they have been read back, that is, folded.
   * The folded state shows whether they took effect. */
  asio::awaitable<bool> Append(std::vector<Record> records,
                               Duration timeout,
                               AppendError& reason);

  /** True once the end of the stream has been reached for the first time. */
  bool caught_up() const;
  /** Freshness proof: the latest time at which the fold was known to contain
   * the whole stream. */
  std::optional<std::chrono::steady_clock::time_point> proof() const;
  const StreamFollowerCounters& counters() const;

  /** Serves a peer from the cache of recent entries; waits up to `wait` for new
   * ones. */
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
