#include "log.h"

#include <array>
#include <cstddef>

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 4> names{"error", "warning", "info", "debug"};

}  // namespace

std::optional<level> parse_level(std::string_view word) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == word) return static_cast<level>(i);
  return {};
}

logger::line::line(std::ostream* to, std::string_view prefix) : out(to) {
  if (out) text << "indigorill " << prefix << ": ";
}

logger::line::~line() {
  if (!out) return;
  text << '\n';
  *out << text.str() << std::flush;
}

logger::line logger::at(level l) { return {l <= shown ? &out : nullptr, names[static_cast<std::size_t>(l)]}; }

}  // namespace indigorill
