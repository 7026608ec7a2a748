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

enum class level { error, warning, info, debug };
enum class log_form { text, json };

std::optional<level> parse_level(std::string_view word);

class logger {
 public:
  logger(std::ostream& to, level most, log_form form = log_form::text);
  ~logger();

  // One line, written whole when it ends; a filtered one costs nothing but its arguments.
  class line {
   public:
    line(const logger* to, level of);
    line(const line&) = delete;
    line& operator=(const line&) = delete;
    ~line();
    template <class T>
    line& operator<<(const T& piece) {
      if (text) *text << piece;
      return *this;
    }
    // A figure that the words say, once more for programs: only where lines are JSON.
    line& field(std::string name, std::int64_t value) {
      if (text) fields.emplace_back(std::move(name), value);
      return *this;
    }

   private:
    const logger* of;
    level is;
    std::optional<std::ostringstream> text;
    std::vector<std::pair<std::string, std::int64_t>> fields;
  };

  line at(level l) const { return {l <= shown ? this : nullptr, l}; }
  line error() const { return at(level::error); }
  line warning() const { return at(level::warning); }
  line info() const { return at(level::info); }
  line debug() const { return at(level::debug); }

 private:
  level shown;
  log_form as;
  std::unique_ptr<spdlog::logger> sink;
};

}  // namespace indigorill
