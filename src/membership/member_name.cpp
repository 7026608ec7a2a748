#include "membership/member_name.h"

#include <algorithm>
#include <cctype>

namespace indigorill {
namespace {

bool is_valid_name_character(char c) {
  constexpr std::string_view punctuation = "-_.:/";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || punctuation.find(c) != std::string_view::npos;
}

}  // namespace

bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= max_name_bytes &&
         std::all_of(name.begin(), name.end(), is_valid_name_character);
}

}  // namespace indigorill
