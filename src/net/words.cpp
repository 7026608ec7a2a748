#include "words.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace indigorill {
namespace {

using http::message;
using http::same_name;

constexpr std::string_view rpc_id = "X-Call-Id", method_name = "X-Call-Class", budget_name = "X-Budget",
                           tenant_name = "X-Caller", repeat_name = "X-Again", load_name = "X-Load-Report",
                           never_ran = "X-Rejected";

// These belong to one connection, or are written anew.
bool of_one_hop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> names{
      "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
      "Trailer",    "Upgrade",    "Expect",           budget_name};
  return std::any_of(names.begin(), names.end(), [&](std::string_view n) { return same_name(n, name); });
}

std::optional<double> decimal(std::string_view s) {
  double v = 0;
  const auto [end, fault] = std::from_chars(s.data(), s.data() + s.size(), v, std::chars_format::fixed);
  if (s.empty() || fault != std::errc() || end != s.data() + s.size() || !std::isfinite(v)) return {};
  return v;
}

// A number and a unit, as ms.
std::optional<double> span(std::string_view s) {
  if (s.size() < 2) return {};
  const char unit = s.back();
  const auto v = decimal(s.substr(0, s.size() - 1));
  if (!v || *v < 0 || (unit != 'm' && unit != 'u')) return {};
  return unit == 'm' ? *v : *v / us_per_ms;
}

std::string_view path_of(const message& m) {
  const std::string_view target = m.text(m.target);
  return target.substr(0, target.find('?'));
}

std::string_view first_part(std::string_view path) {
  path.remove_prefix(std::min<std::size_t>(1, path.size()));
  return path.substr(0, path.find('/'));
}

// What an RPC is about stands behind its method.
std::string_view second_part(std::string_view path) {
  path.remove_prefix(std::min(first_part(path).size() + 2, path.size()));
  return path.substr(0, path.find('/'));
}

std::uint64_t hash(std::string_view text) {  // FNV-1a: the same at every sidecar
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

// What is to be passed on of a head, in as few pieces as it has gaps.
void lend_headers(outgoing& out, const message& m, bool with_load) {
  std::size_t from = 0, end = 0;
  const auto flush = [&] {
    if (end > from) out.lend(std::string_view(m.bytes).substr(from, end - from));
  };
  const std::string_view named = m.find("Connection").value_or("");  // these are of one hop, too
  for (const http::header& h : m.headers) {
    const std::string_view name = m.text(h.name);
    if (of_one_hop(name) || http::has_word(named, name) || (!with_load && same_name(name, load_name)))
      continue;
    if (h.line.from != end) {
      flush();
      from = h.line.from;
    }
    end = h.line.from + h.line.length;
  }
  flush();
}

std::string_view reason(int status) {
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
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason(status)) + "\r\n";
}

