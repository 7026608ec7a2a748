#include "http.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace indigorill::http {
namespace {

constexpr std::size_t longest_line = 8 * 1024, most_headers = 100, room_at_least = 4 * 1024;

bool token(std::string_view s) {
  static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           marks.find(c) != std::string_view::npos;
  });
}

bool visible(std::string_view s) {  // no controls but tabs
  return std::none_of(s.begin(), s.end(), [](char c) { return (c >= 0 && c < 32 && c != '\t') || c == 127; });
}

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

template <class F>
void each_word(std::string_view list, F&& f) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view word = list.substr(0, comma);
    while (!word.empty() && (word.front() == ' ' || word.front() == '\t')) word.remove_prefix(1);
    while (!word.empty() && (word.back() == ' ' || word.back() == '\t')) word.remove_suffix(1);
    if (!word.empty()) f(word);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

std::optional<std::uint64_t> number(std::string_view s, int base) {
  std::uint64_t v = 0;
  const auto [end, fault] = std::from_chars(s.data(), s.data() + s.size(), v, base);
  if (s.empty() || fault != std::errc() || end != s.data() + s.size()) return {};
  return v;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_word(std::string_view list, std::string_view word) {
  bool has = false;
  each_word(list, [&](std::string_view w) { has |= same_name(w, word); });
  return has;
}

std::optional<std::string_view> message::find(std::string_view name) const {
  for (const header& h : headers)
    if (same_name(text(h.name), name)) return text(h.value);
  return {};
}

std::span<char> reader::room() {
  std::string& b = got.bytes;
  if (b.size() - filled < room_at_least / 4) b.resize(std::max(filled + room_at_least, filled * 2));
  return {b.data() + filled, b.size() - filled};
}

void reader::fed(std::size_t count) {
  filled += count;
  parse();
}

void reader::ended() {
  if (is != state::reading && is != state::passing) return;
  if (in == stage::until_end) {
    in = stage::over;
    is = passing ? state::over : state::whole;
  } else {
    broken(400);
  }
}

message reader::take() {
  message whole = std::move(got);
  got = {};
  if (is == state::begun) {
    // What is left is unframed body and framing yet to be parsed: it moves to the front.
    const std::string_view rest = std::string_view(whole.bytes).substr(at, filled - at);
    got.bytes.assign(rest);
    filled = rest.size();
    whole.bytes.resize(whole.content.from + whole.content.length);
    whole.partial = true;
    connection_keeps = whole.keeps;
    passed = whole.content.length;
    at = scanned = 0;
    passing = true;
    is = state::passing;
    parse();
    return whole;
  }
  const std::string rest = whole.bytes.substr(at, filled - at);
  whole.bytes.resize(at);
  begin_next(rest);
  return whole;
}

void reader::take_over() {
  const std::string rest = got.bytes.substr(at, filled - at);
  got = {};
  begin_next(rest);
}

void reader::begin_next(std::string_view rest) {
  got.bytes.assign(rest);
  filled = rest.size();
  at = scanned = awaited = trailers = 0;
  passed = 0;
  in = stage::head;
  is = state::reading;
  worded = bodiless = expectant = passing = false;
  parse();
}

void reader::drop_piece() {
  const std::size_t n = got.content.length;
  passed += n;
  std::memmove(got.bytes.data(), got.bytes.data() + n, filled - n);
  filled -= n;
  at -= n;
  scanned = at;
  got.content.length = 0;
  if (is == state::passing) parse();
}

bool reader::broken(int status) {
  status_of_fault = status;
  is = state::broken;
  return false;
}

// A line without its end; `at` moves past it. None if it is not whole yet, or the message is broken.
std::optional<std::string_view> reader::next_line(std::size_t most) {
  const std::string_view b(got.bytes.data(), filled);
  scanned = std::max(scanned, at);
  const std::size_t end = b.find('\n', scanned);
  if (end == std::string_view::npos) {
    scanned = filled;
    if (filled - at > most) broken(431);
    return {};
  }
  if (end - at > most) return broken(431), std::nullopt;
  // Line ends of one kind alone: who reads them otherwise than we do would see other messages.
  if (end == at || b[end - 1] != '\r') return broken(400), std::nullopt;
  const std::string_view line = b.substr(at, end - 1 - at);
  at = end + 1;
  return line;
}

void reader::parse() {
  while (is == state::reading || is == state::passing) {
    switch (in) {
      case stage::head:
        if (!parse_head()) return;
        break;
      case stage::counted:
        if (!parse_counted()) return;
        break;
      case stage::until_end:
        got.content.length = static_cast<std::uint32_t>(filled - got.content.from);
        at = filled;
        if (got.content.length + passed > (pieces ? longest_body : most_body)) broken(413);
        if (pieces && is == state::reading && got.content.length > most_body) is = state::begun;
        return;
      case stage::over:
        is = passing ? state::over : state::whole;
        return;
      default:
        if (!parse_chunks()) return;
        if (pieces && is == state::reading && got.content.length > most_body) is = state::begun;
    }
  }
}

// A body whose length was stated: whole where it can be held, else begun with its first bytes.
bool reader::parse_counted() {
  if (!passing && awaited <= most_body) {
    if (filled - at < awaited) return false;
    got.content = {static_cast<std::uint32_t>(at), static_cast<std::uint32_t>(awaited)};
    at += awaited;
    in = stage::over;
    return true;
  }
  const std::size_t n = std::min(awaited, filled - at);
  if (!passing && n == 0) return false;  // the first bytes are what is waited for: a head alone is no answer
  got.content.length += static_cast<std::uint32_t>(n);
  at += n;
  awaited -= n;
  if (!passing) {
    is = state::begun;
    return false;
  }
  if (awaited == 0) in = stage::over;
  return awaited == 0;
}

bool reader::parse_head() {
  for (;;) {
    const std::size_t from = at;
    const auto line = next_line(longest_line);
    if (is == state::broken) return false;
    if (at > longest_head || (!line && filled - at > longest_head + most_body)) return broken(431);
    if (!line) return false;
    if (!got.status && got.method.length == 0) {
      if (line->empty() && expects == kind::request && from == 0) {
        // One empty line before a request is allowed; it is dropped so that places start at the request.
        got.bytes.erase(0, at);
        filled -= at;
        at = scanned = 0;
        if (filled >= 1 && got.bytes[0] == '\r') return broken(400);
        continue;
      }
      if (!start_line(*line, from)) return broken(400);
    } else if (!line->empty()) {
      if (got.headers.size() >= most_headers) return broken(431);
      if (!header_line(*line, from)) return broken(400);
    } else {
      return frame();
    }
  }
}

bool reader::start_line(std::string_view line, std::size_t from) {
  const auto piece = [&](std::size_t start, std::size_t length) {
    return place{static_cast<std::uint32_t>(from + start), static_cast<std::uint32_t>(length)};
  };
  if (expects == kind::answer) {
    if (line.size() < 12 || !line.starts_with("HTTP/1.") || (line[7] != '0' && line[7] != '1') ||
        line[8] != ' ' || (line.size() > 12 && line[12] != ' ') || !visible(line))
      return false;
    const auto code = number(line.substr(9, 3), 10);
    if (!code || *code < 100 || *code > 599) return false;
    got.status = static_cast<int>(*code);
    got.keeps = line[7] == '1';
    got.old = !got.keeps;
    return true;
  }
  const std::size_t first = line.find(' ');
  if (first == std::string_view::npos) return false;
  const std::size_t second = line.find(' ', first + 1);
  if (second == std::string_view::npos || second == first + 1) return false;
  const std::string_view version = line.substr(second + 1);
  std::string_view target = line.substr(first + 1, second - first - 1);
  // The absolute form names the host once more; what goes on is the rest (RFC 9112, 3.2.2).
  constexpr std::string_view scheme = "http://";
  if (target.size() > scheme.size() && same_name(target.substr(0, scheme.size()), scheme))
    target.remove_prefix(std::min(target.find('/', scheme.size()), target.size() - 1));
  const bool of_all = target == "*" && line.substr(0, first) == "OPTIONS";
  if (!token(line.substr(0, first)) || (version != "HTTP/1.1" && version != "HTTP/1.0") ||
      (target.front() != '/' && !of_all) || !visible(target) || target.find('\t') != std::string_view::npos)
    return false;
  got.method = piece(0, first);
  got.target = piece(second - target.size(), target.size());
  got.keeps = version == "HTTP/1.1";
  got.old = !got.keeps;
  return true;
}

bool reader::header_line(std::string_view line, std::size_t from) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !token(line.substr(0, colon)) || !visible(line)) return false;
  std::size_t start = colon + 1, end = line.size();
  while (start < end && (line[start] == ' ' || line[start] == '\t')) ++start;
  while (end > start && (line[end - 1] == ' ' || line[end - 1] == '\t')) --end;
  const auto u = [](std::size_t n) { return static_cast<std::uint32_t>(n); };
  got.headers.push_back(
      {{u(from), u(colon)}, {u(from + start), u(end - start)}, {u(from), u(line.size() + 2)}});
  return true;
}

