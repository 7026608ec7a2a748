// Log lines for on-call staff, as text or as JSON lines, on spdlog. Nothing is logged for each RPC by
// default.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace spdlog {
class logger;
}

namespace indigorill {

enum class LogLevel { error, warning, info, debug };
enum class LogFormat { text, json };

std::optional<LogLevel> parse_log_level(std::string_view word);

class Logger {
 public:
  Logger(std::ostream& to, LogLevel most, LogFormat form = LogFormat::text);
  ~Logger();

  // One line, written whole when it ends; a filtered one costs nothing but its arguments.
  class Line {
   public:
    Line(const Logger* to, LogLevel of);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line();
    template <class T>
    Line& operator<<(const T& piece) {
      if (text_) *text_ << piece;
      return *this;
    }
    // A figure that the words say, once more for programs: only where lines are JSON.
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

  Line log(LogLevel l) const { return {l <= max_level_ ? this : nullptr, l}; }
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
