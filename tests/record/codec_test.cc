#include "cowslipmast/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "src/schema/record.capnp.h"

namespace cowslipmast {
namespace {

Batch MakeFullBatch() {
  const TargetId target("desk-1");
  const DataCentreId cebu("cebu");
  const Member member{ProcessId("vm1/entry/1"), VmId("vm1"), RegionId("luzon"),
                      Role::kPlacer, Endpoint{"10.0.0.1", 7001}};
  JobSpec spec;
  spec.id = JobId("job");
  spec.team = TeamId("ledger");
  spec.kind = TaskKind("sort");
  spec.task_count = 3;
  spec.resources = {MilliCores(1500), Mebibytes(64), Accelerators(2)};
  spec.run_time = Duration(42);
  spec.urgent = true;
  spec.latency_critical = true;
  spec.data_centres = {cebu, DataCentreId("bulacan")};
  const TaskProgress progress{.index = 2,
                              .attempt = Attempt(4),
                              .finished = true,
                              .failed = true,
                              .failures = 3,
                              .checkpoint = "cp"};
  const TaskOutcome outcome{TaskId{spec.id, 2}, Attempt(4),
                            TaskResult::kEvicted, "cp"};
  return Batch{
      .producer = {1, 2},
      .sequence = BatchSequence(3),
      .records = {
          UnknownRecord{}, ConfigPublished{ConfigVersion(1), "text", "ana"},
          Claim{target, member.process, Epoch(7)}, Release{cebu, Epoch(8)},
          Join{member, MembershipVersion(1)},
          Leave{member.process, member.region, Role::kEntry,
                MembershipVersion(2)},
          MembersSettled{member.region, Role::kPlacer, MembershipVersion(3)},
          VmStateSet{member.vm, VmServiceState::kQuarantined, "3 failures"},
          JobSubmitted{spec}, JobCancelled{spec.id},
          JobPlaced{spec.id, cebu, Epoch(9)},
          JobReleased{spec.id, cebu, Epoch(9), {progress}},
          TaskOutcomes{cebu, Epoch(9), {outcome}},
          Snapshot{LogOffset(11), std::string("\0\1", 2)},
          JobEnded{spec.id, cebu, Epoch(9), 2, 1}}};
}

DecodeErrorKind DecodeFailure(std::string_view entry) {
  DecodeError reason;
  REQUIRE_FALSE(DecodeBatch(entry, reason));
  return reason.kind;
}

// Encodes a batch after `change` has modified its header fields.
template <typename Change>
std::string EncodeWith(Change change) {
  const std::string entry = EncodeBatch(MakeFullBatch());
  auto words = kj::heapArray<capnp::word>(entry.size() / sizeof(capnp::word));
  memcpy(words.begin(), entry.data(), entry.size());
  capnp::FlatArrayMessageReader reader(words);
  capnp::MallocMessageBuilder builder;
  builder.setRoot(reader.getRoot<schema::Batch>());
  change(builder.getRoot<schema::Batch>());
  const auto changed = capnp::messageToFlatArray(builder);
  return {changed.asChars().begin(), changed.asChars().size()};
}

TEST_CASE("a batch is encoded and decoded without loss", "[record]") {
  const Batch batch = MakeFullBatch();
  const std::string entry = EncodeBatch(batch);
  DecodeError reason;

  SECTION("every field of every record kind") {
    // Guards against a field that is omitted or swapped with another.
    const auto decoded = DecodeBatch(entry, reason);
    REQUIRE(decoded);
    CHECK(*decoded == batch);
  }

  SECTION("invalid entries give a typed error") {
    CHECK(DecodeFailure("") == DecodeErrorKind::kTruncated);
    CHECK(DecodeFailure("hello, this is not ours") ==
          DecodeErrorKind::kUnrecognisedFormat);
    CHECK(DecodeFailure(std::string(kMaxBatchBytes + 1, '\0')) ==
          DecodeErrorKind::kTooLarge);
    CHECK(DecodeFailure(entry.substr(0, entry.size() / 2)) ==
          DecodeErrorKind::kTruncated);
    CHECK(DecodeFailure(EncodeWith([](auto root) { root.setMagic(1); })) ==
          DecodeErrorKind::kUnrecognisedFormat);
    CHECK(DecodeFailure(EncodeWith([](auto root) { root.setVersion(2); })) ==
          DecodeErrorKind::kUnknownVersion);
    CHECK(DecodeFailure(EncodeWith([](auto root) {
            root.initRecords(100'001);
          })) == DecodeErrorKind::kTooLarge);
  }

  SECTION("values of a newer version become unknown records") {
    // Guards against decoding a new value as one that this version knows.
    const auto decoded = DecodeBatch(
        EncodeWith([](auto root) {
          auto claim = root.getRecords()[2].getClaim();
          // The tag of the union is the first word of the struct.
          capnp::AnyStruct::Builder(capnp::toAny(claim.getResource()))
              .getDataSection()[0] = 9;
          root.getRecords()[4].getJoin().getMember().setRole(
              static_cast<schema::Role>(9));
          capnp::AnyStruct::Builder(capnp::toAny(root.getRecords()[7]))
              .getDataSection()[0] = 200;
        }),
        reason);
    REQUIRE(decoded);
    CHECK(decoded->records[2] == Record(UnknownRecord{}));
    CHECK(decoded->records[4] == Record(UnknownRecord{}));
    CHECK(decoded->records[7] == Record(UnknownRecord{}));
    CHECK(decoded->records[8] == batch.records[8]);
  }

  SECTION("a corrupted entry gives an error or another batch, never a crash") {
    CHECK(rc::check([&] {
      std::string damaged = entry;
      const int count = *rc::gen::inRange(1, 6);
      for (int i = 0; i < count; ++i)
        damaged[*rc::gen::inRange<size_t>(0, entry.size())] =
            static_cast<char>(*rc::gen::inRange(0, 256));
      damaged.resize(*rc::gen::inRange<size_t>(0, entry.size() + 1));
      DecodeError ignored;
      DecodeBatch(damaged, ignored);
    }));
  }
}

}  // namespace
}  // namespace cowslipmast