// The head is whole: how long is the body?
bool reader::frame() {
  std::optional<std::uint64_t> length;
  bool chunked = false, coded = false, close = false, keep = false, waits = false;
  for (const header& h : got.headers) {
    const std::string_view name = got.text(h.name), value = got.text(h.value);
    if (same_name(name, "Content-Length")) {
      const auto n = number(value, 10);
      // Two lengths are how one request is smuggled inside another.
      if (!n || (length && *length != *n)) return broken(400);
      length = n;
    } else if (same_name(name, "Transfer-Encoding")) {
      each_word(value, [&](std::string_view w) {
        if (chunked || !same_name(w, "chunked"))
          coded = true;
        else
          chunked = true;
      });
    } else if (same_name(name, "Connection")) {
      close |= has_word(value, "close");
      keep |= has_word(value, "keep-alive");
    } else if (same_name(name, "Expect")) {
      waits |= has_word(value, "100-continue");
    }
  }
  if (coded || (chunked && length)) return broken(400);
  got.keeps = !close && (got.keeps || keep) && !worded;
  if (got.status >= 100 && got.status < 200) {
    if (got.status == 101) return broken(400);
    // Only a word that the answer is on its way: dropped. Who sends one unasked is met anew for the next.
    worded = true;
    const std::size_t rest = filled - at;
    std::memmove(got.bytes.data(), got.bytes.data() + at, rest);
    got.headers.clear();
    got.status = 0;
    filled = rest;
    at = scanned = 0;
    return true;
  }
  got.content.from = static_cast<std::uint32_t>(at);
  got.length = length;
  expectant = waits && expects == kind::request && !got.old && (chunked || length.value_or(0) > 0);
  if (got.status == 204 || got.status == 304 || bodiless) {
    in = stage::over;
  } else if (chunked) {
    in = stage::size;
  } else if (length) {
    if (*length > (pieces ? longest_body : most_body)) return broken(413);
    awaited = static_cast<std::size_t>(*length);
    in = stage::counted;
  } else if (expects == kind::answer) {
    got.keeps = false;
    in = stage::until_end;
  } else {
    in = stage::over;
  }
  return true;
}

