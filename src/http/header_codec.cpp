#include "http/header_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "config/load_balancer_config.h"
#include "http/head_format.h"
#include "http/status.h"

namespace indigorill {
namespace {

using http::chunk_size_line;
using http::chunked_header_line;
using http::equals_ignoring_case;
using http::final_header_lines;
using http::Message;
using http::request_path;
using http::status_line;

constexpr std::string_view rpc_id_header = "X-Call-Id";
constexpr std::string_view method_header = "X-Call-Class";
constexpr std::string_view budget_header = "X-Budget";
constexpr std::string_view tenant_header = "X-Caller";
constexpr std::string_view retry_header = "X-Again";
constexpr std::string_view load_report_header = "X-Load-Report";
constexpr std::string_view rejected_header = "X-Rejected";

// Longer budgets mean no limit; they are capped so that later arithmetic doesn't overflow.
constexpr double max_budget_ms = 24 * 3600 * 1000.0;

/// Whether a header field is not forwarded, because it applies to one connection or is written anew.
bool is_hop_by_hop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> names{
      "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
      "Trailer",    "Upgrade",    "Expect",           budget_header};
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view hop_by_hop) { return equals_ignoring_case(hop_by_hop, name); });
}

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const char* last = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (text.empty() || error != std::errc() || parsed_to != last || !std::isfinite(value)) return {};
  return value;
}

/// A decimal number with the unit "m" for milliseconds or "u" for microseconds.
std::optional<double> parse_duration_ms(std::string_view text) {
  if (text.size() < 2) return {};
  const char unit = text.back();
  const auto value = parse_decimal(text.substr(0, text.size() - 1));
  if (!value || *value < 0 || (unit != 'm' && unit != 'u')) return {};
  return unit == 'm' ? *value : *value / us_per_ms;
}

std::string_view first_path_segment(std::string_view path) {
  path.remove_prefix(std::min<std::size_t>(1, path.size()));
  return path.substr(0, path.find('/'));
}

/// The segment that names the object that the RPC concerns; the first segment names its method.
std::string_view second_path_segment(std::string_view path) {
  path.remove_prefix(std::min(first_path_segment(path).size() + 2, path.size()));
  return path.substr(0, path.find('/'));
}

/// FNV-1a, so that all sidecars compute the same key.
std::uint64_t fnv1a_hash(std::string_view text) {
  constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
  constexpr std::uint64_t prime = 1099511628211ULL;
  std::uint64_t hash = offset_basis;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * prime;
  return hash;
}

std::size_t count_headers(const Message& message, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(message.headers.begin(), message.headers.end(), [&](const http::HeaderField& header) {
        return equals_ignoring_case(message.slice(header.name), name);
      }));
}

/// Whether the id, the method or the budget is repeated; the endpoint could then use another value than the
/// sidecar.
bool has_repeated_rpc_header(const Message& request) {
  return count_headers(request, rpc_id_header) > 1 || count_headers(request, method_header) > 1 ||
         count_headers(request, budget_header) > 1;
}

enum class LoadReportForwarding { forward, omit };

/// Appends the header fields that are forwarded, as one borrowed chunk for each run of adjacent lines.
void append_forwarded_headers(WriteBuffer& output, const Message& message, LoadReportForwarding load_report) {
  const std::string_view connection_options = message.find_header("Connection").value_or("");
  const auto is_forwarded = [&](std::string_view name) {
    return !is_hop_by_hop(name) && !http::list_contains(connection_options, name) &&
           (load_report == LoadReportForwarding::forward || !equals_ignoring_case(name, load_report_header));
  };
  std::size_t begin = 0;
  std::size_t end = 0;
  const auto append_run = [&] {
    output.append_borrowed(std::string_view(message.bytes).substr(begin, end - begin));
  };
  for (const http::HeaderField& header : message.headers) {
    if (!is_forwarded(message.slice(header.name))) continue;
    if (header.raw_line.offset != end) {
      append_run();
      begin = header.raw_line.offset;
    }
    end = header.raw_line.offset + header.raw_line.length;
  }
  append_run();
}

