#include "http/message.h"

#include <algorithm>

namespace indigorill::http {
namespace {

char to_lower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool is_blank(char character) { return character == ' ' || character == '\t'; }

std::string_view trim_blanks(std::string_view text) {
  while (!text.empty() && is_blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_blank(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

std::optional<std::string_view> Message::find_header(std::string_view name) const {
  for (const HeaderField& header : headers)
    if (equals_ignoring_case(slice(header.name), name)) return slice(header.value);
  return {};
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return to_lower(a) == to_lower(b); });
}

bool list_contains(std::string_view list, std::string_view item) {
  for (auto next = take_list_item(list); !next.empty(); next = take_list_item(list))
    if (equals_ignoring_case(next, item)) return true;
  return false;
}

std::string_view take_list_item(std::string_view& list) {
  std::string_view item;
  while (item.empty() && !list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    item = trim_blanks(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return item;
}

}  // namespace indigorill::http
