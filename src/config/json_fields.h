/// \file
/// Typed access to the fields of a JSON object, by name.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "config/parse_error.h"

namespace indigorill {

constexpr double us_per_ms = 1000;

/// Reads the fields of one JSON object, which must outlive it. A field that is null counts as absent.
///
/// Every function that reads a field throws ParseError if the field has the wrong type or is out of range.
/// Functions without a default value also throw ParseError if the field is absent, unless stated otherwise.
class JsonFields {
 public:
  using Json = nlohmann::json;

  /// `path` names the object in error messages. Throws ParseError if `object` is not an object.
  JsonFields(std::string path, const Json& object);

  /// Throws a ParseError that concerns the object as a whole.
  [[noreturn]] void fail(const std::string& cause) const;

  /// Throws a ParseError that concerns `field`; `cause` continues a sentence that starts with `field`.
  [[noreturn]] void fail_field(const std::string& field, const std::string& cause) const;

  /// The value of the field; null if it is absent.
  const Json* find(const char* field) const;
  const Json& require(const char* field) const;

  double number(const char* field) const;
  double number(const char* field, double default_value) const;

  /// Durations are in microseconds in JSON; the three functions below return them in milliseconds.
  double microseconds_as_ms(const char* field, double default_ms = 0) const;
  double duration_ms(const char* field, double default_ms = 0) const;       ///< 0 or more
  double positive_duration_ms(const char* field, double default_ms) const;  ///< above 0

  std::uint64_t unsigned_integer(const char* field) const;
  int integer(const char* field) const;  ///< 0 to 10^9
  int integer(const char* field, int default_value) const;

  std::string string(const char* field) const;
  /// Also returns the default for the number 0, which some senders use for "none".
  std::string string(const char* field, const char* default_value) const;

  bool boolean(const char* field, bool default_value = false) const;

  /// Returns an empty array or object if the field is absent.
  const Json& array(const char* field) const;
  JsonFields object(const char* field) const;

  /// Reads an object that is an element of the array `field`.
  JsonFields element(const char* field, const Json& object) const;

  /// Returns the value that `names` maps the string in the field to.
  template <class T>
  T enum_value(const char* field, const std::map<std::string, T>& names) const {
    const std::string name = string(field);
    const auto entry = names.find(name);
    if (entry == names.end()) fail_field(field, "has the unknown value " + Json(name).dump());
    return entry->second;
  }

 private:
  double to_number(const Json& value, const char* field) const;

  std::string path_;
  const Json& object_;
};

}  // namespace indigorill
