#ifndef COWSLIPMAST_SRC_NET_PEER_LINK_H_
#define COWSLIPMAST_SRC_NET_PEER_LINK_H_

namespace cowslipmast {

/** Connectivity of one peer. */
enum class PeerLink { kUp, kSuspect, kDown };

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_LINK_H_
