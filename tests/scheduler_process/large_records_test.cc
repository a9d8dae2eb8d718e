// The store refuses a record of more than 256 KiB, and a call of more than
// 2 MiB, each time that they are sent. Repeated until they are accepted, they
// keep all later records from being stored.

#include <catch2/catch.hpp>

#include "src/sched/interference_codec.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/job_intake.h"
#include "src/scheduler_process/progress_writer.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

constexpr size_t kRecordLimit = 256 * 1024;
constexpr size_t kCallLimit = 2 * 1024 * 1024;

// Refuses what is too large, as the platform's store does.
struct LimitedStore {
  StorePort MakePort() {
    StorePort port;
    port.append = [this](AppendRequest request, StoreError& error) {
      return Append(std::move(request), error);
    };
    return port;
  }

  asio::awaitable<bool> Append(AppendRequest request, StoreError& error) {
    co_await Sleep(milliseconds(1));
    size_t bytes = 0;
    bool refused = false;
    for (const KeyedRecord& record : request.records) {
      refused |= record.key.size() + record.value.size() > kRecordLimit;
      bytes += record.key.size() + record.value.size();
    }
    if (refused || bytes > kCallLimit) {
      ++refusals;
      error = {StoreErrorKind::kMalformedResponse, "status 413"};
      co_return false;
    }
    for (const KeyedRecord& record : request.records)
      keys.push_back(record.key);
    co_return true;
  }

  std::vector<std::string> keys;
  size_t refusals = 0;
};

TEST_CASE("a model that is too large stops all progress", "[sched]") {
  asio::io_context io;
  LimitedStore store;
  ProgressWriter writer(store.MakePort(), CellId(0), Epoch(1));
  bool stored = false;
  const auto run = [&]() -> asio::awaitable<void> {
    std::vector<ProgressRecord> records = {
        {std::string(kInterferenceKey), std::string(kRecordLimit + 1, 'x')},
        {"job.0", "progress"}};
    stored = co_await writer.Store(std::move(records));
  };
  Spawn(io, "test", run());
  io.run_for(milliseconds(500));
  CHECK(stored);
  CHECK(store.refusals == 0);
  CHECK(store.keys == std::vector<std::string>{"job.0"});
}

TEST_CASE("submissions during a slow append exceed a call", "[sched]") {
  asio::io_context io;
  LimitedStore store;
  const auto intake =
      JobIntake::Make(io, store.MakePort(), SchedulerFeatures{});
  std::vector<std::shared_ptr<PendingRecord>> pending;
  std::vector<std::string> keys;
  for (int i = 0; i < 40; ++i) {
    keys.push_back("j/" + std::to_string(i));
    pending.push_back(
        intake->Append(CellId(0), {keys.back(), std::string(128 * 1024, 'x')}));
  }
  io.run_for(milliseconds(500));
  for (const auto& record : pending)
    CHECK(record->result == IntakeResult::kStored);
  CHECK(store.refusals == 0);
  CHECK(store.keys == keys);
}

}  // namespace
}  // namespace cowslipmast::sched
