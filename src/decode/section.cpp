#include "section.h"

#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

constexpr double ms_per_s = 1000, day_s = 86400;

std::string text_of_number(double v) {
  std::ostringstream s;
  s << v;
  return s.str();
}

}  // namespace

toml::table read_toml(const std::string& file) {
  try {
    return toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    throw faulty(file + (line ? ":" + std::to_string(line) : "") + ": " + std::string(e.description()));
  }
}

void faults::at(const toml::source_region& where, const std::string& reason) {
  text += text.empty() ? "" : "\n";
  // What was set by a command has no line.
  if (where.path) text += *where.path + ":" + std::to_string(where.begin.line) + ": ";
  text += reason;
}

void faults::raise() const {
  if (!text.empty()) throw faulty(text);
}

double section::number(const char* key, std::optional<double> absent, double least, double most) {
  const toml::node* n = take(key, absent.has_value());
  if (!n) return absent.value_or(least);
  const auto v = n->value<double>();
  if (!v || n->is_boolean()) return fault(*n, key, "is not a number"), least;
  if (!(*v >= least && *v <= most))
    return fault(
               *n, key,
               "is " + text_of_number(*v) + ", not " + text_of_number(least) + " to " + text_of_number(most)),
           least;
  return *v;
}

double section::seconds(const char* key, std::optional<double> absent) {
  return number(key, absent ? std::optional(*absent / ms_per_s) : absent, 0, day_s) * ms_per_s;
}

double section::ms(const char* key, std::optional<double> absent) {
  return number(key, absent, 0, day_s * ms_per_s);
}

int section::whole(const char* key, std::optional<int> absent, int least, int most) {
  const double v = number(key, absent ? std::optional<double>(*absent) : std::nullopt, least, most);
  if (v != std::floor(v)) fault_here(key, "is not a whole number");
  return static_cast<int>(v);
}

bool section::mark(const char* key, bool absent) {
  const toml::node* n = take(key, true);
  if (!n) return absent;
  if (!n->is_boolean()) fault(*n, key, "is not true or false");
  return n->value_or(absent);
}

std::string section::text_of(const char* key, std::optional<std::string> absent) {
  const toml::node* n = take(key, absent.has_value());
  if (!n) return absent.value_or("");
  if (!n->is_string()) fault(*n, key, "is not a string");
  return n->value_or(std::string());
}

std::vector<std::string> section::texts(const char* key) {
  std::vector<std::string> all;
  const toml::node* n = take(key, true);
  if (!n) return all;
  const toml::array* a = n->as_array();
  if (!a) return fault(*n, key, "is not a list of strings"), all;
  for (const toml::node& e : *a) {
    if (!e.is_string()) fault(e, key, "is not a list of strings");
    all.push_back(e.value_or(std::string()));
  }
  return all;
}

const toml::table& section::inner(const char* key, bool needed) {
  static const toml::table none;
  const toml::node* n = take(key, !needed);
  if (n && !n->is_table()) fault(*n, key, "is not a table");
  return n && n->is_table() ? *n->as_table() : none;
}

std::vector<const toml::table*> section::tables(const char* key, bool needed) {
  const toml::node* n = take(key, !needed);
  std::vector<const toml::table*> all;
  if (!n) return all;
  const toml::array* a = n->as_array();
  if (!a) return fault(*n, key, "is not a list of tables"), all;
  for (const toml::node& e : *a) {
    if (e.is_table())
      all.push_back(e.as_table());
    else
      fault(e, key, "is not a list of tables");
  }
  if (needed && all.empty()) fault(*n, key, "is empty");
  return all;
}

void section::fault_here(const char* key, const std::string& reason) {
  const toml::node* n = from.get(key);
  fault(n ? *n : static_cast<const toml::node&>(from), key, reason);
}

void section::none_left() {
  for (const auto& [key, n] : from)
    if (!used.count(std::string(key.str()))) wrong.at(key.source(), named(key.str()) + " is unknown");
}

std::string section::named(std::string_view key) const {
  return (title.empty() ? "" : title + ".") + std::string(key);
}

void section::fault(const toml::node& n, const char* key, const std::string& reason) {
  wrong.at(n.source(), named(key) + " " + reason);
}

const toml::node* section::take(const char* key, bool may_be_absent) {
  used.insert(key);
  const toml::node* n = from.get(key);
  if (!n && !may_be_absent) wrong.at(from.source(), named(key) + " is missing");
  return n;
}

}  // namespace indigorill
