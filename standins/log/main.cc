#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "standins/common/run_until_signal.h"
#include "standins/common/vm_rows.h"
#include "standins/log/log_service.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "address:port to listen on");
ABSL_FLAG(uint64_t, retain, 20000, "entries kept of each stream");

int main(int argc, char** argv) {
  using namespace cowslipmast;
  using namespace cowslipmast::standins;
  absl::SetProgramUsageMessage("Stand-in for the platform's log service.");
  absl::ParseCommandLine(argc, argv);
  const auto endpoint = SplitAddress(absl::GetFlag(FLAGS_listen));
  if (!endpoint) {
    std::cerr << "--listen: expected address:port\n";
    return 64;
  }
  asio::io_context io;
  LogService service(io, absl::GetFlag(FLAGS_retain));
  return ServeUntilSignal(io, *endpoint, [&service](HttpRequest request) {
    return service.Handle(std::move(request));
  });
}
