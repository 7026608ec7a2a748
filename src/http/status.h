/// \file
/// The HTTP status codes that this program sends or distinguishes.
#pragma once

#include <string_view>

namespace indigorill::http::status {

constexpr int switching_protocols = 101;
constexpr int ok = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int request_timeout = 408;
constexpr int conflict = 409;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int header_fields_too_large = 431;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

/// The reason phrase of `code` for a status line; a generic phrase for codes without a case below.
constexpr std::string_view reason_phrase(int code) {
  switch (code) {
    case ok:
      return "OK";
    case bad_request:
      return "Bad Request";
    case not_found:
      return "Not Found";
    case method_not_allowed:
      return "Method Not Allowed";
    case request_timeout:
      return "Request Timeout";
    case conflict:
      return "Conflict";
    case content_too_large:
      return "Content Too Large";
    case header_fields_too_large:
      return "Request Header Fields Too Large";
    case bad_gateway:
      return "Bad Gateway";
    default:
      return code < 500 ? "Client Error" : "Service Unavailable";
  }
}

}  // namespace indigorill::http::status
