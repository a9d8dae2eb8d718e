#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLATFORM_PORTS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLATFORM_PORTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler_process/manifest.h"

namespace cowslipmast::sched {

/** Streams of keyed records in the platform's store. Each keeps the newest
 * record of every key. */
enum class StoreTopic {
  kOperator,  // the operators' settings; read only
  kWorkers,   // workers announce themselves here; read only
  kJobs,      // accepted submissions and cancellations
  kProgress,  // the owner's records of the runs and their workers
  kOwner,     // the layout of the cells, and claims of ownership
};

/** A topic, or the part of a topic that belongs to one cell. */
struct StoreStream {
  // Not explicit: topics that are not divided among cells are named alone.
  StoreStream(StoreTopic stream_topic, CellId stream_cell = CellId())
      : topic(stream_topic), cell(stream_cell) {}

  StoreTopic topic;
  CellId cell;
};

enum class StoreErrorKind {
  kUnavailable,    // refused or not reached: not applied
  kUnknown,        // no response: may have been applied, or may be later
  kFenced,         // a later epoch has written
  kOutOfSequence,  // not the next append of its producer: not applied
  kConflict,       // the expected end offset was wrong: not applied
  kTrimmed,        // the requested records have been deleted
  kNoSuchTopic,    // nobody has written to it yet
  kMalformedResponse,
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
  StoreStream stream = StoreTopic::kJobs;
  std::vector<KeyedRecord> records;  // empty: only sets the producer's epoch
  // If set, the append fails unless the stream ends at this offset.
  std::optional<uint64_t> expected_end;
  std::optional<ProducerStamp> producer;
  Duration timeout{0};
};

/** Records of a topic, and the offset to read on from. */
struct TopicSnapshot {
  std::vector<KeyedRecord> records;
  uint64_t end = 0;
};

/** Calls to the platform's store. */
struct StorePort {
  std::function<asio::awaitable<bool>(AppendRequest, StoreError&)> append;
  std::function<asio::awaitable<std::optional<TopicSnapshot>>(StoreStream,
                                                              StoreError&)>
      read_newest;
  /** Newest record of a key, with an empty value if there is none. Cheap for
   * the last keys of a stream: those that follow are read as well. */
  std::function<asio::awaitable<std::optional<KeyedRecord>>(StoreStream,
                                                            std::string key,
                                                            StoreError&)>
      read_record;
  /** Reads records from an offset on, waiting up to `wait` for one; `end` of
   * the result is the offset to read on from. */
  std::function<asio::awaitable<std::optional<
      TopicSnapshot>>(StoreStream, uint64_t from, Duration wait, StoreError&)>
      follow;
};

/** What a listing request tells one instance of a worker. */
struct InstanceTerms {
  WorkerInstance instance;
  uint64_t acknowledged_ends = 0;
  std::optional<WorkerClock> lease_end;
};

struct ListRequest {
  uint64_t fence = 0;
  /** Without terms any instance responds, and none is told anything. */
  std::optional<InstanceTerms> terms;
  Duration wait{0};  // how long the worker waits for a run to end
  /** How long to wait for the response beyond `wait`. */
  Duration response_margin{0};
};

enum class WorkerCallError {
  kNoResponse,     // may have been carried out, or may be later
  kOtherInstance,  // the worker has restarted since
  kOtherWorker,    // another worker answered
  kFenced,         // the worker has seen a later owner
  kRefused,        // the worker answered, but did not carry it out
};

/** Response to a start command; `refusal` is empty if the worker accepted it.
 */
struct StartOutcome {
  bool got_response = false;
  std::optional<StartRefusal> refusal;
};

/** Calls to workers. A command, a lease end or an acknowledgement reaches the
 * instance that it names or none. */
struct WorkerPort {
  std::function<asio::awaitable<std::optional<WorkerListing>>(WorkerInfo,
                                                              ListRequest,
                                                              WorkerCallError&)>
      list;
  std::function<asio::awaitable<
      StartOutcome>(WorkerInfo, StartRunCommand, uint64_t fence, WorkerClock)>
      start;
  /** True once the worker has confirmed the stop. */
  std::function<
      asio::awaitable<bool>(WorkerInfo, StopRunCommand, uint64_t fence)>
      stop;
  std::function<asio::awaitable<bool>(WorkerInfo, PaceCommand, uint64_t fence)>
      pace;
  /** Closes idle connections to a worker that stopped responding. */
  std::function<void(const WorkerInfo&)> drop_connections;
};

/** Decoders of records that others write to the store. */
struct RecordDecoders {
  /** Returns nothing for an entry that does not describe a usable worker. */
  std::function<std::optional<WorkerInfo>(const KeyedRecord&)> worker;
  /** Adds one of the operators' records to the manifest; false if the record is
   * malformed. */
  std::function<bool(const KeyedRecord&, Manifest&)> operator_setting;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLATFORM_PORTS_H_
