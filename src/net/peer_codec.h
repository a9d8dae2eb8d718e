#ifndef COWSLIPMAST_SRC_NET_PEER_CODEC_H_
#define COWSLIPMAST_SRC_NET_PEER_CODEC_H_

#include "src/net/log_client.h"
#include "src/net/peer_message.h"
#include "src/schema/peer.capnp.h"

namespace cowslipmast {

void Encode(const Heartbeat& heartbeat, schema::Heartbeat::Builder builder);
Heartbeat Decode(schema::Heartbeat::Reader reader);

void Encode(const RouterRequest& request, schema::DeskRequest::Builder builder);
RouterRequest Decode(schema::DeskRequest::Reader reader);

void Encode(const RouterReply& reply, schema::DeskReply::Builder builder);
RouterReply Decode(schema::DeskReply::Reader reader);

/** Encodes the age of the proof of the page, because clocks differ. */
void Encode(const LogPage& page, schema::LogPage::Builder builder);
/** `asked_at` is when this process sent the request to the peer. */
LogPage Decode(schema::LogPage::Reader reader,
               std::chrono::steady_clock::time_point asked_at);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_CODEC_H_
