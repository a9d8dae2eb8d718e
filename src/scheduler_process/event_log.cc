#include "src/scheduler_process/event_log.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipmast::sched {

namespace {

// About 1,500 lines: some seconds of the highest load while nothing reads
// standard output.
constexpr size_t kBufferBytes = 256 * 1024;

class BoundedStdoutSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void Drain() {
    while (!m_buffer.empty()) {
      const ssize_t count =
          ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
      if (count <= 0)
        return;
      m_buffer.erase(0, static_cast<size_t>(count));
    }
  }
  uint64_t dropped() const { return m_dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_buffer.size() + line.size() > kBufferBytes) {
      ++m_dropped;
      return;
    }
    m_buffer.append(line.data(), line.size());
  }
  void flush_() override { Drain(); }

 private:
  std::string m_buffer;
  uint64_t m_dropped = 0;
};

// One per process, as there is one standard output.
std::shared_ptr<BoundedStdoutSink>& Sink() {
  static auto sink = std::make_shared<BoundedStdoutSink>();
  return sink;
}

void AppendQuoted(std::string& line, std::string_view text) {
  line += nlohmann::json(std::string(text))
              .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void InitEventLog(const std::string& process) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  auto logger = std::make_shared<spdlog::logger>("events", Sink());
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","process":)" +
                          nlohmann::json(process).dump() + ",%v}",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "\"event\":\"";
  line += event;
  line += '"';
  for (const LogField& field : fields) {
    line += ",\"";
    line += field.name;
    line += "\":";
    if (const auto* number = std::get_if<int64_t>(&field.value))
      line += std::to_string(*number);
    else
      AppendQuoted(line, std::get<std::string_view>(field.value));
  }
  spdlog::info(line);
}

void FlushEventLog() {
  static uint64_t reported = 0;
  Sink()->Drain();
  const uint64_t dropped = Sink()->dropped();
  if (dropped == reported)
    return;
  LogEvent("log_lines_dropped",
           {{"count", static_cast<int64_t>(dropped - reported)}});
  reported = dropped;
}

uint64_t DroppedLogLines() {
  return Sink()->dropped();
}

}  // namespace cowslipmast::sched
