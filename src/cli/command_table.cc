#include "src/cli/command_table.h"

#include <algorithm>
#include <array>

#include "src/core/strings.h"

namespace cowslipmast {

namespace {

constexpr std::array<FlagHelp, 5> kGlobalFlags = {{
    {"store", "IP:PORT", "log service, for config, dc and vm"},
    {"daemon", "IP:PORT",
     "admin port of a process, for status and dump, or of a placer, for job"},
    {"output", "text|json", "format of the result (default text)"},
    {"timeout", "DURATION", "limit of the whole command (default 10s)"},
    {"author", "NAME", "author recorded with each change (default: $USER)"},
}};

constexpr std::array<FlagHelp, 1> kPublishFlags = {{
    {"base", "N",
     "publish only if N is the current version (default: the version when the "
     "command starts)"},
}};

constexpr std::array<FlagHelp, 1> kShowFlags = {{
    {"version", "N", "show version N, if the log still holds it"},
}};

constexpr std::array<FlagHelp, 1> kVmFlags = {{
    {"cause", "TEXT", "reason recorded with the change"},
}};

constexpr std::array<FlagHelp, 11> kJobFlags = {{
    {"id", "ID", "id of the job (default: a new one)"},
    {"team", "TEAM", "team whose quota is used"},
    {"kind", "KIND", "kind of task, as known to the workers"},
    {"task_count", "N", "number of equal tasks (default 1)"},
    {"cpu_millis", "N", "processor time of one task; 1000 is one core"},
    {"memory_mib", "N", "memory of one task, in MiB"},
    {"accelerators", "N", "accelerators of one task (default 0)"},
    {"run_ms", "N", "expected run time of one task, in milliseconds"},
    {"urgent", "", "start before the other jobs of the team"},
    {"latency_critical", "", "give priority over batch jobs"},
    {"data_centres", "ID,...", "allowed data centres (default: any)"},
}};

constexpr std::string_view kChangeDetails =
    "Exit code 4 means that the outcome is not known. Run the same command\n"
    "again: it changes nothing if the VM already has this state.";

constexpr std::array<CommandSpec, 14> kCommands = {{
    {"config check",
     "FILE",
     "check a configuration text",
     "Reports all errors with line and column. FILE may be - for standard\n"
     "input. Connects to no other process.",
     1,
     1,
     CommandPeer::kNone,
     {},
     ConfigCheck},
    {"config publish", "FILE", "publish a configuration text",
     "Replaces the current version, or version N with --base=N. If another\n"
     "publish comes first, nothing is changed, the exit code is 2 and the "
     "lines\n"
     "that differ from the current version are printed. The same text is not\n"
     "published twice, so the command can be repeated after exit code 4.",
     1, 1, CommandPeer::kStore, kPublishFlags, ConfigPublish},
    {"config show", "", "print the current configuration text",
     "Prints the text of the current version, or of --version=N.", 0, 0,
     CommandPeer::kStore, kShowFlags, ConfigShow},
    {"config history",
     "",
     "list the versions that the log still holds",
     "Lists version, offset in the log, author and changed entries.",
     0,
     0,
     CommandPeer::kStore,
     {},
     ConfigHistory},
    {"dc drain",
     "ID",
     "take a data centre out of service",
     "Sets the state of the data centre to \"out\" in the configuration and\n"
     "publishes it; retries if another publish comes first. Within a few\n"
     "seconds no more tasks start there and its targets get no new requests.",
     1,
     1,
     CommandPeer::kStore,
     {},
     DcDrain},
    {"dc return",
     "ID",
     "return a data centre to service",
     "Sets the state of the data centre to \"in\" in the configuration and\n"
     "publishes it; retries if another publish comes first.",
     1,
     1,
     CommandPeer::kStore,
     {},
     DcReturn},
    {"vm drain", "ID", "give a VM no new work", kChangeDetails, 1, 1,
     CommandPeer::kStore, kVmFlags, VmDrain},
    {"vm quarantine", "ID", "treat a VM as broken", kChangeDetails, 1, 1,
     CommandPeer::kStore, kVmFlags, VmQuarantine},
    {"vm repair", "ID", "return a VM to service", kChangeDetails, 1, 1,
     CommandPeer::kStore, kVmFlags, VmRepair},
    {"job submit", "[FILE]", "submit a job from a JSON file or from flags",
     "Prints the id of the job before the job is sent. Submitting again with\n"
     "the same --id does not create a second job, so the command can be\n"
     "repeated after exit code 4. The keys of the file are the names of the\n"
     "flags below.",
     0, 1, CommandPeer::kDaemon, kJobFlags, JobSubmit},
    {"job status",
     "ID",
     "print the state of a job",
     "",
     1,
     1,
     CommandPeer::kDaemon,
     {},
     JobStatus},
    {"job cancel",
     "ID",
     "cancel a job",
     "Cancelling a job again has no effect.",
     1,
     1,
     CommandPeer::kDaemon,
     {},
     JobCancel},
    {"status",
     "",
     "print the status of a process",
     "",
     0,
     0,
     CommandPeer::kDaemon,
     {},
     ShowStatus},
    {"dump",
     "",
     "print the state of a process",
     "",
     0,
     0,
     CommandPeer::kDaemon,
     {},
     ShowDump},
}};

}  // namespace

std::span<const CommandSpec> AllCommands() {
  return kCommands;
}

std::span<const FlagHelp> GlobalFlags() {
  return kGlobalFlags;
}

size_t CommandNameWords(const CommandSpec& command) {
  return Split(command.name, ' ').size();
}

const CommandSpec* FindCommand(const PositionalArgs& args) {
  for (const CommandSpec& command : kCommands) {
    const auto name = Split(command.name, ' ');
    if (args.size() >= name.size() &&
        std::equal(name.begin(), name.end(), args.begin()))
      return &command;
  }
  return nullptr;
}

}  // namespace cowslipmast
