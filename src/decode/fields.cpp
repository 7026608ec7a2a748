#include "fields.h"

namespace indigorill {

using nlohmann::json;

fields::fields(std::string message, const json& object) : name(std::move(message)), from(object) {
  if (!from.is_object()) fault("is not an object");
}

void fields::fault(const std::string& what) const { throw malformed(name + ": " + what); }

const json* fields::find(const char* field) const {
  const auto it = from.find(field);
  return it == from.end() || it->is_null() ? nullptr : &*it;
}

const json& fields::need(const char* field) const {
  if (const json* v = find(field)) return *v;
  fault("field " + std::string(field) + " is missing");
}

double fields::number(const char* field) const { return number_in(need(field), field); }

double fields::number(const char* field, double absent) const {
  const json* v = find(field);
  return v ? number_in(*v, field) : absent;
}

double fields::ms(const char* field, double absent) const {
  return number(field, absent * us_per_ms) / us_per_ms;
}

double fields::span(const char* field, double absent) const {
  const double v = ms(field, absent);
  if (!(v >= 0)) fault("field " + std::string(field) + " is below 0");
  return v;
}

double fields::some_span(const char* field, double absent) const {
  const double v = ms(field, absent);
  if (!(v > 0)) fault("field " + std::string(field) + " is not above 0");
  return v;
}

std::uint64_t fields::whole(const char* field) const {
  const json& v = need(field);
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  fault("field " + std::string(field) + " is not a whole number of 0 or more");
}

int fields::small(const char* field) const {
  const std::uint64_t v = whole(field);
  if (v > 1'000'000'000) fault("field " + std::string(field) + " is out of range");
  return static_cast<int>(v);
}

int fields::small(const char* field, int absent) const { return find(field) ? small(field) : absent; }

std::string fields::text(const char* field) const {
  const json& v = need(field);
  if (!v.is_string()) fault("field " + std::string(field) + " is not a string");
  return v.get<std::string>();
}

std::string fields::text(const char* field, const char* absent) const {
  const json* v = find(field);
  return v && !(v->is_number_integer() && *v == 0) ? text(field) : absent;
}

bool fields::mark(const char* field, bool absent) const {
  const json* v = find(field);
  if (!v) return absent;
  if (!v->is_boolean()) fault("field " + std::string(field) + " is not true or false");
  return v->get<bool>();
}

const json& fields::list(const char* field) const {
  static const json none = json::array();
  const json* v = find(field);
  if (!v) return none;
  if (!v->is_array()) fault("field " + std::string(field) + " is not a list");
  return *v;
}

fields fields::inner(const char* field) const {
  static const json none = json::object();
  const json* v = find(field);
  return {name + "." + field, v ? *v : none};
}

fields fields::entry(const char* field, const json& object) const { return {name + "." + field, object}; }

double fields::number_in(const json& v, const char* field) const {
  if (!v.is_number()) fault("field " + std::string(field) + " is not a number");
  return v.get<double>();
}

}  // namespace indigorill
