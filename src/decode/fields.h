// One message or settings object of JSON, whose fields are read by name and type; faults name the message.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace indigorill {

// Input that is not what it should be; what() is one plain line that names the message and what is wrong.
struct malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr double us_per_ms = 1000;

class fields {
 public:
  using json = nlohmann::json;

  fields(std::string message, const json& object);

  [[noreturn]] void fault(const std::string& what) const;
  const json* find(const char* field) const;
  const json& need(const char* field) const;
  double number(const char* field) const;
  double number(const char* field, double absent) const;
  double ms(const char* field, double absent = 0) const;     // from whole microseconds
  double span(const char* field, double absent = 0) const;   // a time that lasts: not below 0
  double some_span(const char* field, double absent) const;  // and not 0
  std::uint64_t whole(const char* field) const;
  int small(const char* field) const;
  int small(const char* field, int absent) const;
  std::string text(const char* field) const;
  // Names may be absent or, where there are none, 0.
  std::string text(const char* field, const char* absent) const;
  bool mark(const char* field, bool absent = false) const;
  const json& list(const char* field) const;
  fields inner(const char* field) const;
  fields entry(const char* field, const json& object) const;  // one of a list

  template <class T>
  T word(const char* field, const std::map<std::string, T>& words) const {
    const std::string w = text(field);
    const auto it = words.find(w);
    if (it == words.end()) fault("field " + std::string(field) + " has the unknown word " + json(w).dump());
    return it->second;
  }

 private:
  double number_in(const json& v, const char* field) const;

  std::string name;
  const json& from;
};

}  // namespace indigorill
