#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_EVENT_LOG_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_EVENT_LOG_H_

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

/** Makes the default logger write to standard output through a bounded buffer;
 * `process` is part of each line. */
void InitEventLog(const std::string& process);

/** Logs one JSON line without blocking; the line is dropped and counted if the
 * buffer is full. */
void LogEvent(std::string_view event, std::initializer_list<LogField> fields);

/** Writes the buffered lines to standard output, as far as it accepts them
 * without blocking. */
void FlushEventLog();

/** Number of lines dropped because the buffer was full. */
uint64_t DroppedLogLines();

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_EVENT_LOG_H_
