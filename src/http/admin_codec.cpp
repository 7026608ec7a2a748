#include "http/admin_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "http/head_format.h"
#include "http/status.h"

namespace indigorill {
namespace {

using http::Message;
using Command = AdminRequest::Command;

constexpr std::size_t max_endpoint_id_bytes = 1024;

std::optional<Command> command_of_path(std::string_view path) {
  static constexpr std::array<std::pair<std::string_view, Command>, 5> commands{{
      {"/status", Command::status},
      {"/-/members", Command::membership},
      {"/-/budgets", Command::quotas},
      {"/maintenance/enter", Command::eject},
      {"/maintenance/exit", Command::restore},
  }};
  for (const auto& [command_path, command] : commands)
    if (command_path == path) return command;
  return {};
}

bool changes_ejections(Command command) { return command == Command::eject || command == Command::restore; }

bool is_control_character(unsigned char character) { return character < 0x20 || character == 0x7f; }

/// Returns nothing if an escape is malformed or the result has a control character, which no endpoint id has.
std::optional<std::string> percent_decode(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    auto character = static_cast<unsigned char>(text.front());
    if (character == '%') {
      const char* end = text.data() + 3;
      if (text.size() < 3 || std::from_chars(text.data() + 1, end, character, 16).ptr != end) return {};
      text.remove_prefix(2);
    }
    if (is_control_character(character)) return {};
    decoded += static_cast<char>(character);
    text.remove_prefix(1);
  }
  return decoded;
}

std::string_view query_of(const Message& request) {
  std::string_view target = request.slice(request.target);
  target.remove_prefix(std::min(target.find('?'), target.size() - 1) + 1);
  return target;
}

/// The endpoint id in the query; nothing unless the query has exactly one id and the id is valid.
std::optional<std::string> decode_endpoint_id(std::string_view query) {
  constexpr std::string_view parameter = "host=";
  std::optional<std::string> endpoint_id;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (!pair.starts_with(parameter)) continue;
    const bool is_repeated = endpoint_id.has_value();
    endpoint_id = percent_decode(pair.substr(parameter.size()));
    if (is_repeated || !endpoint_id || endpoint_id->empty() || endpoint_id->size() > max_endpoint_id_bytes)
      return {};
  }
  return endpoint_id;
}

}  // namespace

AdminRequest decode_admin_request(const Message& request) {
  AdminRequest decoded;
  const auto command = command_of_path(http::request_path(request));
  if (!command) {
    decoded.error_status = http::status::not_found;
    return decoded;
  }
  decoded.command = *command;
  const std::string_view method = changes_ejections(*command) ? "PUT" : "GET";
  if (request.slice(request.method) != method) {
    decoded.error_status = http::status::method_not_allowed;
  } else if (changes_ejections(*command)) {
    const auto endpoint_id = decode_endpoint_id(query_of(request));
    decoded.endpoint_id = endpoint_id.value_or("");
    if (!endpoint_id) decoded.error_status = http::status::bad_request;
  }
  return decoded;
}

WriteBuffer encode_admin_response(int status, std::string_view body, bool is_json) {
  std::string head = http::status_line(status);
  // The field lists both methods, because each path accepts one of them.
  if (status == http::status::method_not_allowed) head += "Allow: GET, PUT\r\n";
  if (is_json) head += "Content-Type: application/json\r\n";
  head += http::final_header_lines(body.size(), true);
  WriteBuffer output;
  output.append_owned(head + std::string(body));
  return output;
}

}  // namespace indigorill
