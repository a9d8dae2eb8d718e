#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "standins/common/run_until_signal.h"
#include "standins/common/vm_rows.h"
#include "standins/worker/worker_service.h"

ABSL_FLAG(std::string, vms, "", "JSON file with the VM list");
ABSL_FLAG(std::string, kinds, "", "JSON file with the behaviour of task kinds");
ABSL_FLAG(std::string, control, "127.0.0.1:7003", "address:port for control");
ABSL_FLAG(absl::Duration,
          usage_lag,
          absl::Seconds(2),
          "interval between samples of the resource usage");
ABSL_FLAG(absl::Duration,
          checkpoint_time,
          absl::Milliseconds(200),
          "time that a checkpoint takes");
ABSL_FLAG(absl::Duration,
          drain_limit,
          absl::Seconds(3),
          "time after a drain until a task start becomes a violation");

namespace cowslipmast::standins {
namespace {

Duration ToDuration(absl::Duration time) {
  return Duration(absl::ToInt64Microseconds(time));
}

std::optional<TaskKindTable> LoadTaskKinds(const std::string& path) {
  if (path.empty())
    return TaskKindTable();
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto json = ParseObject(text);
  return json ? TaskKindTable::FromJson(*json) : std::nullopt;
}

int Serve(const std::vector<VmInfo>& workers,
          const Endpoint& control,
          const TaskKindTable& table,
          const WorkerServiceOptions& options) {
  asio::io_context io;
  WorkerService service(io, workers, table, options);
  NetError reason;
  std::map<Endpoint, std::unique_ptr<FaultInjectionServer>> servers;
  servers[control];
  for (const VmInfo& vm : workers)
    servers[vm.endpoint];
  for (auto& [endpoint, server] : servers) {
    server = FaultInjectionServer::Make(
        io, endpoint,
        [&service](HttpRequest request) {
          return service.Handle(std::move(request));
        },
        reason);
    if (server)
      continue;
    std::cerr << NetErrorName(reason.kind) << ": " << reason.detail << "\n";
    return 1;
  }
  asio::co_spawn(io, service.AdvanceLoop(), asio::detached);
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace cowslipmast::standins

int main(int argc, char** argv) {
  using namespace cowslipmast;
  using namespace cowslipmast::standins;
  absl::SetProgramUsageMessage("Stand-in for all workers of a scenario.");
  absl::ParseCommandLine(argc, argv);
  const auto workers = LoadVmRows(absl::GetFlag(FLAGS_vms), VmKind::kWorker);
  const auto control = SplitAddress(absl::GetFlag(FLAGS_control));
  const auto table = LoadTaskKinds(absl::GetFlag(FLAGS_kinds));
  if (!workers || !control || !table) {
    std::cerr << "--vms, --control or --kinds is not valid; see --help\n";
    return 64;
  }
  WorkerServiceOptions options;
  options.worker.usage_lag = ToDuration(absl::GetFlag(FLAGS_usage_lag));
  options.worker.checkpoint_time =
      ToDuration(absl::GetFlag(FLAGS_checkpoint_time));
  options.drain_limit = ToDuration(absl::GetFlag(FLAGS_drain_limit));
  return Serve(*workers, *control, *table, options);
}
