#include <iostream>
#include <memory>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "standins/common/run_until_signal.h"
#include "standins/common/vm_rows.h"
#include "standins/target/target_service.h"

ABSL_FLAG(std::string, vms, "", "JSON file with the VM list");
ABSL_FLAG(std::string, control, "127.0.0.1:7002", "address:port for control");
ABSL_FLAG(absl::Duration,
          service_time,
          absl::Milliseconds(20),
          "mean time to serve a request");
ABSL_FLAG(std::string,
          distribution,
          "exponential",
          "distribution of the service time: constant, uniform or exponential");
ABSL_FLAG(uint64_t, seed, 1, "seed of the service times");

namespace cowslipmast::standins {
namespace {

int Serve(const std::vector<VmInfo>& targets,
          const Endpoint& control,
          const TargetServiceOptions& options) {
  asio::io_context io;
  TargetService service(io, targets, options);
  NetError reason;
  std::vector<std::unique_ptr<FaultInjectionServer>> servers;
  for (size_t i = 0; i < targets.size(); ++i) {
    servers.push_back(FaultInjectionServer::Make(
        io, targets[i].endpoint,
        [&service, i](HttpRequest request) {
          return service.Handle(i, std::move(request));
        },
        reason));
  }
  servers.push_back(FaultInjectionServer::Make(
      io, control,
      [&service](HttpRequest request) {
        return service.HandleControl(std::move(request));
      },
      reason));
  for (const auto& server : servers) {
    if (server)
      continue;
    std::cerr << NetErrorName(reason.kind) << ": " << reason.detail << "\n";
    return 1;
  }
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace cowslipmast::standins

int main(int argc, char** argv) {
  using namespace cowslipmast;
  using namespace cowslipmast::standins;
  absl::SetProgramUsageMessage("Stand-in for all targets of a scenario.");
  absl::ParseCommandLine(argc, argv);
  const auto targets = LoadVmRows(absl::GetFlag(FLAGS_vms), VmKind::kTarget);
  const auto control = SplitAddress(absl::GetFlag(FLAGS_control));
  const auto distribution =
      ParseDistribution(absl::GetFlag(FLAGS_distribution));
  if (!targets || !control || !distribution) {
    std::cerr
        << "--vms, --control or --distribution is not valid; see --help\n";
    return 64;
  }
  const TargetServiceOptions options{
      .service_time = Duration(
          absl::ToInt64Microseconds(absl::GetFlag(FLAGS_service_time))),
      .distribution = *distribution,
      .seed = absl::GetFlag(FLAGS_seed)};
  return Serve(*targets, *control, options);
}
