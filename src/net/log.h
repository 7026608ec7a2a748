// Log lines for on-call staff, through iostreams and a level filter. Nothing is logged for each RPC by
// default.
#pragma once

#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>

namespace indigorill {

enum class level { error, warning, info, debug };

std::optional<level> parse_level(std::string_view word);

class logger {
 public:
  logger(std::ostream& to, level most) : out(to), shown(most) {}

  // One line, written whole when it ends; a filtered one costs nothing but its arguments.
  class line {
   public:
    line(std::ostream* to, std::string_view prefix);
    line(const line&) = delete;
    line& operator=(const line&) = delete;
    ~line();
    template <class T>
    line& operator<<(const T& piece) {
      if (out) text << piece;
      return *this;
    }

   private:
    std::ostream* out;
    std::ostringstream text;
  };

  line at(level l);
  line error() { return at(level::error); }
  line warning() { return at(level::warning); }
  line info() { return at(level::info); }
  line debug() { return at(level::debug); }

 private:
  std::ostream& out;
  level shown;
};

}  // namespace indigorill
