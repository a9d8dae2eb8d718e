#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "standins/common/run_until_signal.h"
#include "standins/common/vm_rows.h"
#include "standins/vm_list/vm_list_service.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7001", "address:port to listen on");
ABSL_FLAG(std::string, vms, "", "JSON file with the VM list");
ABSL_FLAG(absl::Duration,
          lag,
          absl::Milliseconds(500),
          "time until the list shows a change");

int main(int argc, char** argv) {
  using namespace cowslipmast;
  using namespace cowslipmast::standins;
  absl::SetProgramUsageMessage("Stand-in for the platform's list of VMs.");
  absl::ParseCommandLine(argc, argv);
  const auto endpoint = SplitAddress(absl::GetFlag(FLAGS_listen));
  VmRowsError rows_reason;
  auto rows = ReadVmListFile(absl::GetFlag(FLAGS_vms), rows_reason);
  if (!endpoint || !rows) {
    std::cerr << "--listen or --vms is not valid: " << rows_reason.detail
              << "\n";
    return 64;
  }
  asio::io_context io;
  VmListService service(
      std::move(*rows),
      Duration(absl::ToInt64Microseconds(absl::GetFlag(FLAGS_lag))));
  return ServeUntilSignal(io, *endpoint, [&service](HttpRequest request) {
    return service.Handle(std::move(request));
  });
}
