#include "http/head_format.h"

#include <array>
#include <charconv>

#include "http/status.h"

namespace indigorill::http {

std::string status_line(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(status::reason_phrase(status)) + "\r\n";
}

std::string final_header_lines(std::size_t content_length, bool close_connection) {
  std::string lines = "Content-Length: " + std::to_string(content_length) + "\r\n";
  if (close_connection) lines += "Connection: close\r\n";
  return lines + "\r\n";
}

std::string chunk_size_line(std::size_t bytes) {
  std::array<char, 20> digits;
  const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), bytes, 16);
  return std::string(digits.data(), result.ptr) + "\r\n";
}

std::string_view request_path(const Message& request) {
  const std::string_view target = request.slice(request.target);
  return target.substr(0, target.find('?'));
}

}  // namespace indigorill::http
