#include "http/header_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace indigorill {
namespace {

using http::equals_ignoring_case;
using http::Message;

constexpr std::string_view rpc_id_header = "X-Call-Id", method_header = "X-Call-Class",
                           budget_header = "X-Budget", tenant_header = "X-Caller", retry_header = "X-Again",
                           load_report_header = "X-Load-Report", rejected_header = "X-Rejected";

// These belong to one connection, or are written anew.
bool is_hop_by_hop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> names{
      "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
      "Trailer",    "Upgrade",    "Expect",           budget_header};
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view n) { return equals_ignoring_case(n, name); });
}

std::optional<double> decimal(std::string_view s) {
  double v = 0;
  const auto [end, fault] = std::from_chars(s.data(), s.data() + s.size(), v, std::chars_format::fixed);
  if (s.empty() || fault != std::errc() || end != s.data() + s.size() || !std::isfinite(v)) return {};
  return v;
}

// A number and a unit, as ms.
std::optional<double> parse_duration_ms(std::string_view s) {
  if (s.size() < 2) return {};
  const char unit = s.back();
  const auto v = decimal(s.substr(0, s.size() - 1));
  if (!v || *v < 0 || (unit != 'm' && unit != 'u')) return {};
  return unit == 'm' ? *v : *v / us_per_ms;
}

std::string_view path_of(const Message& m) {
  const std::string_view target = m.slice(m.target);
  return target.substr(0, target.find('?'));
}

std::string_view first_path_segment(std::string_view path) {
  path.remove_prefix(std::min<std::size_t>(1, path.size()));
  return path.substr(0, path.find('/'));
}

// What an RPC is about stands behind its method.
std::string_view second_path_segment(std::string_view path) {
  path.remove_prefix(std::min(first_path_segment(path).size() + 2, path.size()));
  return path.substr(0, path.find('/'));
}

std::uint64_t hash(std::string_view text) {  // FNV-1a: the same at every sidecar
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

// What is to be passed on of a head, in as few pieces as it has gaps.
void append_forwarded_headers(WriteBuffer& out, const Message& m, bool with_load) {
  std::size_t from = 0, end = 0;
  const auto flush = [&] {
    if (end > from) out.append_borrowed(std::string_view(m.bytes).substr(from, end - from));
  };
  const std::string_view named = m.find_header("Connection").value_or("");  // these are of one hop, too
  for (const http::HeaderField& h : m.headers) {
    const std::string_view name = m.slice(h.name);
    if (is_hop_by_hop(name) || http::list_contains(named, name) ||
        (!with_load && equals_ignoring_case(name, load_report_header)))
      continue;
    if (h.raw_line.offset != end) {
      flush();
      from = h.raw_line.offset;
    }
    end = h.raw_line.offset + h.raw_line.length;
  }
  flush();
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    default:
      return status < 500 ? "Client Error" : "Service Unavailable";
  }
}

std::string status_line(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase(status)) + "\r\n";
}

