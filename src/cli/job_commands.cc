#include <algorithm>
#include <utility>

#include "src/cli/command.h"
#include "src/cli/command_table.h"
#include "src/cli/daemon_call.h"
#include "src/cli/job_file.h"
#include "src/cli/read_file.h"

namespace cowslipmast {

namespace {

bool HasJobFlags(const CliOptions& options) {
  const CommandSpec* command = FindCommand({"job", "submit"});
  return std::any_of(
      command->flags.begin(), command->flags.end(), [&](const FlagHelp& flag) {
        return options.given_flags.contains(std::string(flag.name));
      });
}

std::optional<JobRequest> ReadJob(const CliOptions& options,
                                  const PositionalArgs& args,
                                  CommandResult& result) {
  if (args.empty())
    return options.job;
  if (HasJobFlags(options)) {
    result =
        MakeResult(ExitCode::kUsage,
                   "a job is described by a file or by flags, not by both");
    return std::nullopt;
  }
  const auto text = ReadFile(args[0], kMaxJobFileBytes);
  if (!text) {
    result = MakeResult(ExitCode::kInvalidInput,
                        args[0] + ": the file cannot be read");
    return std::nullopt;
  }
  JobFileError error;
  auto job = ParseJobFile(*text, error);
  if (!job)
    result =
        MakeResult(ExitCode::kInvalidInput,
                   args[0] + ": " + error.key + ": expected " + error.expected);
  return job;
}

CommandResult MakeBadJobId() {
  return MakeResult(ExitCode::kInvalidInput,
                    "a job id has 1 to 128 characters of A-Z a-z 0-9 . - _");
}

}  // namespace

CommandCoroutine JobSubmit(CommandContext context, PositionalArgs args) {
  CommandResult result;
  auto job = ReadJob(context.options, args, result);
  if (!job)
    co_return result;
  JobFileError error;
  if (!CheckJob(*job, error))
    co_return MakeResult(ExitCode::kInvalidInput,
                         error.key + ": expected " + error.expected);
  if (job->id.empty())
    job->id = MakeJobId();
  const std::string id = job->id;
  // Printed now, so that the operator has the id even if the tool is
  // interrupted while it waits.
  if (context.options.print_immediately)
    context.options.print_immediately("job " + id);
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = JobToJson(*job);
  result = co_await CallDaemon(std::move(context), std::move(request),
                               "the submission of job " + id);
  result.data["job"] = id;
  co_return result;
}

CommandCoroutine JobStatus(CommandContext context, PositionalArgs args) {
  if (!IsJobId(args[0]))
    co_return MakeBadJobId();
  HttpRequest request;
  request.path = "/v1/jobs/" + args[0];
  co_return co_await CallDaemon(std::move(context), std::move(request), "");
}

CommandCoroutine JobCancel(CommandContext context, PositionalArgs args) {
  if (!IsJobId(args[0]))
    co_return MakeBadJobId();
  HttpRequest request;
  request.method = "DELETE";
  request.path = "/v1/jobs/" + args[0];
  co_return co_await CallDaemon(std::move(context), std::move(request),
                                "the cancellation of job " + args[0]);
}

}  // namespace cowslipmast
