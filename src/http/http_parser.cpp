#include "http/http_parser.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace indigorill::http {
namespace {

constexpr std::size_t max_line_bytes = 8 * 1024, max_headers = 100, min_buffer_bytes = 4 * 1024;

bool is_token(std::string_view s) {
  static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           marks.find(c) != std::string_view::npos;
  });
}

bool has_no_control_characters(std::string_view s) {  // no controls but tabs
  return std::none_of(s.begin(), s.end(), [](char c) { return (c >= 0 && c < 32 && c != '\t') || c == 127; });
}

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

template <class F>
void for_each_list_item(std::string_view list, F&& f) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view word = list.substr(0, comma);
    while (!word.empty() && (word.front() == ' ' || word.front() == '\t')) word.remove_prefix(1);
    while (!word.empty() && (word.back() == ' ' || word.back() == '\t')) word.remove_suffix(1);
    if (!word.empty()) f(word);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

std::optional<std::uint64_t> parse_unsigned(std::string_view s, int base) {
  std::uint64_t v = 0;
  const auto [end, fault] = std::from_chars(s.data(), s.data() + s.size(), v, base);
  if (s.empty() || fault != std::errc() || end != s.data() + s.size()) return {};
  return v;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool list_contains(std::string_view list, std::string_view word) {
  bool has = false;
  for_each_list_item(list, [&](std::string_view w) { has |= equals_ignoring_case(w, word); });
  return has;
}

std::optional<std::string_view> Message::find_header(std::string_view name) const {
  for (const HeaderField& h : headers)
    if (equals_ignoring_case(slice(h.name), name)) return slice(h.value);
  return {};
}

std::span<char> HttpParser::writable_buffer() {
  std::string& b = message_.bytes;
  if (b.size() - filled_bytes_ < min_buffer_bytes / 4)
    b.resize(std::max(filled_bytes_ + min_buffer_bytes, filled_bytes_ * 2));
  return {b.data() + filled_bytes_, b.size() - filled_bytes_};
}

void HttpParser::commit(std::size_t count) {
  filled_bytes_ += count;
  parse();
}

void HttpParser::on_end_of_stream() {
  if (state_ != ParseState::reading && state_ != ParseState::streaming_body) return;
  if (stage_ == ParseStage::body_until_close) {
    stage_ = ParseStage::complete;
    state_ = is_streaming_ ? ParseState::body_complete : ParseState::complete;
  } else {
    fail(400);
  }
}

Message HttpParser::take_message() {
  Message whole = std::move(message_);
  message_ = {};
  if (state_ == ParseState::head_ready) {
    // What is left is unframed body and framing yet to be parsed: it moves to the front.
    const std::string_view rest =
        std::string_view(whole.bytes).substr(parse_offset_, filled_bytes_ - parse_offset_);
    message_.bytes.assign(rest);
    filled_bytes_ = rest.size();
    whole.bytes.resize(whole.body_range.offset + whole.body_range.length);
    whole.is_partial = true;
    keep_alive_ = whole.keep_alive;
    streamed_bytes_ = whole.body_range.length;
    parse_offset_ = scan_offset_ = 0;
    is_streaming_ = true;
    state_ = ParseState::streaming_body;
    parse();
    return whole;
  }
  const std::string rest = whole.bytes.substr(parse_offset_, filled_bytes_ - parse_offset_);
  whole.bytes.resize(parse_offset_);
  reset_with(rest);
  return whole;
}

void HttpParser::start_next_message() {
  const std::string rest = message_.bytes.substr(parse_offset_, filled_bytes_ - parse_offset_);
  message_ = {};
  reset_with(rest);
}

void HttpParser::reset_with(std::string_view rest) {
  message_.bytes.assign(rest);
  filled_bytes_ = rest.size();
  parse_offset_ = scan_offset_ = remaining_bytes_ = trailer_bytes_ = 0;
  streamed_bytes_ = 0;
  stage_ = ParseStage::head;
  state_ = ParseState::reading;
  has_interim_response_ = is_body_forbidden_ = expects_continue_ = is_streaming_ = false;
  parse();
}

void HttpParser::consume_body_chunk() {
  const std::size_t n = message_.body_range.length;
  streamed_bytes_ += n;
  std::memmove(message_.bytes.data(), message_.bytes.data() + n, filled_bytes_ - n);
  filled_bytes_ -= n;
  parse_offset_ -= n;
  scan_offset_ = parse_offset_;
  message_.body_range.length = 0;
  if (state_ == ParseState::streaming_body) parse();
}

bool HttpParser::fail(int status) {
  error_status_ = status;
  state_ = ParseState::error;
  return false;
}

// A line without its end; `at` moves past it. None if it is not whole yet, or the message is broken.
std::optional<std::string_view> HttpParser::next_line(std::size_t most) {
  const std::string_view b(message_.bytes.data(), filled_bytes_);
  scan_offset_ = std::max(scan_offset_, parse_offset_);
  const std::size_t end = b.find('\n', scan_offset_);
  if (end == std::string_view::npos) {
    scan_offset_ = filled_bytes_;
    if (filled_bytes_ - parse_offset_ > most) fail(431);
    return {};
  }
  if (end - parse_offset_ > most) return fail(431), std::nullopt;
  // Line ends of one kind alone: who reads them otherwise than we do would see other messages.
  if (end == parse_offset_ || b[end - 1] != '\r') return fail(400), std::nullopt;
  const std::string_view line = b.substr(parse_offset_, end - 1 - parse_offset_);
  parse_offset_ = end + 1;
  return line;
}

void HttpParser::parse() {
  while (state_ == ParseState::reading || state_ == ParseState::streaming_body) {
    switch (stage_) {
      case ParseStage::head:
        if (!parse_head()) return;
        break;
      case ParseStage::fixed_length_body:
        if (!parse_fixed_length_body()) return;
        break;
      case ParseStage::body_until_close:
        message_.body_range.length = static_cast<std::uint32_t>(filled_bytes_ - message_.body_range.offset);
        parse_offset_ = filled_bytes_;
        if (message_.body_range.length + streamed_bytes_ >
            (is_streaming_allowed_ ? max_body_bytes : max_buffered_body_))
          fail(413);
        if (is_streaming_allowed_ && state_ == ParseState::reading &&
            message_.body_range.length > max_buffered_body_)
          state_ = ParseState::head_ready;
        return;
      case ParseStage::complete:
        state_ = is_streaming_ ? ParseState::body_complete : ParseState::complete;
        return;
      default:
        if (!parse_chunks()) return;
        if (is_streaming_allowed_ && state_ == ParseState::reading &&
            message_.body_range.length > max_buffered_body_)
          state_ = ParseState::head_ready;
    }
  }
}

// A body whose length was stated: whole where it can be held, else begun with its first bytes.
bool HttpParser::parse_fixed_length_body() {
  if (!is_streaming_ && remaining_bytes_ <= max_buffered_body_) {
    if (filled_bytes_ - parse_offset_ < remaining_bytes_) return false;
    message_.body_range = {static_cast<std::uint32_t>(parse_offset_),
                           static_cast<std::uint32_t>(remaining_bytes_)};
    parse_offset_ += remaining_bytes_;
    stage_ = ParseStage::complete;
    return true;
  }
  const std::size_t n = std::min(remaining_bytes_, filled_bytes_ - parse_offset_);
  if (!is_streaming_ && n == 0)
    return false;  // the first bytes are what is waited for: a head alone is no answer
  message_.body_range.length += static_cast<std::uint32_t>(n);
  parse_offset_ += n;
  remaining_bytes_ -= n;
  if (!is_streaming_) {
    state_ = ParseState::head_ready;
    return false;
  }
  if (remaining_bytes_ == 0) stage_ = ParseStage::complete;
  return remaining_bytes_ == 0;
}

bool HttpParser::parse_head() {
  for (;;) {
    const std::size_t from = parse_offset_;
    const auto line = next_line(max_line_bytes);
    if (state_ == ParseState::error) return false;
    if (parse_offset_ > max_head_bytes ||
        (!line && filled_bytes_ - parse_offset_ > max_head_bytes + max_buffered_body_))
      return fail(431);
    if (!line) return false;
    if (!message_.status && message_.method.length == 0) {
      if (line->empty() && kind_ == MessageKind::request && from == 0) {
        // One empty line before a request is allowed; it is dropped so that places start at the request.
        message_.bytes.erase(0, parse_offset_);
        filled_bytes_ -= parse_offset_;
        parse_offset_ = scan_offset_ = 0;
        if (filled_bytes_ >= 1 && message_.bytes[0] == '\r') return fail(400);
        continue;
      }
      if (!parse_start_line(*line, from)) return fail(400);
    } else if (!line->empty()) {
      if (message_.headers.size() >= max_headers) return fail(431);
      if (!parse_header_line(*line, from)) return fail(400);
    } else {
      return determine_body_framing();
    }
  }
}

bool HttpParser::parse_start_line(std::string_view line, std::size_t from) {
  const auto piece = [&](std::size_t start, std::size_t length) {
    return ByteRange{static_cast<std::uint32_t>(from + start), static_cast<std::uint32_t>(length)};
  };
  if (kind_ == MessageKind::response) {
    if (line.size() < 12 || !line.starts_with("HTTP/1.") || (line[7] != '0' && line[7] != '1') ||
        line[8] != ' ' || (line.size() > 12 && line[12] != ' ') || !has_no_control_characters(line))
      return false;
    const auto code = parse_unsigned(line.substr(9, 3), 10);
    if (!code || *code < 100 || *code > 599) return false;
    message_.status = static_cast<int>(*code);
    message_.keep_alive = line[7] == '1';
    message_.is_http_1_0 = !message_.keep_alive;
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
  if (target.size() > scheme.size() && equals_ignoring_case(target.substr(0, scheme.size()), scheme))
    target.remove_prefix(std::min(target.find('/', scheme.size()), target.size() - 1));
  const bool of_all = target == "*" && line.substr(0, first) == "OPTIONS";
  if (!is_token(line.substr(0, first)) || (version != "HTTP/1.1" && version != "HTTP/1.0") ||
      (target.front() != '/' && !of_all) || !has_no_control_characters(target) ||
      target.find('\t') != std::string_view::npos)
    return false;
  message_.method = piece(0, first);
  message_.target = piece(second - target.size(), target.size());
  message_.keep_alive = version == "HTTP/1.1";
  message_.is_http_1_0 = !message_.keep_alive;
  return true;
}

bool HttpParser::parse_header_line(std::string_view line, std::size_t from) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || !has_no_control_characters(line))
    return false;
  std::size_t start = colon + 1, end = line.size();
  while (start < end && (line[start] == ' ' || line[start] == '\t')) ++start;
  while (end > start && (line[end - 1] == ' ' || line[end - 1] == '\t')) --end;
  const auto u = [](std::size_t n) { return static_cast<std::uint32_t>(n); };
  message_.headers.push_back(
      {{u(from), u(colon)}, {u(from + start), u(end - start)}, {u(from), u(line.size() + 2)}});
  return true;
}