void append_body(WriteBuffer& output, const Message& message, bool chunked) {
  const bool has_chunk = chunked && !message.body().empty();
  if (has_chunk) output.append_owned(chunk_size_line(message.body().size()));
  output.append_borrowed(message.body());
  if (has_chunk) output.append_owned("\r\n");
}

/// Whether the body is streamed and of unknown length, so that it is sent in chunks.
bool needs_chunks(const Message& message) { return message.is_partial && !message.content_length; }

/// The last lines of the head of a request, which declare how its body is framed.
std::string request_framing_lines(const Message& request) {
  if (needs_chunks(request)) return std::string(chunked_header_line) + "\r\n";
  if (request.is_partial) return final_header_lines(*request.content_length, false);
  const bool may_omit_length = request.body().empty() && request.slice(request.method) != "POST";
  return may_omit_length ? "\r\n" : final_header_lines(request.body().size(), false);
}

/// Calls `handle` for each entry "name=value" of a load report, with the name and the value; the value is
/// empty if it is not a decimal number.
template <class Handler>
void for_each_report_entry(std::string_view report, Handler&& handle) {
  while (!report.empty()) {
    const std::string_view entry = report.substr(0, report.find(','));
    report.remove_prefix(std::min(entry.size() + 1, report.size()));
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = entry.substr(0, equals);
    std::string_view value = entry.substr(equals + 1);
    while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\n' || value.back() == '\r'))
      value.remove_suffix(1);
    handle(name, parse_decimal(value));
  }
}

}  // namespace

RequestKind classify_request(const Message& request) {
  const std::string_view path = request_path(request);
  if (path == "*") return RequestKind::options;
  if (path == "/-/ready") return RequestKind::readiness;
  if (path == "/-/counters") return RequestKind::counters;
  return path.starts_with("/-/") ? RequestKind::unknown : RequestKind::rpc;
}

RpcRequest decode_rpc_request(const Message& request) {
  const std::string_view path = request_path(request);
  const auto budget_ms = parse_duration_ms(request.find_header(budget_header).value_or(""));
  RpcRequest rpc{
      .id = request.find_header(rpc_id_header).value_or(""),
      .method = request.find_header(method_header).value_or(first_path_segment(path)),
      .budget_ms = std::min(budget_ms.value_or(0), max_budget_ms),
      .affinity_key = {},
      .tenant = request.find_header(tenant_header).value_or(""),
      .is_retry = request.find_header(retry_header) == "1",
  };
  const std::string_view http_method = request.slice(request.method);
  if (http_method != "GET" && http_method != "HEAD" && http_method != "POST")
    rpc.error_status = http::status::method_not_allowed;
  if (rpc.id.empty() || !budget_ms || rpc.method != first_path_segment(path) ||
      has_repeated_rpc_header(request))
    rpc.error_status = http::status::bad_request;
  const std::string_view object = second_path_segment(path);
  if (!object.empty()) rpc.affinity_key = fnv1a_hash(object);
  return rpc;
}

bool is_head_request(const Message& request) { return request.slice(request.method) == "HEAD"; }

AttemptOutcome classify_response(const Message& response) {
  const int status = response.status;
  if (status == http::status::ok) return AttemptOutcome::ok;
  if ((status == http::status::service_unavailable || status == http::status::gateway_timeout) &&
      response.find_header(rejected_header) == "1")
    return AttemptOutcome::rejected;
  // No endpoint could serve an RPC with a client error, so the error doesn't count against this endpoint.
  // After 408 and 429 a retry may succeed.
  if (status >= 400 && status < 500 && status != http::status::request_timeout &&
      status != http::status::too_many_requests)
    return AttemptOutcome::client_error;
  return AttemptOutcome::error;
}

LoadReport decode_load_report(const Message& response, bool is_health_check) {
  const std::string_view body_report = is_health_check ? response.body() : std::string_view();
  LoadReport report;
  for_each_report_entry(response.find_header(load_report_header).value_or(body_report),
                        [&](std::string_view name, std::optional<double> value) {
                          if (name == in_flight_key) report.in_flight = value;
                        });
  return report;
}

