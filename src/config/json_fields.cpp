#include "config/json_fields.h"

#include <utility>

namespace indigorill {

using Json = JsonFields::Json;

JsonFields::JsonFields(std::string path, const Json& object) : path_(std::move(path)), object_(object) {
  if (!object_.is_object()) fail("is not an object");
}

void JsonFields::fail(const std::string& cause) const { throw ParseError(path_, "", cause); }

void JsonFields::fail_field(const std::string& field, const std::string& cause) const {
  throw ParseError(path_, field, cause);
}

const Json* JsonFields::find(const char* field) const {
  const auto entry = object_.find(field);
  return entry == object_.end() || entry->is_null() ? nullptr : &*entry;
}

const Json& JsonFields::require(const char* field) const {
  if (const Json* value = find(field)) return *value;
  fail_field(field, "is missing");
}

double JsonFields::number(const char* field) const { return to_number(require(field), field); }

double JsonFields::number(const char* field, double default_value) const {
  const Json* value = find(field);
  return value ? to_number(*value, field) : default_value;
}

double JsonFields::microseconds_as_ms(const char* field, double default_ms) const {
  return number(field, default_ms * us_per_ms) / us_per_ms;
}

double JsonFields::duration_ms(const char* field, double default_ms) const {
  const double duration = microseconds_as_ms(field, default_ms);
  if (!(duration >= 0)) fail_field(field, "is below 0");
  return duration;
}

double JsonFields::positive_duration_ms(const char* field, double default_ms) const {
  const double duration = microseconds_as_ms(field, default_ms);
  if (!(duration > 0)) fail_field(field, "is not above 0");
  return duration;
}

std::uint64_t JsonFields::unsigned_integer(const char* field) const {
  const Json& value = require(field);
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  fail_field(field, "is not a whole number of 0 or more");
}

int JsonFields::integer(const char* field) const {
  constexpr std::uint64_t max_integer = 1'000'000'000;
  const std::uint64_t value = unsigned_integer(field);
  if (value > max_integer) fail_field(field, "is out of range");
  return static_cast<int>(value);
}

int JsonFields::integer(const char* field, int default_value) const {
  return find(field) ? integer(field) : default_value;
}

std::string JsonFields::string(const char* field) const {
  const Json& value = require(field);
  if (!value.is_string()) fail_field(field, "is not a string");
  return value.get<std::string>();
}

std::string JsonFields::string(const char* field, const char* default_value) const {
  const Json* value = find(field);
  if (!value) return default_value;
  const bool is_zero = value->is_number_integer() && *value == 0;
  return is_zero ? default_value : string(field);
}

bool JsonFields::boolean(const char* field, bool default_value) const {
  const Json* value = find(field);
  if (!value) return default_value;
  if (!value->is_boolean()) fail_field(field, "is not true or false");
  return value->get<bool>();
}

const Json& JsonFields::array(const char* field) const {
  static const Json empty_array = Json::array();
  const Json* value = find(field);
  if (!value) return empty_array;
  if (!value->is_array()) fail_field(field, "is not a list");
  return *value;
}

JsonFields JsonFields::object(const char* field) const {
  static const Json empty_object = Json::object();
  const Json* value = find(field);
  return {path_ + "." + field, value ? *value : empty_object};
}

JsonFields JsonFields::element(const char* field, const Json& object) const {
  return {path_ + "." + field, object};
}

double JsonFields::to_number(const Json& value, const char* field) const {
  if (!value.is_number()) fail_field(field, "is not a number");
  return value.get<double>();
}

}  // namespace indigorill
