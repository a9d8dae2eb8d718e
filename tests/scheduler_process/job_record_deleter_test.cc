// Guards against an append that the store refuses for its size: a new owner
// finds all records that nobody needs at once, and the refused append was
// repeated for ever. Also against an owner that was suspended and deletes what
// a later one needs.

#include "src/scheduler_process/job_record_deleter.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

// Of the users' store, with room for keys of 100 bytes.
constexpr size_t kMaxRecordsOfCall = 20000;

TEST_CASE("records of a job stream are deleted", "[scheduler_process]") {
  asio::io_context io;
  std::set<std::string> deleted;
  StorePort store;
  store.append = [&](AppendRequest request,
                     StoreError&) -> asio::awaitable<bool> {
    if (request.records.size() > kMaxRecordsOfCall)
      co_return false;
    for (const KeyedRecord& record : request.records)
      deleted.insert(record.key);
    co_return true;
  };
  bool has_authority = true;
  std::vector<JobId> deleted_jobs;
  JobRecordDeleter::Hooks hooks;
  hooks.may_delete = [&] { return has_authority; };
  hooks.take_keys = [](const JobId& id) {
    return std::vector<std::string>{"j/" + id.value(), "x/" + id.value()};
  };
  hooks.on_deleted = [&](const std::vector<JobId>& ids) {
    deleted_jobs.insert(deleted_jobs.end(), ids.begin(), ids.end());
  };
  const auto deleter =
      JobRecordDeleter::Make(io, store, CellId(0), std::move(hooks));
  const auto run_for = [&](milliseconds duration) {
    io.restart();
    io.run_for(duration);
  };

  SECTION("although there are many of them") {
    std::vector<std::string> keys;
    for (size_t i = 0; i <= kMaxRecordsOfCall; ++i)
      keys.push_back("x/" + std::to_string(i));
    deleter->DeleteKeys(keys);
    run_for(milliseconds(100));
    CHECK(!deleted.empty());
    run_for(milliseconds(12000));
    CHECK(deleted.size() == keys.size());
  }
  SECTION("along with their jobs") {
    deleter->DeleteJobs({JobId("a"), JobId("b")});
    run_for(milliseconds(100));
    CHECK(deleted == std::set<std::string>{"j/a", "j/b", "x/a", "x/b"});
    CHECK(deleted_jobs == std::vector<JobId>{JobId("a"), JobId("b")});
  }
  SECTION("only with a fresh proof of ownership") {
    has_authority = false;
    deleter->DeleteJobs({JobId("a")});
    run_for(milliseconds(300));
    CHECK(deleted.empty());
    CHECK(deleted_jobs.empty());
    has_authority = true;
    run_for(milliseconds(300));
    CHECK(deleted.size() == 2);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
