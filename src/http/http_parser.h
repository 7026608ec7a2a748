/// \file
/// Incremental HTTP/1.1 parser. It is fed bytes and knows no socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "http/message.h"

namespace indigorill::http {

constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;

/// Bodies up to this size are buffered whole; longer ones are streamed, if the parser's user allows that.
constexpr std::size_t max_buffered_body_bytes = std::size_t{64} * 1024;

/// The longest body that may be streamed.
constexpr std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;

/// Parses the messages of one direction of a connection, one after the other.
///
/// Bytes are read into `writable_buffer()` and announced with `commit()`; `state()` then tells what to do. A
/// message that fits the buffer becomes `complete` and is taken with `take_message()`. A longer one, if
/// streaming is allowed, becomes `head_ready`: `take_message()` returns its head with the first part of the
/// body, the rest appears in `body_chunk()` until the state is `body_complete`, and `start_next_message()`
/// goes on. Pipelined bytes are kept for the next message.
class HttpParser {
 public:
  enum class MessageKind { request, response };

  enum class ParseState {
    reading,         ///< the message is not complete yet
    complete,        ///< `take_message()` returns the whole message
    error,           ///< malformed or too long: see `error_status()`; nothing more is parsed
    head_ready,      ///< `take_message()` returns the head and the first part of a long body
    streaming_body,  ///< more of the long body is expected
    body_complete    ///< the long body has ended: `start_next_message()`
  };

  explicit HttpParser(MessageKind kind, std::size_t max_buffered_body = max_buffered_body_bytes)
      : kind_(kind), max_buffered_body_(max_buffered_body) {}

  /// Lets bodies that are too long for the buffer be streamed, up to `max_body_bytes`.
  void allow_streaming(bool is_allowed = true) { is_streaming_allowed_ = is_allowed; }

  /// The next response has no body whatever its head says, because it answers a HEAD request.
  void expect_no_body() { is_body_forbidden_ = true; }

  bool is_head_complete() const { return stage_ != ParseStage::head; }

  /// The client waits for "100 Continue" before it sends the body.
  bool expects_continue() const { return expects_continue_; }
  void mark_continue_sent() { expects_continue_ = false; }

  /// Where to put the bytes received next. Never empty; valid until the next call of a non-const member.
  std::span<char> writable_buffer();

  /// Parses `count` bytes that were put at the front of `writable_buffer()`.
  void commit(std::size_t count);

  /// The peer will send nothing more.
  void on_end_of_stream();

  ParseState state() const { return state_; }

  /// Some bytes of a message have been received.
  bool has_partial_input() const { return filled_bytes_ > 0; }

  /// The HTTP status that describes the error, if the state is `error`.
  int error_status() const { return error_status_; }

  /// Bytes allocated for input.
  std::size_t buffer_capacity() const { return message_.bytes.capacity(); }

  /// Returns the message, or its head and first part if the state is `head_ready`, and goes on parsing.
  Message take_message();

  /// What has been received of a streamed body since the last `consume_body_chunk()`, without framing.
  std::string_view body_chunk() const { return std::string_view(message_.bytes).substr(0, body_end()); }
  void consume_body_chunk();

  /// Reading should pause until `consume_body_chunk()`.
  bool is_body_buffer_full() const {
    return state_ == ParseState::streaming_body && body_end() >= max_buffered_body_bytes;
  }

  void start_next_message();

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

  /// What the head says of the body and of the connection.
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

  // The functions below that return bool return true if there may be more to parse: false if the message is
  // incomplete, has failed, or has reached a state in which the user has to act.
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
  std::size_t filled_bytes_ = 0;     // received, at the front of message_.bytes
  std::size_t parse_offset_ = 0;     // up to here input is parsed
  std::size_t scan_offset_ = 0;      // from parse_offset_ up to here there is no line end
  std::size_t remaining_bytes_ = 0;  // of the body or of the chunk
  std::size_t trailer_bytes_ = 0;
  std::uint64_t streamed_bytes_ = 0;  // of the body, handed out already
  bool has_interim_response_ = false;
  bool is_streaming_allowed_ = false;
  bool is_body_forbidden_ = false;
  bool expects_continue_ = false;
  bool is_streaming_ = false;
  bool keep_alive_ = true;
};

}  // namespace indigorill::http