// The data of chunks is moved together in place; true if there may be more to parse.
bool reader::parse_chunks() {
  constexpr std::size_t longest_size_line = 256;
  if (in == stage::size) {
    const auto line = next_line(longest_size_line);
    if (!line) return false;
    const std::string_view digits = line->substr(0, line->find_first_of("; \t"));
    const auto n = number(digits, 16);
    if (!n || digits.size() > 8 || !visible(*line)) return broken(400);
    if (passed + got.content.length + *n > (pieces ? longest_body : most_body)) return broken(413);
    awaited = *n;
    in = awaited > 0 ? stage::data : stage::trailer;
  } else if (in == stage::data) {
    const std::size_t n = std::min(awaited, filled - at);
    if (n == 0) return false;
    std::memmove(got.bytes.data() + got.content.from + got.content.length, got.bytes.data() + at, n);
    got.content.length += static_cast<std::uint32_t>(n);
    at += n;
    awaited -= n;
    // What framing took is given back, or a body in many small chunks would fill the memory.
    const std::size_t body_end = got.content.from + got.content.length;
    std::memmove(got.bytes.data() + body_end, got.bytes.data() + at, filled - at);
    filled -= at - body_end;
    at = scanned = body_end;
    if (awaited == 0) in = stage::data_end;
  } else if (in == stage::data_end) {
    const auto line = next_line(2);
    if (is == state::broken) return broken(400);
    if (!line) return false;
    if (!line->empty()) return broken(400);
    in = stage::size;
  } else {
    const std::size_t from = at;
    const auto line = next_line(longest_line);
    if (!line) return false;
    trailers += at - from;
    if (trailers > longest_head) return broken(431);
    if (line->empty()) in = stage::over;
  }
  return true;
}

}  // namespace indigorill::http
