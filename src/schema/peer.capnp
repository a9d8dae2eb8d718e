@0xb8f3d41c6a2e9075;
# Protocol between the processes of the system. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
using Rec = import "record.capnp";
$Cxx.namespace("cowslipmast::schema");

struct ServiceSlots {
  service @0 :Text;
  free @1 :Int32;
}

struct Heartbeat {
  process @0 :Text;
  region @1 :Text;
  role @2 :Rec.Role;
  foldedNext @3 :UInt64;      # offset of the next control entry to fold
  digest @4 :UInt64;          # xxHash of the control fold at digestAt
  proofAgeMicros @5 :Int64;   # age of the sender's proof of freshness; negative if none
  freeSlots @6 :List(ServiceSlots);
  draining @7 :Bool;
  digestAt @8 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct DeskRequest {
  requestId @0 :Text;
  service @1 :Text;
  idempotent @2 :Bool;
  remainingMicros @3 :Int64;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  resend @8 :Bool;
}

enum DeskOutcome { answered @0; notRun @1; unknown @2; }

struct DeskReply {
  outcome @0 :DeskOutcome;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  freeSlots @4 :List(ServiceSlots);
  reason @5 :UInt16;  # RefusalReason, for notRun and unknown
}

struct LogEntry {
  offset @0 :UInt64;
  data @1 :Data;
}

struct LogPage {
  oldest @0 :UInt64;
  end @1 :UInt64;
  expired @2 :Bool;  # the requested offset is older than `oldest`
  available @3 :Bool;  # false if the peer does not follow the stream
  proofAgeMicros @4 :Int64;
  entries @5 :List(LogEntry);
}

interface Peer {
  heartbeat @0 (from :Heartbeat) -> (reply :Heartbeat);
  forward @1 (request :DeskRequest) -> (reply :DeskReply);
  readLog @2 (stream :Text, from :UInt64, maxEntries :UInt32, waitMillis :UInt32) -> (page :LogPage);
}
