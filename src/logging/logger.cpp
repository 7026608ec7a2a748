#include "logging/logger.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 4> level_names{"error", "warning", "info", "debug"};

constexpr const char* text_pattern = "%n %l: %v";
// %v is the line's own JSON object without its opening brace.
constexpr const char* json_pattern = R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)";

spdlog::level::level_enum to_spdlog_level(LogLevel level) {
  constexpr std::array levels{spdlog::level::err, spdlog::level::warn, spdlog::level::info,
                              spdlog::level::debug};
  return levels[static_cast<std::size_t>(level)];
}

}  // namespace

std::optional<LogLevel> parse_log_level(std::string_view name) {
  for (std::size_t i = 0; i < level_names.size(); ++i)
    if (level_names[i] == name) return static_cast<LogLevel>(i);
  return {};
}

Logger::Logger(std::ostream& output, LogLevel max_level, LogFormat format)
    : max_level_(max_level), format_(format) {
  constexpr bool flush_each_line = true;
  auto stream_sink = std::make_shared<spdlog::sinks::ostream_sink_st>(output, flush_each_line);
  sink_ = std::make_unique<spdlog::logger>("indigorill", std::move(stream_sink));
  sink_->set_level(spdlog::level::trace);  // Logger itself drops lines, before they are formatted
  if (format_ == LogFormat::text)
    sink_->set_pattern(text_pattern);
  else
    sink_->set_pattern(json_pattern, spdlog::pattern_time_type::utc);
}

Logger::~Logger() = default;

Logger::Line::Line(const Logger* logger, LogLevel level) : logger_(logger), level_(level) {
  if (logger_) text_.emplace();
}

// NOLINTNEXTLINE(bugprone-exception-escape): it throws only if memory runs out, which ends the process
Logger::Line::~Line() {
  if (!logger_) return;
  const auto spdlog_level = to_spdlog_level(level_);
  if (logger_->format_ == LogFormat::text) {
    logger_->sink_->log(spdlog_level, std::string_view(text_->view()));
    return;
  }
  // The text is the first member, as documented; bytes in it that are not valid UTF-8 are replaced.
  nlohmann::ordered_json object{{"text", text_->str()}};
  for (const auto& [name, value] : fields_) object[name] = value;
  const std::string dumped = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  logger_->sink_->log(spdlog_level, std::string_view(dumped).substr(1));
}

}  // namespace indigorill
