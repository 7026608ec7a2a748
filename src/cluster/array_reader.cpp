#include "cluster/array_reader.h"

#include "membership/member_name.h"

namespace indigorill {

using nlohmann::json;

ArrayReader::ArrayReader(const json& array, std::size_t expected_size)
    : array_(array), valid_(array.is_array() && array.size() == expected_size) {}

std::string ArrayReader::read_text() {
  const json* element = next_element();
  if (element != nullptr && element->is_string()) {
    const auto& text = element->get_ref<const std::string&>();
    if (text.size() <= max_name_bytes) return text;
  }
  valid_ = false;
  return {};
}

std::string ArrayReader::read_optional_name() {
  std::string name = read_text();
  if (!name.empty() && !is_valid_name(name)) valid_ = false;
  return name;
}

std::uint64_t ArrayReader::read_unsigned(std::uint64_t max) {
  const json* element = next_element();
  if (element != nullptr && element->is_number_unsigned()) {
    const auto value = element->get<std::uint64_t>();
    if (value <= max) return value;
  }
  valid_ = false;
  return 0;
}

double ArrayReader::read_duration_ms() {
  // No correct process sends a duration of more than a day; far larger values would lose precision when added
  // to a clock reading.
  constexpr double max_duration_ms = 86400000;
  const json* element = next_element();
  if (element != nullptr && element->is_number()) {
    const auto value = element->get<double>();
    if (value >= 0 && value <= max_duration_ms) return value;
  }
  valid_ = false;
  return 0;
}

const json& ArrayReader::read_element() {
  static const json null;
  const json* element = next_element();
  return element == nullptr ? null : *element;
}

const json* ArrayReader::next_element() { return valid_ ? &array_[position_++] : nullptr; }

}  // namespace indigorill
