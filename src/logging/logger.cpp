#include "logging/logger.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 4> names{"error", "warning", "info", "debug"};

spdlog::level::level_enum to_spdlog_level(LogLevel l) {
  constexpr std::array levels{spdlog::level::err, spdlog::level::warn, spdlog::level::info,
                              spdlog::level::debug};
  return levels[static_cast<std::size_t>(l)];
}

}  // namespace

std::optional<LogLevel> parse_log_level(std::string_view word) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == word) return static_cast<LogLevel>(i);
  return {};
}

Logger::Logger(std::ostream& to, LogLevel most, LogFormat form) : max_level_(most), format_(form) {
  constexpr bool flushed = true;
  sink_ = std::make_unique<spdlog::logger>("indigorill",
                                           std::make_shared<spdlog::sinks::ostream_sink_st>(to, flushed));
  sink_->set_level(spdlog::level::trace);  // what is shown is decided before a line is put together
  if (format_ == LogFormat::text)
    sink_->set_pattern("%n %l: %v");
  else
    sink_->set_pattern(R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
}

Logger::~Logger() = default;

Logger::Line::Line(const Logger* to, LogLevel l) : logger_(to), level_(l) {
  if (logger_) text_.emplace();
}

Logger::Line::~Line() {
  if (!logger_) return;
  if (logger_->format_ == LogFormat::text) {
    logger_->sink_->log(to_spdlog_level(level_), std::string_view(text_->view()));
    return;
  }
  // The words first, as they stand in the documentation; what is no UTF-8 in them is replaced.
  nlohmann::ordered_json whole{{"text", text_->str()}};
  for (const auto& [name, value] : fields_) whole[name] = value;
  const std::string dumped = whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  logger_->sink_->log(to_spdlog_level(level_), std::string_view(dumped).substr(1));
}

}  // namespace indigorill
