#include "load/http_response.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace indigorill::load_generator {

std::string format_response(int status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

double parse_positive(std::string_view text) {
  double value = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  const bool is_number = error == std::errc() && end == text_end && std::isfinite(value);
  return is_number && value > 0 ? value : 0;
}

double query_parameter(std::string_view target, std::string_view name) {
  std::size_t separator = target.find('?');
  while (separator != std::string_view::npos) {
    const std::size_t start = separator + 1;
    separator = target.find('&', start);
    const std::string_view pair = target.substr(start, separator - start);
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
      return parse_positive(pair.substr(name.size() + 1));
  }
  return -1;
}

}  // namespace indigorill::load_generator
