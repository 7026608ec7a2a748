#include "log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 4> names{"error", "warning", "info", "debug"};

spdlog::level::level_enum theirs(level l) {
  constexpr std::array levels{spdlog::level::err, spdlog::level::warn, spdlog::level::info,
                              spdlog::level::debug};
  return levels[static_cast<std::size_t>(l)];
}

}  // namespace

std::optional<level> parse_level(std::string_view word) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == word) return static_cast<level>(i);
  return {};
}

logger::logger(std::ostream& to, level most, log_form form) : shown(most), as(form) {
  constexpr bool flushed = true;
  sink = std::make_unique<spdlog::logger>("indigorill",
                                          std::make_shared<spdlog::sinks::ostream_sink_st>(to, flushed));
  sink->set_level(spdlog::level::trace);  // what is shown is decided before a line is put together
  if (as == log_form::text)
    sink->set_pattern("%n %l: %v");
  else
    sink->set_pattern(R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
}

logger::~logger() = default;

logger::line::line(const logger* to, level l) : of(to), is(l) {
  if (of) text.emplace();
}

logger::line::~line() {
  if (!of) return;
  if (of->as == log_form::text) {
    of->sink->log(theirs(is), std::string_view(text->view()));
    return;
  }
  // The words first, as they stand in the documentation; what is no UTF-8 in them is replaced.
  nlohmann::ordered_json whole{{"text", text->str()}};
  for (const auto& [name, value] : fields) whole[name] = value;
  const std::string dumped = whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  of->sink->log(theirs(is), std::string_view(dumped).substr(1));
}

}  // namespace indigorill