std::string final_header_lines(std::size_t length, bool close) {
  return "Content-Length: " + std::to_string(length) + (close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
}

constexpr std::string_view chunked_header_line = "Transfer-Encoding: chunked\r\n";

std::string chunk_size_line(std::size_t n) {
  std::array<char, 20> digits;
  const auto end = std::to_chars(digits.begin(), digits.end(), n, 16).ptr;
  return std::string(digits.begin(), end) + "\r\n";
}

void append_body(WriteBuffer& out, const Message& m, bool chunked) {
  if (chunked && !m.body().empty()) out.append_owned(chunk_size_line(m.body().size()));
  out.append_borrowed(m.body());
  if (chunked && !m.body().empty()) out.append_owned("\r\n");
}

// Calls f with each name and number of a report.
template <class F>
void for_each_report_entry(std::string_view report, F&& f) {
  while (!report.empty()) {
    const std::string_view pair = report.substr(0, report.find(','));
    report.remove_prefix(std::min(pair.size() + 1, report.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\n' || value.back() == '\r'))
      value.remove_suffix(1);
    f(name, decimal(value));
  }
}

// Percent-decoded; none where it is malformed or holds what no id does.
std::optional<std::string> percent_decode(std::string_view s) {
  std::string to;
  for (; !s.empty(); s.remove_prefix(1)) {
    unsigned char c = static_cast<unsigned char>(s.front());
    if (c == '%') {
      const char* end = s.data() + 3;
      if (s.size() < 3 || std::from_chars(s.data() + 1, end, c, 16).ptr != end) return {};
      s.remove_prefix(2);
    }
    if (c < 0x20 || c == 0x7f) return {};
    to += static_cast<char>(c);
  }
  return to;
}

}  // namespace

RequestKind classify_request(const Message& m) {
  const std::string_view path = path_of(m);
  if (path == "*") return RequestKind::options;
  if (path == "/-/ready") return RequestKind::readiness;
  if (path == "/-/counters") return RequestKind::counters;
  return path.starts_with("/-/") ? RequestKind::unknown : RequestKind::rpc;
}

RpcRequest decode_rpc_request(const Message& m) {
  RpcRequest c;
  const std::string_view verb = m.slice(m.method);
  if (verb != "GET" && verb != "HEAD" && verb != "POST") c.error_status = 405;
  c.method = m.find_header(method_header).value_or(first_path_segment(path_of(m)));
  c.id = m.find_header(rpc_id_header).value_or("");
  const auto budget = parse_duration_ms(m.find_header(budget_header).value_or(""));
  if (c.id.empty() || !budget || c.method != first_path_segment(path_of(m))) c.error_status = 400;
  // Said twice, we and the endpoint could each read another one.
  for (const std::string_view name : {rpc_id_header, method_header, budget_header})
    if (std::count_if(m.headers.begin(), m.headers.end(), [&](const http::HeaderField& h) {
          return equals_ignoring_case(m.slice(h.name), name);
        }) > 1)
      c.error_status = 400;
  constexpr double day = 24 * 3600 * 1000.0;  // longer ones say nothing, and must not overflow
  c.budget_ms = std::min(budget.value_or(0), day);
  const std::string_view key = second_path_segment(path_of(m));
  if (!key.empty()) c.affinity_key = hash(key);
  c.tenant = m.find_header(tenant_header).value_or("");
  c.is_retry = m.find_header(retry_header) == "1";
  return c;
}

AttemptOutcome classify_response(const Message& answer) {
  if (answer.status == 200) return AttemptOutcome::ok;
  if ((answer.status == 503 || answer.status == 504) && answer.find_header(rejected_header) == "1")
    return AttemptOutcome::rejected;
  // It is the RPC that the endpoint can't use, as no other one could: no fault of the endpoint's. What may be
  // tried again is told otherwise.
  if (answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != 429)
    return AttemptOutcome::client_error;
  return AttemptOutcome::error;
}

LoadReport decode_load_report(const Message& answer, bool of_probe) {
  LoadReport l;
  const auto header = answer.find_header(load_report_header);
  for_each_report_entry(header     ? *header
                        : of_probe ? answer.body()
                                   : "",
                        [&](std::string_view name, auto value) {
                          if (name == in_flight_key) l.in_flight = value;
                        });
  return l;
}

bool has_valid_load_report(const Message& answer) {
  const auto header = answer.find_header(load_report_header);
  bool some = !header;
  if (header)
    for_each_report_entry(*header, [&](std::string_view, auto value) { some |= value.has_value(); });
  return some;
}

WriteBuffer encode_attempt(const Message& call, double patience) {
  WriteBuffer out;
  // The request line's method and path go on unchanged, with our version.
  out.append_borrowed(call.slice(call.method));
  out.append_owned(" ");
  out.append_borrowed(call.slice(call.target));
  out.append_owned(" HTTP/1.1\r\n");
  append_forwarded_headers(out, call, true);
  const auto us = static_cast<long long>(std::max(1.0, std::floor(patience * us_per_ms)));
  out.append_owned(std::string(budget_header) + ": " + std::to_string(us) + "u\r\n" +
                   (call.is_partial && !call.content_length ? std::string(chunked_header_line) + "\r\n"
                    : call.is_partial                       ? final_header_lines(*call.content_length, false)
                    : call.body().empty() && call.slice(call.method) != "POST"
                        ? "\r\n"
                        : final_header_lines(call.body().size(), false)));
  append_body(out, call, call.is_partial && !call.content_length);
  return out;
}

bool is_head_request(const Message& call) { return call.slice(call.method) == "HEAD"; }

std::string encode_body_chunk(std::string_view bytes, bool chunked, bool last) {
  if (!chunked) return std::string(bytes);
  std::string all;
  if (!bytes.empty()) all.append(chunk_size_line(bytes.size())).append(bytes).append("\r\n");
  if (last) all += "0\r\n\r\n";
  return all;
}

std::string_view continue_response() { return "HTTP/1.1 100 Continue\r\n\r\n"; }

WriteBuffer encode_options_response(bool close) {
  WriteBuffer out;
  out.append_owned(status_line(200) + "Allow: GET, HEAD, POST, OPTIONS\r\n" + final_header_lines(0, close));
  return out;
}

WriteBuffer encode_health_check(bool with_load) {
  WriteBuffer out;
  out.append_owned(with_load ? "GET /-/load HTTP/1.1\r\nHost: endpoint\r\n\r\n"
                             : "GET /-/healthy HTTP/1.1\r\nHost: endpoint\r\n\r\n");
  return out;
}

WriteBuffer encode_forwarded_response(const Message& answer, bool close, bool head_alone, bool old) {
  WriteBuffer out;
  out.append_owned(status_line(answer.status));
  append_forwarded_headers(out, answer, false);
  const bool chunked = answer.is_partial && !answer.content_length && !old;
  if (answer.is_partial && !answer.content_length)
    out.append_owned((old ? "" : std::string(chunked_header_line)) +
                     (close ? "Connection: close\r\n\r\n" : "\r\n"));
  else
    out.append_owned(final_header_lines(
        answer.is_partial || head_alone ? answer.content_length.value_or(0) : answer.body().size(), close));
  append_body(out, answer, chunked);
  return out;
}

WriteBuffer encode_rejection(double after, bool close) {
  WriteBuffer out;
  std::string head = status_line(503);
  if (after > 0) {
    std::array<char, 32> seconds;
    const auto end =
        std::to_chars(seconds.begin(), seconds.end(), after / 1000, std::chars_format::fixed, 3).ptr;
    head.append("Retry-After: ").append(seconds.data(), end).append("\r\n");
  }
  out.append_owned(head + final_header_lines(0, close));
  return out;
}

WriteBuffer encode_failure(bool close) { return encode_plain_response(502, "", close); }

AdminRequest decode_admin_request(const Message& m) {
  static constexpr std::pair<std::string_view, AdminRequest::Command> calls[] = {
      {"/status", AdminRequest::Command::status},
      {"/-/members", AdminRequest::Command::membership},
      {"/-/budgets", AdminRequest::Command::quotas},
      {"/maintenance/enter", AdminRequest::Command::eject},
      {"/maintenance/exit", AdminRequest::Command::restore}};
  AdminRequest o;
  const auto known = std::find_if(std::begin(calls), std::end(calls),
                                  [path = path_of(m)](const auto& c) { return c.first == path; });
  if (known == std::end(calls)) return o.error_status = 404, o;
  o.command = known->second;
  const bool reads = o.command != AdminRequest::Command::eject && o.command != AdminRequest::Command::restore;
  if (m.slice(m.method) != (reads ? "GET" : "PUT")) return o.error_status = 405, o;
  if (reads) return o;
  constexpr std::string_view named = "host=";
  constexpr std::size_t longest_id = 1024;
  std::string_view query = m.slice(m.target);
  query.remove_prefix(std::min(query.find('?'), query.size() - 1) + 1);
  int times = 0;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (!pair.starts_with(named)) continue;
    const auto id = percent_decode(pair.substr(named.size()));
    if (++times > 1 || !id || id->empty() || id->size() > longest_id) return o.error_status = 400, o;
    o.endpoint_id = *id;
  }
  if (times == 0) o.error_status = 400;
  return o;
}

WriteBuffer encode_admin_response(int status, std::string_view text, bool json) {
  WriteBuffer out;
  // Which method the path does take: the one that reads, or the one that changes something.
  out.append_owned(status_line(status) + (status == 405 ? "Allow: GET, PUT\r\n" : "") +
                   (json ? "Content-Type: application/json\r\n" : "") +
                   final_header_lines(text.size(), true) + std::string(text));
  return out;
}

WriteBuffer encode_plain_response(int status, std::string body, bool close) {
  WriteBuffer out;
  out.append_owned(status_line(status) + final_header_lines(body.size(), close) + body);
  return out;
}

}  // namespace indigorill
