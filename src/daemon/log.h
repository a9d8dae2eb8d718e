#ifndef COWSLIPMAST_SRC_DAEMON_LOG_H_
#define COWSLIPMAST_SRC_DAEMON_LOG_H_

#include <string>

namespace cowslipmast {

enum class LogFormat { kText, kJson };

/** Logs to standard error; each line has `process` as a field. */
void InitLogging(LogFormat format, const std::string& process);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_LOG_H_