bool has_valid_load_report(const Message& response) {
  const auto header = response.find_header(load_report_header);
  if (!header) return true;
  bool has_number = false;
  for_each_report_entry(
      *header, [&](std::string_view, std::optional<double> value) { has_number |= value.has_value(); });
  return has_number;
}

WriteBuffer encode_attempt(const Message& request, double timeout_ms) {
  WriteBuffer output;
  // The method and the target are forwarded unchanged; the HTTP version is the sidecar's.
  output.append_borrowed(request.slice(request.method));
  output.append_owned(" ");
  output.append_borrowed(request.slice(request.target));
  output.append_owned(" HTTP/1.1\r\n");
  append_forwarded_headers(output, request, LoadReportForwarding::forward);
  const auto timeout_us = static_cast<long long>(std::max(1.0, std::floor(timeout_ms * us_per_ms)));
  output.append_owned(std::string(budget_header) + ": " + std::to_string(timeout_us) + "u\r\n" +
                      request_framing_lines(request));
  append_body(output, request, needs_chunks(request));
  return output;
}

WriteBuffer encode_health_check(bool reports_load) {
  WriteBuffer output;
  output.append_owned(reports_load ? "GET /-/load HTTP/1.1\r\nHost: endpoint\r\n\r\n"
                                   : "GET /-/healthy HTTP/1.1\r\nHost: endpoint\r\n\r\n");
  return output;
}

std::string encode_body_chunk(std::string_view bytes, bool chunked, bool is_last) {
  if (!chunked) return std::string(bytes);
  std::string chunk;
  if (!bytes.empty()) chunk.append(chunk_size_line(bytes.size())).append(bytes).append("\r\n");
  if (is_last) chunk += "0\r\n\r\n";
  return chunk;
}

std::string_view continue_response() { return "HTTP/1.1 100 Continue\r\n\r\n"; }

WriteBuffer encode_forwarded_response(const Message& response, bool close_connection, bool is_head_response,
                                      bool client_is_http_1_0) {
  WriteBuffer output;
  output.append_owned(status_line(response.status));
  append_forwarded_headers(output, response, LoadReportForwarding::omit);
  const bool chunked = needs_chunks(response) && !client_is_http_1_0;
  if (needs_chunks(response)) {
    output.append_owned((chunked ? std::string(chunked_header_line) : "") +
                        (close_connection ? "Connection: close\r\n\r\n" : "\r\n"));
  } else {
    const std::size_t length = response.is_partial || is_head_response ? response.content_length.value_or(0)
                                                                       : response.body().size();
    output.append_owned(final_header_lines(length, close_connection));
  }
  append_body(output, response, chunked);
  return output;
}

WriteBuffer encode_rejection(double retry_after_ms, bool close_connection) {
  constexpr double ms_per_s = 1000;
  std::string head = status_line(http::status::service_unavailable);
  if (retry_after_ms > 0) {
    std::array<char, 32> seconds;
    const auto result = std::to_chars(seconds.data(), seconds.data() + seconds.size(),
                                      retry_after_ms / ms_per_s, std::chars_format::fixed, 3);
    head.append("Retry-After: ").append(seconds.data(), result.ptr).append("\r\n");
  }
  WriteBuffer output;
  output.append_owned(head + final_header_lines(0, close_connection));
  return output;
}

WriteBuffer encode_failure(bool close_connection) {
  return encode_plain_response(http::status::bad_gateway, "", close_connection);
}

WriteBuffer encode_options_response(bool close_connection) {
  WriteBuffer output;
  output.append_owned(status_line(http::status::ok) + "Allow: GET, HEAD, POST, OPTIONS\r\n" +
                      final_header_lines(0, close_connection));
  return output;
}

WriteBuffer encode_plain_response(int status, std::string body, bool close_connection) {
  WriteBuffer output;
  output.append_owned(status_line(status) + final_header_lines(body.size(), close_connection) +
                      std::move(body));
  return output;
}

}  // namespace indigorill
