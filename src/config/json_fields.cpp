#include "config/json_fields.h"

namespace indigorill {

using nlohmann::json;

JsonFields::JsonFields(std::string message, const Json& object) : path_(std::move(message)), object_(object) {
  if (!object_.is_object()) fail("is not an object");
}

void JsonFields::fail(const std::string& what) const { throw ParseError(path_ + ": " + what); }

const json* JsonFields::find(const char* field) const {
  const auto it = object_.find(field);
  return it == object_.end() || it->is_null() ? nullptr : &*it;
}

const json& JsonFields::require(const char* field) const {
  if (const Json* v = find(field)) return *v;
  fail("field " + std::string(field) + " is missing");
}

double JsonFields::number(const char* field) const { return to_number(require(field), field); }

double JsonFields::number(const char* field, double absent) const {
  const Json* v = find(field);
  return v ? to_number(*v, field) : absent;
}

double JsonFields::microseconds_as_ms(const char* field, double absent) const {
  return number(field, absent * us_per_ms) / us_per_ms;
}

double JsonFields::duration_ms(const char* field, double absent) const {
  const double v = microseconds_as_ms(field, absent);
  if (!(v >= 0)) fail("field " + std::string(field) + " is below 0");
  return v;
}

double JsonFields::positive_duration_ms(const char* field, double absent) const {
  const double v = microseconds_as_ms(field, absent);
  if (!(v > 0)) fail("field " + std::string(field) + " is not above 0");
  return v;
}

std::uint64_t JsonFields::unsigned_integer(const char* field) const {
  const Json& v = require(field);
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  fail("field " + std::string(field) + " is not a whole number of 0 or more");
}

int JsonFields::integer(const char* field) const {
  const std::uint64_t v = unsigned_integer(field);
  if (v > 1'000'000'000) fail("field " + std::string(field) + " is out of range");
  return static_cast<int>(v);
}

int JsonFields::integer(const char* field, int absent) const { return find(field) ? integer(field) : absent; }

std::string JsonFields::string(const char* field) const {
  const Json& v = require(field);
  if (!v.is_string()) fail("field " + std::string(field) + " is not a string");
  return v.get<std::string>();
}

std::string JsonFields::string(const char* field, const char* absent) const {
  const Json* v = find(field);
  return v && !(v->is_number_integer() && *v == 0) ? string(field) : absent;
}

bool JsonFields::boolean(const char* field, bool absent) const {
  const Json* v = find(field);
  if (!v) return absent;
  if (!v->is_boolean()) fail("field " + std::string(field) + " is not true or false");
  return v->get<bool>();
}

const json& JsonFields::array(const char* field) const {
  static const Json none = Json::array();
  const Json* v = find(field);
  if (!v) return none;
  if (!v->is_array()) fail("field " + std::string(field) + " is not a list");
  return *v;
}

JsonFields JsonFields::object(const char* field) const {
  static const Json none = Json::object();
  const Json* v = find(field);
  return {path_ + "." + field, v ? *v : none};
}

JsonFields JsonFields::element(const char* field, const Json& object) const {
  return {path_ + "." + field, object};
}

double JsonFields::to_number(const Json& v, const char* field) const {
  if (!v.is_number()) fail("field " + std::string(field) + " is not a number");
  return v.get<double>();
}

}  // namespace indigorill