std::string last_lines(std::size_t length, bool close) {
  return "Content-Length: " + std::to_string(length) + (close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
}

constexpr std::string_view in_chunks = "Transfer-Encoding: chunked\r\n";

std::string size_line(std::size_t n) {
  std::array<char, 20> digits;
  const auto end = std::to_chars(digits.begin(), digits.end(), n, 16).ptr;
  return std::string(digits.begin(), end) + "\r\n";
}

void lend_body(outgoing& out, const message& m, bool chunked) {
  if (chunked && !m.body().empty()) out.own(size_line(m.body().size()));
  out.lend(m.body());
  if (chunked && !m.body().empty()) out.own("\r\n");
}

// Calls f with each name and number of a report.
template <class F>
void each_figure(std::string_view report, F&& f) {
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
std::optional<std::string> decoded(std::string_view s) {
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

errand errand_of(const message& m) {
  const std::string_view path = path_of(m);
  if (path == "*") return errand::abilities;
  if (path == "/-/ready") return errand::readiness;
  if (path == "/-/counters") return errand::counters;
  return path.starts_with("/-/") ? errand::nothing : errand::rpc;
}

call read_call(const message& m) {
  call c;
  const std::string_view verb = m.text(m.method);
  if (verb != "GET" && verb != "HEAD" && verb != "POST") c.fault = 405;
  c.method = m.find(method_name).value_or(first_part(path_of(m)));
  c.id = m.find(rpc_id).value_or("");
  const auto budget = span(m.find(budget_name).value_or(""));
  if (c.id.empty() || !budget || c.method != first_part(path_of(m))) c.fault = 400;
  // Said twice, we and the endpoint could each read another one.
  for (const std::string_view name : {rpc_id, method_name, budget_name})
    if (std::count_if(m.headers.begin(), m.headers.end(),
                      [&](const http::header& h) { return same_name(m.text(h.name), name); }) > 1)
      c.fault = 400;
  constexpr double day = 24 * 3600 * 1000.0;  // longer ones say nothing, and must not overflow
  c.budget = std::min(budget.value_or(0), day);
  const std::string_view key = second_part(path_of(m));
  if (!key.empty()) c.key = hash(key);
  c.tenant = m.find(tenant_name).value_or("");
  c.repeat = m.find(repeat_name) == "1";
  return c;
}

ending ending_of(const message& answer) {
  if (answer.status == 200) return ending::ok;
  if ((answer.status == 503 || answer.status == 504) && answer.find(never_ran) == "1") return ending::full;
  // It is the RPC that the endpoint can't use, as no other one could: no fault of the endpoint's. What may be
  // tried again is told otherwise.
  if (answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != 429)
    return ending::moot;
  return ending::error;
}

load load_of(const message& answer, bool of_probe) {
  load l;
  const auto header = answer.find(load_name);
  each_figure(header     ? *header
              : of_probe ? answer.body()
                         : "",
              [&](std::string_view name, auto value) {
                if (name == held_word) l.held = value;
              });
  return l;
}

bool readable_report(const message& answer) {
  const auto header = answer.find(load_name);
  bool some = !header;
  if (header) each_figure(*header, [&](std::string_view, auto value) { some |= value.has_value(); });
  return some;
}

outgoing pick_of(const message& call, double patience) {
  outgoing out;
  // The request line's method and path go on unchanged, with our version.
  out.lend(call.text(call.method));
  out.own(" ");
  out.lend(call.text(call.target));
  out.own(" HTTP/1.1\r\n");
  lend_headers(out, call, true);
  const auto us = static_cast<long long>(std::max(1.0, std::floor(patience * us_per_ms)));
  out.own(std::string(budget_name) + ": " + std::to_string(us) + "u\r\n" +
          (call.partial && !call.length ? std::string(in_chunks) + "\r\n"
           : call.partial               ? last_lines(*call.length, false)
           : call.body().empty() && call.text(call.method) != "POST"
               ? "\r\n"
               : last_lines(call.body().size(), false)));
  lend_body(out, call, call.partial && !call.length);
  return out;
}

bool asks_head(const message& call) { return call.text(call.method) == "HEAD"; }

std::string piece_of(std::string_view bytes, bool chunked, bool last) {
  if (!chunked) return std::string(bytes);
  std::string all;
  if (!bytes.empty()) all.append(size_line(bytes.size())).append(bytes).append("\r\n");
  if (last) all += "0\r\n\r\n";
  return all;
}

std::string_view go_on_with_the_body() { return "HTTP/1.1 100 Continue\r\n\r\n"; }

outgoing abilities(bool close) {
  outgoing out;
  out.own(status_line(200) + "Allow: GET, HEAD, POST, OPTIONS\r\n" + last_lines(0, close));
  return out;
}

outgoing probe_of(bool with_load) {
  outgoing out;
  out.own(with_load ? "GET /-/load HTTP/1.1\r\nHost: endpoint\r\n\r\n"
                    : "GET /-/healthy HTTP/1.1\r\nHost: endpoint\r\n\r\n");
  return out;
}

outgoing passed_on(const message& answer, bool close, bool head_alone, bool old) {
  outgoing out;
  out.own(status_line(answer.status));
  lend_headers(out, answer, false);
  const bool chunked = answer.partial && !answer.length && !old;
  if (answer.partial && !answer.length)
    out.own((old ? "" : std::string(in_chunks)) + (close ? "Connection: close\r\n\r\n" : "\r\n"));
  else
    out.own(
        last_lines(answer.partial || head_alone ? answer.length.value_or(0) : answer.body().size(), close));
  lend_body(out, answer, chunked);
  return out;
}

outgoing pushed_back(double after, bool close) {
  outgoing out;
  std::string head = status_line(503);
  if (after > 0) {
    std::array<char, 32> seconds;
    const auto end =
        std::to_chars(seconds.begin(), seconds.end(), after / 1000, std::chars_format::fixed, 3).ptr;
    head.append("Retry-After: ").append(seconds.data(), end).append("\r\n");
  }
  out.own(head + last_lines(0, close));
  return out;
}

outgoing aborted(bool close) { return plain(502, "", close); }

order read_order(const message& m) {
  static constexpr std::pair<std::string_view, order::what> calls[] = {
      {"/status", order::what::status},
      {"/-/members", order::what::members},
      {"/-/budgets", order::what::budgets},
      {"/maintenance/enter", order::what::out},
      {"/maintenance/exit", order::what::back}};
  order o;
  const auto known = std::find_if(std::begin(calls), std::end(calls),
                                  [path = path_of(m)](const auto& c) { return c.first == path; });
  if (known == std::end(calls)) return o.fault = 404, o;
  o.is = known->second;
  const bool reads = o.is != order::what::out && o.is != order::what::back;
  if (m.text(m.method) != (reads ? "GET" : "PUT")) return o.fault = 405, o;
  if (reads) return o;
  constexpr std::string_view named = "host=";
  constexpr std::size_t longest_id = 1024;
  std::string_view query = m.text(m.target);
  query.remove_prefix(std::min(query.find('?'), query.size() - 1) + 1);
  int times = 0;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (!pair.starts_with(named)) continue;
    const auto id = decoded(pair.substr(named.size()));
    if (++times > 1 || !id || id->empty() || id->size() > longest_id) return o.fault = 400, o;
    o.id = *id;
  }
  if (times == 0) o.fault = 400;
  return o;
}

outgoing ordered(int status, std::string_view text, bool json) {
  outgoing out;
  // Which method the path does take: the one that reads, or the one that changes something.
  out.own(status_line(status) + (status == 405 ? "Allow: GET, PUT\r\n" : "") +
          (json ? "Content-Type: application/json\r\n" : "") + last_lines(text.size(), true) +
          std::string(text));
  return out;
}

outgoing plain(int status, std::string body, bool close) {
  outgoing out;
  out.own(status_line(status) + last_lines(body.size(), close) + body);
  return out;
}

}  // namespace indigorill
