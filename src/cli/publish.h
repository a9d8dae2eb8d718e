#ifndef COWSLIPMAST_SRC_CLI_PUBLISH_H_
#define COWSLIPMAST_SRC_CLI_PUBLISH_H_

#include <string>

#include "src/cli/control_log.h"
#include "src/net/net_error.h"

namespace cowslipmast {

enum class PublishOutcome {
  kAccepted,
  kConflict,  // another version became current first
  kRefused,   // the text was read back and rejected as invalid
  kNotSent,
  kUnknown,
};

/** Appends a publish and reads the log to find out whether it was accepted. */
asio::awaitable<PublishOutcome> Publish(ControlLog& log,
                                        ConfigPublished record,
                                        NetError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_PUBLISH_H_
