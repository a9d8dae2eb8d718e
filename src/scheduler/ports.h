#ifndef COWSLIPMAST_SRC_SCHEDULER_PORTS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PORTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler/manifest.h"

namespace cowslipmast::sched {

/** Streams of records that the system shares through the platform's store. Each
 * keeps the newest record of every key. */
enum class Topic {
  kOperator,  // what operators want; read only
  kWorkers,   // workers that announce themselves; read only
  kJobs,      // accepted submissions and cancellations
  kProgress,  // the owner's record of what runs where
  kOwner,     // claims of ownership
};

enum class StoreErrorKind {
  kUnavailable,  // refused, or not reached: nothing was done
  kUnknown,      // no answer: it may have been done, or may be done later
  kFenced,       // a later epoch has written
  kConflict,     // the condition did not hold: nothing was done
  kTrimmed,      // the records asked for are gone
  kNoSuchTopic,  // nobody has written to it yet
  kBadAnswer,
};

struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kUnavailable;
  std::string detail;
};

struct KeyedRecord {
  std::string key;
  std::string value;  // empty: the key is deleted
};

/** Makes an append idempotent and refuses it after a later epoch. */
struct ProducerStamp {
  uint64_t epoch = 0;
  uint64_t sequence = 0;
};

struct AppendRequest {
  Topic topic = Topic::kJobs;
  std::vector<KeyedRecord> records;  // none: only sets the epoch
  std::optional<uint64_t> at;        // only if the stream ends there
  std::optional<ProducerStamp> producer;
  Duration timeout{0};
};

/** The newest record of each key, and where to follow on from. */
struct TopicSnapshot {
  std::vector<KeyedRecord> records;
  uint64_t end = 0;
};

/** The platform's store. */
struct StorePort {
  std::function<asio::awaitable<bool>(AppendRequest, StoreError&)> append;
  std::function<asio::awaitable<std::optional<TopicSnapshot>>(Topic,
                                                              StoreError&)>
      read_newest;
  /** Records from an offset on, waiting up to `wait` for one; `end` is where
   * to follow on from. */
  std::function<asio::awaitable<std::optional<
      TopicSnapshot>>(Topic, uint64_t from, Duration wait, StoreError&)>
      follow;
};

struct ListRequest {
  uint64_t fence = 0;
  uint64_t acknowledged_ends = 0;
  std::optional<WorkerClock> lease_end;
  Duration wait{0};  // for an end
};

enum class WorkerCallError {
  kNoAnswer,       // the call may have been carried out, or may be later
  kOtherInstance,  // another start of the worker answered
  kFenced,         // the worker has seen a later owner
  kRefused,        // the worker answered, and did nothing
};

/** Answer to a start, with nothing where it was taken. */
struct StartOutcome {
  bool answered = false;
  std::optional<StartRefusal> refusal;
};

/** Commands to workers. */
struct WorkerPort {
  std::function<asio::awaitable<std::optional<WorkerListing>>(WorkerInfo,
                                                              ListRequest,
                                                              WorkerCallError&)>
      list;
  std::function<asio::awaitable<
      StartOutcome>(WorkerInfo, StartRunCommand, uint64_t fence, WorkerClock)>
      start;
  /** True once the worker has confirmed it. */
  std::function<
      asio::awaitable<bool>(WorkerInfo, StopRunCommand, uint64_t fence)>
      stop;
  std::function<asio::awaitable<bool>(WorkerInfo, PaceCommand, uint64_t fence)>
      pace;
  /** Forgets open connections to a worker that went silent. */
  std::function<void(const WorkerInfo&)> drop_connections;
};

/** Reads records that others write into the store. */
struct RecordReaders {
  /** Nothing for an entry that names no worker to use. */
  std::function<std::optional<WorkerInfo>(const KeyedRecord&)> worker;
  /** Takes one of the operators' records into the wishes; false if it cannot
   * be read. */
  std::function<bool(const KeyedRecord&, Manifest&)> wish;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PORTS_H_
