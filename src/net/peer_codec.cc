#include "src/net/peer_codec.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cowslipmast {

namespace {

constexpr int64_t kNoProofAge = -1;

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

schema::Role ToSchema(Role role) {
  return role == Role::kPlacer ? schema::Role::PLACER : schema::Role::ENTRY;
}

Role FromSchema(schema::Role role) {
  return role == schema::Role::PLACER ? Role::kPlacer : Role::kEntry;
}

template <typename Builder>
void EncodeHeaders(const std::vector<HttpHeader>& headers, Builder builder) {
  auto list = builder.initHeaders(static_cast<unsigned>(headers.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(headers[i].name);
    list[i].setValue(headers[i].value);
  }
}

std::vector<HttpHeader> DecodeHeaders(
    capnp::List<schema::Header>::Reader list) {
  std::vector<HttpHeader> headers;
  for (const auto& header : list)
    headers.push_back(
        {ToString(header.getName()), ToString(header.getValue())});
  return headers;
}

template <typename Builder>
void EncodeFreeSlots(const FreeSlots& free_slots, Builder builder) {
  auto list = builder.initFreeSlots(static_cast<unsigned>(free_slots.size()));
  unsigned i = 0;
  for (const auto& [service, free] : free_slots) {
    list[i].setService(service.value());
    list[i].setFree(static_cast<int32_t>(free.count()));
    ++i;
  }
}

FreeSlots DecodeFreeSlots(capnp::List<schema::ServiceSlots>::Reader list) {
  FreeSlots free_slots;
  for (const auto& item : list) {
    free_slots[ServiceId(ToString(item.getService()))] =
        Slots(std::max(0, item.getFree()));
  }
  return free_slots;
}

// Decodes an outcome of a newer version as unknown, never as "not run".
RequestOutcome FromSchema(schema::DeskOutcome outcome) {
  switch (outcome) {
    case schema::DeskOutcome::ANSWERED:
      return RequestOutcome::kAnswered;
    case schema::DeskOutcome::NOT_RUN:
      return RequestOutcome::kNotRun;
    default:
      return RequestOutcome::kUnknown;
  }
}

schema::DeskOutcome ToSchema(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return schema::DeskOutcome::ANSWERED;
    case RequestOutcome::kNotRun:
      return schema::DeskOutcome::NOT_RUN;
    case RequestOutcome::kUnknown:
      return schema::DeskOutcome::UNKNOWN;
  }
  return schema::DeskOutcome::UNKNOWN;
}

}  // namespace

void Encode(const Heartbeat& heartbeat, schema::Heartbeat::Builder builder) {
  builder.setProcess(heartbeat.process.value());
  builder.setRegion(heartbeat.region.value());
  builder.setRole(ToSchema(heartbeat.role));
  builder.setFoldedNext(heartbeat.folded_next.value());
  builder.setDigest(heartbeat.digest);
  builder.setDigestAt(heartbeat.digest_at.value());
  builder.setProofAgeMicros(heartbeat.proof_age ? heartbeat.proof_age->count()
                                                : kNoProofAge);
  EncodeFreeSlots(heartbeat.free_slots, builder);
  builder.setDraining(heartbeat.draining);
}

Heartbeat Decode(schema::Heartbeat::Reader reader) {
  Heartbeat heartbeat;
  heartbeat.process = ProcessId(ToString(reader.getProcess()));
  heartbeat.region = RegionId(ToString(reader.getRegion()));
  heartbeat.role = FromSchema(reader.getRole());
  heartbeat.folded_next = LogOffset(reader.getFoldedNext());
  heartbeat.digest = reader.getDigest();
  heartbeat.digest_at = LogOffset(reader.getDigestAt());
  if (reader.getProofAgeMicros() >= 0)
    heartbeat.proof_age = Duration(reader.getProofAgeMicros());
  heartbeat.free_slots = DecodeFreeSlots(reader.getFreeSlots());
  heartbeat.draining = reader.getDraining();
  return heartbeat;
}

void Encode(const RouterRequest& request,
            schema::DeskRequest::Builder builder) {
  builder.setRequestId(request.id.value());
  builder.setService(request.service.value());
  builder.setIdempotent(request.idempotent);
  builder.setResend(request.resend);
  builder.setRemainingMicros(request.remaining.count());
  builder.setMethod(request.method);
  builder.setPath(request.path);
  EncodeHeaders(request.headers, builder);
  builder.setBody(ToData(request.body));
}

RouterRequest Decode(schema::DeskRequest::Reader reader) {
  RouterRequest request;
  request.id = RequestId(ToString(reader.getRequestId()));
  request.service = ServiceId(ToString(reader.getService()));
  request.idempotent = reader.getIdempotent();
  request.resend = reader.getResend();
  request.remaining = Duration(reader.getRemainingMicros());
  request.method = ToString(reader.getMethod());
  request.path = ToString(reader.getPath());
  request.headers = DecodeHeaders(reader.getHeaders());
  request.body = ToString(reader.getBody());
  return request;
}

void Encode(const RouterReply& reply, schema::DeskReply::Builder builder) {
  builder.setOutcome(ToSchema(reply.outcome));
  builder.setReason(static_cast<uint16_t>(reply.refusal));
  builder.setStatus(reply.response.status);
  EncodeHeaders(reply.response.headers, builder);
  builder.setBody(ToData(reply.response.body));
  EncodeFreeSlots(reply.free_slots, builder);
}

RouterReply Decode(schema::DeskReply::Reader reader) {
  RouterReply reply;
  reply.outcome = FromSchema(reader.getOutcome());
  reply.refusal = static_cast<RefusalReason>(reader.getReason());
  reply.response.status = reader.getStatus();
  reply.response.headers = DecodeHeaders(reader.getHeaders());
  reply.response.body = ToString(reader.getBody());
  reply.free_slots = DecodeFreeSlots(reader.getFreeSlots());
  return reply;
}

void Encode(const LogPage& page, schema::LogPage::Builder builder) {
  const auto age = std::chrono::steady_clock::now() - page.asked_at;
  builder.setAvailable(true);
  builder.setOldest(page.oldest.value());
  builder.setEnd(page.end.value());
  builder.setExpired(page.expired);
  builder.setProofAgeMicros(std::chrono::duration_cast<Duration>(age).count());
  auto list = builder.initEntries(static_cast<unsigned>(page.entries.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setOffset(page.entries[i].offset.value());
    list[i].setData(ToData(page.entries[i].data));
  }
}

LogPage Decode(schema::LogPage::Reader reader,
               std::chrono::steady_clock::time_point asked_at) {
  LogPage page;
  page.oldest = LogOffset(reader.getOldest());
  page.end = LogOffset(reader.getEnd());
  page.expired = reader.getExpired();
  // A negative age would be a proof from the future.
  page.asked_at =
      asked_at - Duration(std::max<int64_t>(0, reader.getProofAgeMicros()));
  for (const auto& entry : reader.getEntries()) {
    page.entries.push_back(
        {LogOffset(entry.getOffset()), ToString(entry.getData())});
  }
  return page;
}

}  // namespace cowslipmast