// The head is whole: how long is the body?
bool HttpParser::determine_body_framing() {
  std::optional<std::uint64_t> length;
  bool chunked = false, coded = false, close = false, keep = false, waits = false;
  for (const HeaderField& h : message_.headers) {
    const std::string_view name = message_.slice(h.name), value = message_.slice(h.value);
    if (equals_ignoring_case(name, "Content-Length")) {
      const auto n = parse_unsigned(value, 10);
      // Two lengths are how one request is smuggled inside another.
      if (!n || (length && *length != *n)) return fail(400);
      length = n;
    } else if (equals_ignoring_case(name, "Transfer-Encoding")) {
      for_each_list_item(value, [&](std::string_view w) {
        if (chunked || !equals_ignoring_case(w, "chunked"))
          coded = true;
        else
          chunked = true;
      });
    } else if (equals_ignoring_case(name, "Connection")) {
      close |= list_contains(value, "close");
      keep |= list_contains(value, "keep-alive");
    } else if (equals_ignoring_case(name, "Expect")) {
      waits |= list_contains(value, "100-continue");
    }
  }
  if (coded || (chunked && length)) return fail(400);
  message_.keep_alive = !close && (message_.keep_alive || keep) && !has_interim_response_;
  if (message_.status >= 100 && message_.status < 200) {
    if (message_.status == 101) return fail(400);
    // Only a word that the answer is on its way: dropped. Who sends one unasked is met anew for the next.
    has_interim_response_ = true;
    const std::size_t rest = filled_bytes_ - parse_offset_;
    std::memmove(message_.bytes.data(), message_.bytes.data() + parse_offset_, rest);
    message_.headers.clear();
    message_.status = 0;
    filled_bytes_ = rest;
    parse_offset_ = scan_offset_ = 0;
    return true;
  }
  message_.body_range.offset = static_cast<std::uint32_t>(parse_offset_);
  message_.content_length = length;
  expects_continue_ =
      waits && kind_ == MessageKind::request && !message_.is_http_1_0 && (chunked || length.value_or(0) > 0);
  if (message_.status == 204 || message_.status == 304 || is_body_forbidden_) {
    stage_ = ParseStage::complete;
  } else if (chunked) {
    stage_ = ParseStage::chunk_size;
  } else if (length) {
    if (*length > (is_streaming_allowed_ ? max_body_bytes : max_buffered_body_)) return fail(413);
    remaining_bytes_ = static_cast<std::size_t>(*length);
    stage_ = ParseStage::fixed_length_body;
  } else if (kind_ == MessageKind::response) {
    message_.keep_alive = false;
    stage_ = ParseStage::body_until_close;
  } else {
    stage_ = ParseStage::complete;
  }
  return true;
}

