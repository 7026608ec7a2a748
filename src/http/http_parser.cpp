#include "http/http_parser.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <string>
#include <utility>

#include "http/status.h"

namespace indigorill::http {
namespace {

constexpr std::size_t max_line_bytes = std::size_t{8} * 1024;
constexpr std::size_t max_headers = 100;
constexpr std::size_t max_chunk_size_line_bytes = 256;
constexpr std::size_t max_chunk_size_digits = 8;

// When less than a quarter of this size is free, the buffer grows until at least this size is free.
constexpr std::size_t min_buffer_growth_bytes = std::size_t{4} * 1024;

constexpr std::string_view crlf = "\r\n";

bool is_token_character(char character) {
  static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || marks.find(character) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

/// Whether the text has no control characters other than tabs.
bool has_no_control_characters(std::string_view text) {
  constexpr char first_printable = 0x20;
  constexpr char del = 0x7f;
  return std::none_of(text.begin(), text.end(), [](char character) {
    return (character >= 0 && character < first_printable && character != '\t') || character == del;
  });
}

bool is_blank(char character) { return character == ' ' || character == '\t'; }

std::optional<std::uint64_t> parse_unsigned(std::string_view digits, int base) {
  std::uint64_t value = 0;
  const char* last = digits.data() + digits.size();
  const auto [parsed_to, error] = std::from_chars(digits.data(), last, value, base);
  if (digits.empty() || error != std::errc() || parsed_to != last) return {};
  return value;
}

ByteRange byte_range(std::size_t offset, std::size_t length) {
  return {.offset = static_cast<std::uint32_t>(offset), .length = static_cast<std::uint32_t>(length)};
}

/// Reduces the absolute form of a target to its path and query (RFC 9112, 3.2.2).
std::string_view without_scheme_and_host(std::string_view target) {
  constexpr std::string_view scheme = "http://";
  if (target.size() > scheme.size() && equals_ignoring_case(target.substr(0, scheme.size()), scheme))
    target.remove_prefix(std::min(target.find('/', scheme.size()), target.size() - 1));
  return target;
}

bool is_valid_target(std::string_view target, std::string_view method) {
  const bool is_asterisk = target == "*" && method == "OPTIONS";
  return (target.front() == '/' || is_asterisk) && has_no_control_characters(target) &&
         target.find('\t') == std::string_view::npos;
}

}  // namespace

std::span<char> HttpParser::writable_buffer() {
  std::string& buffer = message_.bytes;
  if (buffer.size() - filled_bytes_ < min_buffer_growth_bytes / 4)
    buffer.resize(std::max(filled_bytes_ + min_buffer_growth_bytes, filled_bytes_ * 2));
  return {buffer.data() + filled_bytes_, buffer.size() - filled_bytes_};
}

void HttpParser::commit(std::size_t count) {
  filled_bytes_ += count;
  parse();
}

void HttpParser::on_end_of_stream() {
  if (state_ != ParseState::reading && state_ != ParseState::streaming_body) return;
  if (stage_ != ParseStage::body_until_close) {
    fail(status::bad_request);
    return;
  }
  stage_ = ParseStage::complete;
  state_ = is_streaming_ ? ParseState::body_complete : ParseState::complete;
}

bool HttpParser::may_be_long() const {
  if (!is_streaming_allowed_ || state_ != ParseState::reading) return false;
  if (stage_ == ParseStage::head || stage_ == ParseStage::complete) return false;
  return stage_ != ParseStage::fixed_length_body || remaining_bytes_ > max_buffered_body_;
}

void HttpParser::start_streaming() {
  if (may_be_long()) state_ = ParseState::head_ready;
}

Message HttpParser::take_message() {
  if (state_ == ParseState::head_ready) return take_partial_message();
  Message message = std::exchange(message_, {});
  const std::string remaining_input = message.bytes.substr(parse_offset_, unparsed_bytes());
  message.bytes.resize(parse_offset_);
  reset_with(remaining_input);
  return message;
}

Message HttpParser::take_partial_message() {
  Message message = std::exchange(message_, {});
  // The unparsed input, which is the rest of the body with its framing, is copied to the new buffer.
  const std::string_view unparsed = std::string_view(message.bytes).substr(parse_offset_, unparsed_bytes());
  message_.bytes.assign(unparsed);
  filled_bytes_ = unparsed.size();
  parse_offset_ = 0;
  scan_offset_ = 0;
  message.bytes.resize(message.body_range.offset + message.body_range.length);
  message.is_partial = true;
  keep_alive_ = message.keep_alive;
  streamed_bytes_ = message.body_range.length;
  is_streaming_ = true;
  state_ = ParseState::streaming_body;
  parse();
  return message;
}

void HttpParser::start_next_message() {
  const std::string remaining_input = message_.bytes.substr(parse_offset_, unparsed_bytes());
  std::exchange(message_, {});  // an assignment alone would keep the allocated buffer
  reset_with(remaining_input);
}

void HttpParser::reset_with(std::string_view remaining_input) {
  message_.bytes.assign(remaining_input);
  filled_bytes_ = remaining_input.size();
  parse_offset_ = 0;
  scan_offset_ = 0;
  remaining_bytes_ = 0;
  trailer_bytes_ = 0;
  streamed_bytes_ = 0;
  stage_ = ParseStage::head;
  state_ = ParseState::reading;
  has_interim_response_ = false;
  is_body_forbidden_ = false;
  expects_continue_ = false;
  is_streaming_ = false;
  parse();
}

void HttpParser::consume_body_chunk() {
  const std::size_t count = message_.body_range.length;
  streamed_bytes_ += count;
  std::memmove(message_.bytes.data(), message_.bytes.data() + count, filled_bytes_ - count);
  filled_bytes_ -= count;
  parse_offset_ -= count;
  scan_offset_ = parse_offset_;
  message_.body_range.length = 0;
  if (state_ == ParseState::streaming_body) parse();
}

bool HttpParser::fail(int status) {
  error_status_ = status;
  state_ = ParseState::error;
  return false;
}

/// Moves the unparsed bytes to the front of the buffer.
void HttpParser::discard_parsed_bytes() {
  const std::size_t unparsed = unparsed_bytes();
  std::memmove(message_.bytes.data(), message_.bytes.data() + parse_offset_, unparsed);
  filled_bytes_ = unparsed;
  parse_offset_ = 0;
  scan_offset_ = 0;
}

/// Consumes a line and returns it without its CRLF. Returns nothing if the line is incomplete, or if it is
/// too long or malformed; the latter two set the error state.
std::optional<std::string_view> HttpParser::next_line(std::size_t max_bytes) {
  const std::string_view input(message_.bytes.data(), filled_bytes_);
  scan_offset_ = std::max(scan_offset_, parse_offset_);
  const std::size_t line_feed = input.find('\n', scan_offset_);
  if (line_feed == std::string_view::npos) {
    scan_offset_ = filled_bytes_;
    if (unparsed_bytes() > max_bytes) fail(status::header_fields_too_large);
    return {};
  }
  if (line_feed - parse_offset_ > max_bytes) {
    fail(status::header_fields_too_large);
    return {};
  }
  // Only CRLF ends a line. A bare LF is an error, because a peer that accepts it as the end of a line would
  // split the bytes into other messages than this parser.
  if (line_feed == parse_offset_ || input[line_feed - 1] != '\r') {
    fail(status::bad_request);
    return {};
  }
  const std::string_view line = input.substr(parse_offset_, line_feed - 1 - parse_offset_);
  parse_offset_ = line_feed + 1;
  return line;
}

void HttpParser::parse() {
  while (state_ == ParseState::reading || state_ == ParseState::streaming_body)
    if (!parse_stage()) return;
}

bool HttpParser::parse_stage() {
  switch (stage_) {
    case ParseStage::head:
      return parse_head();
    case ParseStage::fixed_length_body:
      return parse_fixed_length_body();
    case ParseStage::body_until_close:
      return parse_body_until_close();
    case ParseStage::chunk_size:
      return parse_chunk_size();
    case ParseStage::chunk_data:
      return parse_chunk_data();
    case ParseStage::chunk_data_end:
      return parse_chunk_data_end();
    case ParseStage::trailer:
      return parse_trailer();
    case ParseStage::complete:
      break;
  }
  state_ = is_streaming_ ? ParseState::body_complete : ParseState::complete;
  return false;
}

bool HttpParser::parse_head() {
  for (;;) {
    const std::size_t line_offset = parse_offset_;
    const auto line = next_line(max_line_bytes);
    if (state_ == ParseState::error) return false;
    if (parse_offset_ > max_head_bytes || (!line && unparsed_bytes() > max_head_bytes + max_buffered_body_))
      return fail(status::header_fields_too_large);
    if (!line) return false;
    const bool has_start_line = message_.status != 0 || message_.method.length != 0;
    if (!has_start_line) {
      if (line->empty() && kind_ == MessageKind::request && line_offset == 0) {
        if (!skip_leading_empty_line()) return false;
      } else if (!parse_start_line(*line, line_offset)) {
        return fail(status::bad_request);
      }
    } else if (!line->empty()) {
      if (message_.headers.size() >= max_headers) return fail(status::header_fields_too_large);
      if (!parse_header_line(*line, line_offset)) return fail(status::bad_request);
    } else {
      return finish_head();
    }
  }
}

/// Removes the one empty line that is allowed before a request, so that the message starts with the request
/// line.
bool HttpParser::skip_leading_empty_line() {
  message_.bytes.erase(0, parse_offset_);
  filled_bytes_ -= parse_offset_;
  parse_offset_ = 0;
  scan_offset_ = 0;
  const bool has_second_empty_line = filled_bytes_ >= 1 && message_.bytes[0] == '\r';
  return has_second_empty_line ? fail(status::bad_request) : true;
}

bool HttpParser::parse_start_line(std::string_view line, std::size_t line_offset) {
  return kind_ == MessageKind::response ? parse_status_line(line) : parse_request_line(line, line_offset);
}

bool HttpParser::parse_status_line(std::string_view line) {
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t minor_version_offset = version.size();
  constexpr std::size_t code_offset = minor_version_offset + 2;
  constexpr std::size_t code_digits = 3;
  constexpr std::size_t code_end = code_offset + code_digits;
  if (line.size() < code_end || !line.starts_with(version)) return false;
  const char minor_version = line[minor_version_offset];
  if ((minor_version != '0' && minor_version != '1') || line[code_offset - 1] != ' ') return false;
  if ((line.size() > code_end && line[code_end] != ' ') || !has_no_control_characters(line)) return false;
  const auto code = parse_unsigned(line.substr(code_offset, code_digits), 10);
  if (!code || *code < 100 || *code > 599) return false;
  message_.status = static_cast<int>(*code);
  message_.is_http_1_0 = minor_version == '0';
  message_.keep_alive = !message_.is_http_1_0;
  return true;
}

bool HttpParser::parse_request_line(std::string_view line, std::size_t line_offset) {
  const std::size_t method_end = line.find(' ');
  if (method_end == std::string_view::npos) return false;
  const std::size_t target_end = line.find(' ', method_end + 1);
  if (target_end == std::string_view::npos || target_end == method_end + 1) return false;
  const std::string_view method = line.substr(0, method_end);
  const std::string_view version = line.substr(target_end + 1);
  const std::string_view target =
      without_scheme_and_host(line.substr(method_end + 1, target_end - method_end - 1));
  if (!is_token(method) || !is_valid_target(target, method)) return false;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_.method = byte_range(line_offset, method_end);
  message_.target = byte_range(line_offset + target_end - target.size(), target.size());
  message_.is_http_1_0 = version == "HTTP/1.0";
  message_.keep_alive = !message_.is_http_1_0;
  return true;
}

bool HttpParser::parse_header_line(std::string_view line, std::size_t line_offset) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  if (!has_no_control_characters(line)) return false;
  std::size_t value_begin = colon + 1;
  std::size_t value_end = line.size();
  while (value_begin < value_end && is_blank(line[value_begin])) ++value_begin;
  while (value_end > value_begin && is_blank(line[value_end - 1])) --value_end;
  message_.headers.push_back({.name = byte_range(line_offset, colon),
                              .value = byte_range(line_offset + value_begin, value_end - value_begin),
                              .raw_line = byte_range(line_offset, line.size() + crlf.size())});
  return true;
}

bool HttpParser::finish_head() {
  const auto framing = parse_framing_headers();
  if (!framing) return fail(status::bad_request);
  message_.keep_alive =
      !framing->has_close && (message_.keep_alive || framing->has_keep_alive) && !has_interim_response_;
  const bool is_interim_response = message_.status >= 100 && message_.status < 200;
  if (is_interim_response) return skip_interim_response();
  message_.body_range.offset = static_cast<std::uint32_t>(parse_offset_);
  message_.content_length = framing->content_length;
  const bool announces_body = framing->is_chunked || framing->content_length.value_or(0) > 0;
  expects_continue_ = framing->has_expect_continue && kind_ == MessageKind::request &&
                      !message_.is_http_1_0 && announces_body;
  return select_body_stage(*framing);
}

/// Returns nothing if the header fields are malformed or contradict each other, or if they name another
/// transfer coding than a single "chunked". Two different lengths, or a length in a chunked message, allow
/// request smuggling.
std::optional<HttpParser::FramingHeaders> HttpParser::parse_framing_headers() const {
  FramingHeaders framing;
  for (const HeaderField& header : message_.headers) {
    const std::string_view name = message_.slice(header.name);
    std::string_view value = message_.slice(header.value);
    if (equals_ignoring_case(name, "Content-Length")) {
      const auto length = parse_unsigned(value, 10);
      if (!length || (framing.content_length && *framing.content_length != *length)) return {};
      framing.content_length = length;
    } else if (equals_ignoring_case(name, "Transfer-Encoding")) {
      for (auto coding = take_list_item(value); !coding.empty(); coding = take_list_item(value)) {
        if (framing.is_chunked || !equals_ignoring_case(coding, "chunked")) return {};
        framing.is_chunked = true;
      }
    } else if (equals_ignoring_case(name, "Connection")) {
      framing.has_close |= list_contains(value, "close");
      framing.has_keep_alive |= list_contains(value, "keep-alive");
    } else if (equals_ignoring_case(name, "Expect")) {
      framing.has_expect_continue |= list_contains(value, "100-continue");
    }
  }
  if (framing.is_chunked && framing.content_length) return {};
  return framing;
}

/// Skips an interim response; the final response follows it. The connection is not reused after the final
/// response, because a server that sends unsolicited interim responses might send another one later.
bool HttpParser::skip_interim_response() {
  if (message_.status == status::switching_protocols) return fail(status::bad_request);
  has_interim_response_ = true;
  message_.headers.clear();
  message_.status = 0;
  discard_parsed_bytes();
  return true;
}

bool HttpParser::select_body_stage(const FramingHeaders& framing) {
  const bool has_framing = framing.is_chunked || framing.content_length;
  const bool never_has_body =
      message_.status == status::no_content || message_.status == status::not_modified || is_body_forbidden_;
  if (never_has_body || (kind_ == MessageKind::request && !has_framing)) {
    stage_ = ParseStage::complete;
  } else if (framing.is_chunked) {
    stage_ = ParseStage::chunk_size;
  } else if (framing.content_length) {
    if (*framing.content_length > max_body()) return fail(status::content_too_large);
    remaining_bytes_ = static_cast<std::size_t>(*framing.content_length);
    stage_ = ParseStage::fixed_length_body;
  } else {
    message_.keep_alive = false;
    stage_ = ParseStage::body_until_close;
  }
  return true;
}

bool HttpParser::parse_fixed_length_body() {
  if (!is_streaming_ && remaining_bytes_ <= max_buffered_body_) {
    if (unparsed_bytes() < remaining_bytes_) return false;
    message_.body_range = byte_range(parse_offset_, remaining_bytes_);
    parse_offset_ += remaining_bytes_;
    stage_ = ParseStage::complete;
    return true;
  }
  const std::size_t count = std::min(remaining_bytes_, unparsed_bytes());
  // Streaming of a long body starts with the first bytes of the body, because the peer may send nothing after
  // the head.
  if (!is_streaming_ && count == 0) return false;
  message_.body_range.length += static_cast<std::uint32_t>(count);
  parse_offset_ += count;
  remaining_bytes_ -= count;
  if (!is_streaming_) {
    state_ = ParseState::head_ready;
    return false;
  }
  if (remaining_bytes_ > 0) return false;
  stage_ = ParseStage::complete;
  return true;
}

bool HttpParser::parse_body_until_close() {
  message_.body_range.length = static_cast<std::uint32_t>(filled_bytes_ - message_.body_range.offset);
  parse_offset_ = filled_bytes_;
  if (message_.body_range.length + streamed_bytes_ > max_body()) return fail(status::content_too_large);
  start_streaming_if_too_long();
  return false;
}

bool HttpParser::parse_chunk_size() {
  const auto line = next_line(max_chunk_size_line_bytes);
  if (!line) return false;
  const std::string_view digits = line->substr(0, line->find_first_of("; \t"));
  const auto size = parse_unsigned(digits, 16);
  if (!size || digits.size() > max_chunk_size_digits || !has_no_control_characters(*line))
    return fail(status::bad_request);
  if (streamed_bytes_ + message_.body_range.length + *size > max_body())
    return fail(status::content_too_large);
  remaining_bytes_ = static_cast<std::size_t>(*size);
  stage_ = remaining_bytes_ > 0 ? ParseStage::chunk_data : ParseStage::trailer;
  return true;
}

/// Appends the received part of the chunk to the body, in place.
bool HttpParser::parse_chunk_data() {
  const std::size_t count = std::min(remaining_bytes_, unparsed_bytes());
  if (count == 0) return false;
  char* buffer = message_.bytes.data();
  std::memmove(buffer + body_end(), buffer + parse_offset_, count);
  message_.body_range.length += static_cast<std::uint32_t>(count);
  parse_offset_ += count;
  remaining_bytes_ -= count;
  // The space of the chunk framing is reclaimed; otherwise a body of many small chunks would use up memory.
  std::memmove(buffer + body_end(), buffer + parse_offset_, unparsed_bytes());
  filled_bytes_ -= parse_offset_ - body_end();
  parse_offset_ = body_end();
  scan_offset_ = parse_offset_;
  if (remaining_bytes_ == 0) stage_ = ParseStage::chunk_data_end;
  start_streaming_if_too_long();
  return true;
}

bool HttpParser::parse_chunk_data_end() {
  const auto line = next_line(crlf.size());
  if (state_ == ParseState::error || (line && !line->empty())) return fail(status::bad_request);
  if (!line) return false;
  stage_ = ParseStage::chunk_size;
  return true;
}

bool HttpParser::parse_trailer() {
  const std::size_t line_offset = parse_offset_;
  const auto line = next_line(max_line_bytes);
  if (!line) return false;
  trailer_bytes_ += parse_offset_ - line_offset;
  if (trailer_bytes_ > max_head_bytes) return fail(status::header_fields_too_large);
  if (line->empty()) stage_ = ParseStage::complete;
  return true;
}

void HttpParser::start_streaming_if_too_long() {
  if (is_streaming_allowed_ && state_ == ParseState::reading &&
      message_.body_range.length > max_buffered_body_)
    state_ = ParseState::head_ready;
}

}  // namespace indigorill::http
