#include "emulator/sweep.h"

#include <charconv>
#include <cmath>
#include <system_error>

#include "config/toml_section.h"

namespace indigorill::emulator {
namespace {

constexpr double max_range_points = 1000;

// `context` is the whole argument, for the error message.
double parse_number(const std::string& text, const std::string& context) {
  double number = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (text.empty() || error != std::errc() || end != text_end || !std::isfinite(number))
    throw ConfigError(context + ": '" + text + "' is not a number");
  return number;
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  std::size_t end = text.find(separator);
  while (end != std::string::npos) {
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
    end = text.find(separator, start);
  }
  parts.push_back(text.substr(start));
  return parts;
}

struct Assignment {
  std::string name;
  std::string value;
};

Assignment split_assignment(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) throw ConfigError(text + ": expected path=value");
  return {text.substr(0, equals), text.substr(equals + 1)};
}

std::vector<double> parse_range(const std::vector<std::string>& parts, const std::string& context) {
  const double from = parse_number(parts[0], context);
  const double to = parse_number(parts[1], context);
  const double points = parse_number(parts[2], context);
  if (points < 2 || points > max_range_points || points != std::floor(points))
    throw ConfigError(context + ": count in from:to:count must be a whole number from 2 to 1000");
  std::vector<double> values;
  values.reserve(static_cast<std::size_t>(points));
  for (int i = 0; i < static_cast<int>(points); ++i) values.push_back(from + (to - from) * i / (points - 1));
  return values;
}

}  // namespace

VariableSetting parse_setting(const std::string& text) {
  const auto [path, value] = split_assignment(text);
  return {path, parse_number(value, text)};
}

SweepAxis parse_axis(const std::string& text) {
  const auto [path, values] = split_assignment(text);
  const std::vector<std::string> range = split(values, ':');
  if (range.size() == 3) return {path, parse_range(range, text)};
  if (range.size() != 1) throw ConfigError(text + ": expected path=a,b,c or path=from:to:count");
  SweepAxis axis{path, {}};
  for (const std::string& value : split(values, ',')) axis.values.push_back(parse_number(value, text));
  return axis;
}

}  // namespace indigorill::emulator
