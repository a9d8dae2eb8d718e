#ifndef COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_IMPL_H_
#define COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_IMPL_H_

#include <chrono>
#include <memory>
#include <optional>
#include <set>

#include "src/core/random.h"
#include "src/net/append_queue.h"
#include "src/net/backoff.h"
#include "src/net/recent_entries.h"
#include "src/net/stream_follower.h"

namespace cowslipmast {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Maximum duration of a poll by a peer. */
inline constexpr Duration kMaxPeerWait = std::chrono::seconds(1);

/** State of a follower and its three loops: read, append, snapshot. */
struct StreamFollower::Impl
    : std::enable_shared_from_this<StreamFollower::Impl> {
  using TimerPtr = std::shared_ptr<asio::steady_timer>;
  /** A read from a peer, which may end after its timeout. */
  struct PeerRead {
    explicit PeerRead(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    bool done = false;
    std::optional<LogPage> page;
  };

  Impl(asio::io_context& io_context,
       LogClient& log_client,
       StreamId stream_id,
       const ProducerId& producer,
       uint64_t seed,
       StreamFold stream_fold,
       const StreamFollowerLimits& follower_limits);

  // Reading (stream_reader.cc).
  asio::awaitable<void> ReadLoop();
  asio::awaitable<std::optional<LogPage>> ReadPage();
  asio::awaitable<std::optional<LogPage>> ReadStore();
  asio::awaitable<std::optional<LogPage>> ReadPeer();
  asio::awaitable<void> RunPeerRead(std::shared_ptr<PeerRead> read);
  bool IsUsefulPage(const LogPage& page) const;
  bool ApplyPage(const LogPage& page);
  bool Restart(LogOffset oldest);
  void ApplyEntry(const LogEntry& entry);
  void InspectEntry(const LogEntry& entry);
  void UpdateProof(const LogPage& page);

  // Appending and snapshots (stream_appender.cc).
  asio::awaitable<void> AppendLoop();
  asio::awaitable<void> AppendUntilReadBack();
  asio::awaitable<bool> WaitForReadBack(Duration timeout);
  bool NeedsSnapshot() const;
  void ScheduleSnapshot();
  asio::awaitable<void> SnapshotAfterDelay(Duration delay);

  // Serving peers (stream_follower.cc).
  asio::awaitable<void> WaitForNewEntries(Duration wait);
  void WakeServedPeers();

  asio::awaitable<void> Sleep(Duration duration);
  bool IsComplete() const { return !fold.complete || fold.complete(); }

  asio::io_context& io;
  LogClient& log;
  StreamId stream;
  Random random;
  StreamFold fold;
  StreamFollowerLimits limits;
  PeerPageSource peer_source;
  AppendQueue queue;
  RecentEntries recent;
  StreamFollowerCounters counters;
  uint32_t page_entries;  // requested from the store
  Backoff read_backoff;
  asio::steady_timer read_timer;
  asio::steady_timer append_timer;
  asio::steady_timer snapshot_timer;
  std::set<TimerPtr> served_peer_timers;     // of peers
  std::set<TimerPtr> pending_append_timers;  // callers of Append()
  std::weak_ptr<PeerRead> peer_read;         // the latest one, while it runs
  std::optional<SteadyTime> proof;
  LogOffset known_end;
  LogOffset known_oldest;
  LogOffset last_snapshot;
  bool snapshot_scheduled = false;
  bool caught_up = false;
  bool started = false;
  bool stopped = false;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_STREAM_FOLLOWER_IMPL_H_
