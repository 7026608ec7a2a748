/// \file
/// Incremental HTTP/1.1 parser. The caller passes it the received bytes; the parser does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "http/message.h"

namespace indigorill::http {

constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;

/// Bodies up to this size are buffered whole; longer bodies are streamed if the caller allows streaming.
constexpr std::size_t max_buffered_body_bytes = std::size_t{64} * 1024;

/// The longest body that may be streamed.
constexpr std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;

/// Parses the messages of one direction of a connection, one after the other.
///
/// The caller writes bytes to `writable_buffer()` and calls `commit()`; `state()` then says what to do next.
/// Once a message that fits the buffer has arrived, the state is `complete`, and `take_message()` returns the
/// message. For a longer message, if streaming is allowed, the state becomes `head_ready`: `take_message()`
/// returns the head with the first part of the body, the rest of the body appears in `body_chunk()` until the
/// state is `body_complete`, and `start_next_message()` continues with the next message. Pipelined bytes are
/// kept for the next message.
class HttpParser {
 public:
  enum class MessageKind { request, response };

  enum class ParseState {
    reading,         ///< the message is not complete yet
    complete,        ///< `take_message()` returns the whole message
    error,           ///< malformed or too long, see `error_status()`; the parser has stopped
    head_ready,      ///< `take_message()` returns the head and the first part of a long body
    streaming_body,  ///< more of the long body is expected
    body_complete    ///< the long body has ended; `start_next_message()` is due
  };

  explicit HttpParser(MessageKind kind, std::size_t max_buffered_body = max_buffered_body_bytes)
      : kind_(kind), max_buffered_body_(max_buffered_body) {}

  /// Allows streaming of bodies that are too long for the buffer, up to `max_body_bytes`.
  void allow_streaming(bool is_allowed = true) { is_streaming_allowed_ = is_allowed; }

  /// Declares that the next response answers a HEAD request and has no body, whatever its head says.
  void expect_no_body() { is_body_forbidden_ = true; }

  bool is_head_complete() const { return stage_ != ParseStage::head; }

  /// Whether the client waits for "100 Continue" before it sends the body.
  bool expects_continue() const { return expects_continue_; }
  void mark_continue_sent() { expects_continue_ = false; }

  /// Returns the space for the bytes received next. Never empty; valid until the next call of a non-const
  /// member function.
  std::span<char> writable_buffer();

  /// Parses `count` bytes that the caller has written to the front of `writable_buffer()`.
  void commit(std::size_t count);

  /// Ends the input: the peer will send no more bytes.
  void on_end_of_stream();

  ParseState state() const { return state_; }

  /// Whether the head of a message is complete whose body may be too long for the buffer: it states no
  /// length, or one that is too long.
  bool may_be_long() const;
  /// Streams a message that may be long from now on, however little of its body has arrived: the state
  /// becomes `head_ready`.
  void start_streaming();

  /// Whether the buffer holds received bytes.
  bool has_partial_input() const { return filled_bytes_ > 0; }

  /// The HTTP status that describes the error, if the state is `error`.
  int error_status() const { return error_status_; }

  /// Bytes allocated for input.
  std::size_t buffer_capacity() const { return message_.bytes.capacity(); }

  /// Returns the message, or its head and the first part of its body if the state is `head_ready`, and
  /// continues to parse the remaining input.
  Message take_message();

  /// The bytes of a streamed body received since the last `consume_body_chunk()`, without framing.
  std::string_view body_chunk() const { return std::string_view(message_.bytes).substr(0, body_end()); }
  void consume_body_chunk();

  /// Whether the caller should stop reading until it has called `consume_body_chunk()`.
  bool is_body_buffer_full() const {
    return state_ == ParseState::streaming_body && body_end() >= max_buffered_body_bytes;
  }

  void start_next_message();

  /// Bytes of the current message's body received so far, without framing.
  std::uint64_t body_bytes() const { return streamed_bytes_ + message_.body_range.length; }

  /// Whether the connection may be reused after the message that is being streamed.
  bool keep_alive() const { return keep_alive_; }

 private:
  enum class ParseStage {
    head,
    fixed_length_body,
    chunk_size,
    chunk_data,
    chunk_data_end,
    trailer,
    body_until_close,
    complete
  };

  /// Contents of the header fields Content-Length, Transfer-Encoding, Connection and Expect.
  struct FramingHeaders {
    std::optional<std::uint64_t> content_length;
    bool is_chunked = false;
    bool has_close = false;
    bool has_keep_alive = false;
    bool has_expect_continue = false;
  };

  std::size_t body_end() const { return message_.body_range.offset + message_.body_range.length; }
  std::size_t unparsed_bytes() const { return filled_bytes_ - parse_offset_; }
  std::size_t max_body() const { return is_streaming_allowed_ ? max_body_bytes : max_buffered_body_; }

  Message take_partial_message();
  void reset_with(std::string_view remaining_input);
  void discard_parsed_bytes();
  bool fail(int status);

  // The functions below that return bool return true if parsing can continue, and false if the message is
  // incomplete, is malformed, or has reached a state in which the caller has to act.
  void parse();
  bool parse_stage();

  bool parse_head();
  bool skip_leading_empty_line();
  bool parse_start_line(std::string_view line, std::size_t line_offset);
  bool parse_status_line(std::string_view line);
  bool parse_request_line(std::string_view line, std::size_t line_offset);
  bool parse_header_line(std::string_view line, std::size_t line_offset);
  bool finish_head();
  std::optional<FramingHeaders> parse_framing_headers() const;
  bool skip_interim_response();
  bool select_body_stage(const FramingHeaders& framing);

  bool parse_fixed_length_body();
  bool parse_body_until_close();
  bool parse_chunk_size();
  bool parse_chunk_data();
  bool parse_chunk_data_end();
  bool parse_trailer();
  void start_streaming_if_too_long();

  std::optional<std::string_view> next_line(std::size_t max_bytes);

  MessageKind kind_;
  std::size_t max_buffered_body_;
  ParseState state_ = ParseState::reading;
  ParseStage stage_ = ParseStage::head;
  int error_status_ = 400;
  Message message_;
  std::size_t filled_bytes_ = 0;     // received bytes, at the front of message_.bytes
  std::size_t parse_offset_ = 0;     // end of the parsed input
  std::size_t scan_offset_ = 0;      // no line feed between parse_offset_ and here
  std::size_t remaining_bytes_ = 0;  // bytes of the body or of the chunk left to parse
  std::size_t trailer_bytes_ = 0;
  std::uint64_t streamed_bytes_ = 0;  // bytes of the body already passed to the caller
  bool has_interim_response_ = false;
  bool is_streaming_allowed_ = false;
  bool is_body_forbidden_ = false;
  bool expects_continue_ = false;
  bool is_streaming_ = false;
  bool keep_alive_ = true;
};

}  // namespace indigorill::http
