// One message or settings object of JSON, whose fields are read by name and type; faults name the message.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace indigorill {

// Input that is not what it should be; what() is one plain line that names the message and what is wrong.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr double us_per_ms = 1000;

class JsonFields {
 public:
  using Json = nlohmann::json;

  JsonFields(std::string message, const Json& object);

  [[noreturn]] void fail(const std::string& what) const;
  const Json* find(const char* field) const;
  const Json& require(const char* field) const;
  double number(const char* field) const;
  double number(const char* field, double absent) const;
  double microseconds_as_ms(const char* field, double absent = 0) const;  // from whole microseconds
  double duration_ms(const char* field, double absent = 0) const;         // a time that lasts: not below 0
  double positive_duration_ms(const char* field, double absent) const;    // and not 0
  std::uint64_t unsigned_integer(const char* field) const;
  int integer(const char* field) const;
  int integer(const char* field, int absent) const;
  std::string string(const char* field) const;
  // Names may be absent or, where there are none, 0.
  std::string string(const char* field, const char* absent) const;
  bool boolean(const char* field, bool absent = false) const;
  const Json& array(const char* field) const;
  JsonFields object(const char* field) const;
  JsonFields element(const char* field, const Json& object) const;  // one of a list

  template <class T>
  T enum_value(const char* field, const std::map<std::string, T>& words) const {
    const std::string w = string(field);
    const auto it = words.find(w);
    if (it == words.end()) fail("field " + std::string(field) + " has the unknown word " + Json(w).dump());
    return it->second;
  }

 private:
  double to_number(const Json& v, const char* field) const;

  std::string path_;
  const Json& object_;
};

}  // namespace indigorill
