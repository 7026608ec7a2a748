/// \file
/// Reads the elements of a decoded MessagePack array one by one, each with its type and bounds checked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace indigorill {

/// After an element of a wrong type or out of bounds, or if the array does not have the expected size, all
/// further reads return empty values and is_valid() is false, so one check at the end is enough.
class ArrayReader {
 public:
  /// The array must outlive the reader.
  ArrayReader(const nlohmann::json& array, std::size_t expected_size);

  /// A text of at most max_name_bytes; its characters are not checked.
  std::string read_text();
  /// A member's name or address, or an empty text.
  std::string read_optional_name();
  std::uint64_t read_unsigned(std::uint64_t max = UINT64_MAX);
  /// A duration from 0 to one day.
  double read_duration_ms();
  /// An enumerator up to `last`; the first one must be 0.
  template <class Enum>
  Enum read_enum(Enum last) {
    return static_cast<Enum>(read_unsigned(static_cast<std::uint64_t>(last)));
  }
  /// An element of any type; null if is_valid() is false.
  const nlohmann::json& read_element();

  bool is_valid() const { return valid_; }

 private:
  const nlohmann::json* next_element();

  const nlohmann::json& array_;
  std::size_t position_ = 0;
  bool valid_;
};

}  // namespace indigorill
