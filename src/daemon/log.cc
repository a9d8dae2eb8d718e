#include "src/daemon/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipmast {

namespace {

// Escapes the message as a JSON string, so that the line stays valid JSON.
class JsonMessageFlag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message,
              const std::tm&,
              spdlog::memory_buf_t& dest) override {
    const std::string text =
        nlohmann::json(
            std::string(message.payload.data(), message.payload.size()))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    dest.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return spdlog::details::make_unique<JsonMessageFlag>();
  }
};

std::unique_ptr<spdlog::formatter> MakeJsonFormatter(
    const std::string& process) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>(
      spdlog::pattern_time_type::utc);
  formatter->add_flag<JsonMessageFlag>('*').set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","process":)" +
      nlohmann::json(process).dump() + R"(,"event":%*})");
  return formatter;
}

}  // namespace

void InitLogging(LogFormat format, const std::string& process) {
  auto logger = spdlog::stderr_logger_st("cowslipmast");
  if (format == LogFormat::kJson)
    logger->set_formatter(MakeJsonFormatter(process));
  else
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L " + process + " %v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace cowslipmast