// The data of chunks is moved together in place; true if there may be more to parse.
bool HttpParser::parse_chunks() {
  constexpr std::size_t longest_size_line = 256;
  if (stage_ == ParseStage::chunk_size) {
    const auto line = next_line(longest_size_line);
    if (!line) return false;
    const std::string_view digits = line->substr(0, line->find_first_of("; \t"));
    const auto n = parse_unsigned(digits, 16);
    if (!n || digits.size() > 8 || !has_no_control_characters(*line)) return fail(400);
    if (streamed_bytes_ + message_.body_range.length + *n >
        (is_streaming_allowed_ ? max_body_bytes : max_buffered_body_))
      return fail(413);
    remaining_bytes_ = *n;
    stage_ = remaining_bytes_ > 0 ? ParseStage::chunk_data : ParseStage::trailer;
  } else if (stage_ == ParseStage::chunk_data) {
    const std::size_t n = std::min(remaining_bytes_, filled_bytes_ - parse_offset_);
    if (n == 0) return false;
    std::memmove(message_.bytes.data() + message_.body_range.offset + message_.body_range.length,
                 message_.bytes.data() + parse_offset_, n);
    message_.body_range.length += static_cast<std::uint32_t>(n);
    parse_offset_ += n;
    remaining_bytes_ -= n;
    // What framing took is given back, or a body in many small chunks would fill the memory.
    const std::size_t body_end = message_.body_range.offset + message_.body_range.length;
    std::memmove(message_.bytes.data() + body_end, message_.bytes.data() + parse_offset_,
                 filled_bytes_ - parse_offset_);
    filled_bytes_ -= parse_offset_ - body_end;
    parse_offset_ = scan_offset_ = body_end;
    if (remaining_bytes_ == 0) stage_ = ParseStage::chunk_data_end;
  } else if (stage_ == ParseStage::chunk_data_end) {
    const auto line = next_line(2);
    if (state_ == ParseState::error) return fail(400);
    if (!line) return false;
    if (!line->empty()) return fail(400);
    stage_ = ParseStage::chunk_size;
  } else {
    const std::size_t from = parse_offset_;
    const auto line = next_line(max_line_bytes);
    if (!line) return false;
    trailer_bytes_ += parse_offset_ - from;
    if (trailer_bytes_ > max_head_bytes) return fail(431);
    if (line->empty()) stage_ = ParseStage::complete;
  }
  return true;
}

}  // namespace indigorill::http
