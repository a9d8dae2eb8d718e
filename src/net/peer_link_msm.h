#ifndef COWSLIPMAST_SRC_NET_PEER_LINK_MSM_H_
#define COWSLIPMAST_SRC_NET_PEER_LINK_MSM_H_

#include <memory>

#include "src/net/peer_link.h"

namespace cowslipmast {

/** Events of the connections to one peer. */
enum class PeerLinkEvent {
  kAnswered,       // response on the current connection
  kFreshAnswered,  // response on the second connection, opened in parallel
  kUnresponsive,   // no response for 1.5 s
  kExpired,        // no response on either connection for 5 s
  kRetry,          // time to reconnect to a peer that is down
};

/** Actions on the connections after an event. */
struct PeerLinkActions {
  bool open_fresh = false;
  bool keep_fresh = false;  // the fresh connection replaces the current one
  bool drop_fresh = false;
  bool drop_all = false;
};

/** State machine of the connections to one peer. */
class PeerLinkMachine {
 public:
  static std::unique_ptr<PeerLinkMachine> Make();
  ~PeerLinkMachine();

  PeerLinkActions Process(PeerLinkEvent event);
  PeerLink state() const;

 private:
  struct Impl;
  explicit PeerLinkMachine(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_LINK_MSM_H_
