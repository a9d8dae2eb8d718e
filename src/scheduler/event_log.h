#ifndef COWSLIPMAST_SRC_SCHEDULER_EVENT_LOG_H_
#define COWSLIPMAST_SRC_SCHEDULER_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace cowslipmast::sched {

/** One named value of a log line. */
struct LogField {
  std::string_view name;
  std::variant<int64_t, std::string_view> value;
};

/** Sends log lines to standard output through a bounded buffer. */
void InitEventLog(const std::string& process);

/** Writes one JSON line. Never blocks: the line is dropped and counted if the
 * buffer is full. */
void LogEvent(std::string_view event, std::initializer_list<LogField> fields);

/** Writes what the buffer holds, as far as standard output takes it. */
void FlushEventLog();

/** Lines that found the buffer full. */
uint64_t DroppedLogLines();

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_EVENT_LOG_H_
