#include "cowslipmast/codec.h"

#include <kj/exception.h>

#include <cstdint>

#include "src/record/message.h"
#include "src/record/record_reader.h"
#include "src/record/record_writer.h"

namespace cowslipmast {

namespace {

// "cowslipm" in ASCII.
constexpr uint64_t kMagic = 0x636f77736c69706d;
// Must be increased when the previous version can no longer read new entries;
// new record kinds and fields do not require it.
constexpr uint32_t kFormatVersion = 1;
// Decoded records are larger than their encoding; limits the memory that a
// malicious entry can use.
constexpr uint32_t kMaxRecords = 100'000;

std::optional<Batch> ReadBatch(schema::Batch::Reader from,
                               DecodeError& reason) {
  if (from.getMagic() != kMagic) {
    reason = {DecodeErrorKind::kUnrecognisedFormat};
    return std::nullopt;
  }
  if (from.getVersion() != kFormatVersion) {
    reason = {DecodeErrorKind::kUnknownVersion};
    return std::nullopt;
  }
  Batch batch;
  batch.producer = {from.getProducerHigh(), from.getProducerLow()};
  batch.sequence = BatchSequence(from.getSequence());
  const auto records = from.getRecords();
  if (records.size() > kMaxRecords) {
    reason = {DecodeErrorKind::kTooLarge};
    return std::nullopt;
  }
  batch.records.reserve(records.size());
  for (schema::Record::Reader record : records)
    batch.records.push_back(ReadRecord(record));
  return batch;
}

}  // namespace

std::string EncodeBatch(const Batch& batch) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::Batch>();
  root.setMagic(kMagic);
  root.setVersion(kFormatVersion);
  root.setProducerHigh(batch.producer.high);
  root.setProducerLow(batch.producer.low);
  root.setSequence(batch.sequence.value());
  auto records = root.initRecords(batch.records.size());
  for (uint32_t i = 0; i < records.size(); ++i)
    WriteRecord(batch.records[i], records[i]);
  return EncodeMessage(message);
}

std::optional<Batch> DecodeBatch(std::string_view entry, DecodeError& reason) {
  const auto words = CopyMessage(entry, reason);
  if (!words)
    return std::nullopt;
  try {
    capnp::FlatArrayMessageReader message(*words,
                                          MakeReaderOptions(words->size()));
    return ReadBatch(message.getRoot<schema::Batch>(), reason);
  } catch (const kj::Exception&) {
    reason = {DecodeErrorKind::kMalformed};
    return std::nullopt;
  }
}

}  // namespace cowslipmast
