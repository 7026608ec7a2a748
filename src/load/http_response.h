/// \file
/// HTTP responses and query parameters of the fake servers and discovery agents.
#pragma once

#include <string>
#include <string_view>

namespace indigorill::load_generator {

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int too_many_requests_status = 429;
constexpr int server_error_status = 500;
constexpr int unavailable_status = 503;

/// `headers`: complete header lines, each with its CRLF.
std::string format_response(int status, const std::string& body, const std::string& headers = "");

/// Parses a positive number; returns 0 for any other text.
double parse_positive(std::string_view text);

/// Parses one parameter of a request target's query by parse_positive(); returns -1 if the parameter is
/// absent.
double query_parameter(std::string_view target, std::string_view name);

}  // namespace indigorill::load_generator
