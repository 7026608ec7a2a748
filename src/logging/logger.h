/// \file
/// Log lines for operators, as text or as JSON objects, written with spdlog. By default individual RPCs are
/// not logged.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spdlog {
class logger;
}

namespace indigorill {

enum class LogLevel { error, warning, info, debug };
enum class LogFormat { text, json };

/// The level of this name; empty if there is none.
std::optional<LogLevel> parse_log_level(std::string_view name);

/// Writes lines to a stream that must outlive the logger. Not thread-safe.
class Logger {
 public:
  /// Lines less severe than `max_level` are dropped.
  Logger(std::ostream& output, LogLevel max_level, LogFormat format = LogFormat::text);
  ~Logger();

  /// A line under construction, written as a whole on destruction. A dropped line costs only the evaluation
  /// of its arguments.
  class Line {
   public:
    /// `logger` is null if the line is dropped.
    Line(const Logger* logger, LogLevel level);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line();  // NOLINT(bugprone-exception-escape): it throws only if memory runs out, which ends the process

    template <class T>
    Line& operator<<(const T& value) {
      if (text_) *text_ << value;
      return *this;
    }

    /// Adds a number of the text as a separate JSON field, for programs. Text lines ignore it.
    Line& field(std::string name, std::int64_t value) {
      if (text_) fields_.emplace_back(std::move(name), value);
      return *this;
    }

   private:
    const Logger* logger_;
    LogLevel level_;
    std::optional<std::ostringstream> text_;
    std::vector<std::pair<std::string, std::int64_t>> fields_;
  };

  Line log(LogLevel level) const { return {level <= max_level_ ? this : nullptr, level}; }
  Line error() const { return log(LogLevel::error); }
  Line warning() const { return log(LogLevel::warning); }
  Line info() const { return log(LogLevel::info); }
  Line debug() const { return log(LogLevel::debug); }

 private:
  LogLevel max_level_;
  LogFormat format_;
  std::unique_ptr<spdlog::logger> sink_;
};

}  // namespace indigorill
