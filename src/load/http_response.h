/// \file
/// Parts of the HTTP that fake servers and agents speak.
#pragma once

#include <string>
#include <string_view>

namespace indigorill::load_generator {

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int too_many_requests_status = 429;
constexpr int server_error_status = 500;
constexpr int unavailable_status = 503;

/// `headers`: complete lines.
std::string format_response(int status, const std::string& body, const std::string& headers = "");

/// A positive number; 0 for anything else.
double parse_positive(std::string_view text);

/// The value of one parameter of a request target's query, as by parse_positive(); -1 where it is absent.
double query_parameter(std::string_view target, std::string_view name);

}  // namespace indigorill::load_generator
