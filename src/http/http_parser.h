// HTTP/1.1 messages: a state machine that is fed bytes and knows no socket. Heads are parsed in place: a
// message keeps the bytes as they came, and its parts are places in them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>


namespace indigorill::http {

// Bodies up to the second are held whole; longer ones come in pieces, where the reader is told to allow that.
constexpr std::size_t max_head_bytes = 16 * 1024, max_buffered_body_bytes = 64 * 1024,
                      max_body_bytes = 32 * 1024 * 1024;

struct ByteRange {
  std::uint32_t offset = 0, length = 0;
};

struct HeaderField {
  ByteRange name, value, raw_line;  // line: with its end
};

struct Message {
  std::string bytes;
  ByteRange method, target;  // of a request
  int status = 0;            // of an answer
  std::vector<HeaderField> headers;
  ByteRange body_range;
  bool keep_alive = true;    // the connection may carry another message after this one
  bool is_http_1_0 = false;  // HTTP/1.0: knows no chunks
  // The content is but the first part; the rest comes as pieces. Its whole length, where that was stated.
  bool is_partial = false;
  std::optional<std::uint64_t> content_length;

  std::string_view slice(ByteRange p) const { return std::string_view(bytes).substr(p.offset, p.length); }
  std::optional<std::string_view> find_header(std::string_view name) const;
  std::string_view body() const { return slice(body_range); }
};

bool equals_ignoring_case(std::string_view a, std::string_view b);  // names of headers know no case

bool list_contains(std::string_view list, std::string_view word);  // of a list with commas

class HttpParser {
 public:
  enum class MessageKind { request, response };
  // begun: the head is whole and the body a long one. take() gives the head with what is here of the body;
  // then piece() grows, and the state is `passing` until the body is `over`, then take_over() goes on to the
  // next message.
  enum class ParseState { reading, complete, error, head_ready, streaming_body, body_complete };

  explicit HttpParser(MessageKind of, std::size_t most = max_buffered_body_bytes)
      : kind_(of), max_buffered_body_(most) {}

  // Longer bodies than can be held come in pieces, up to longest_body.
  void allow_streaming(bool are = true) { is_streaming_allowed_ = are; }
  void expect_no_body() {
    is_body_forbidden_ = true;
  }  // of the next answer, whatever its head says: that to a HEAD
  bool is_head_complete() const { return stage_ != ParseStage::head; }
  bool expects_continue() const {
    return expects_continue_;
  }  // the client waits for a 100 before it sends the body
  void mark_continue_sent() { expects_continue_ = false; }

  std::span<char> writable_buffer();  // where the next bytes go
  void commit(std::size_t count);     // so many came
  void on_end_of_stream();            // no more will come
  ParseState state() const { return state_; }
  bool has_partial_input() const { return filled_bytes_ > 0; }  // some bytes of a message are here
  int error_status() const { return error_status_; }
  std::size_t buffer_capacity() const { return message_.bytes.capacity(); }

  // The whole message; the reader goes on with what came after it. Or its first part, if it has begun.
  Message take_message();

  // What came of a body since, unframed; dropped when passed on. No more is asked for while it is full.
  std::string_view body_chunk() const { return std::string_view(message_.bytes).substr(0, body_end()); }
  void consume_body_chunk();
  bool is_body_buffer_full() const {
    return state_ == ParseState::streaming_body && body_end() >= max_buffered_body_bytes;
  }
  void start_next_message();
  bool keep_alive() const { return keep_alive_; }  // of the message in pieces

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

  std::size_t body_end() const { return message_.body_range.offset + message_.body_range.length; }
  bool parse_fixed_length_body();
  void reset_with(std::string_view rest);

  void parse();
  bool parse_head();
  bool parse_start_line(std::string_view line, std::size_t from);
  bool parse_header_line(std::string_view line, std::size_t from);
  bool determine_body_framing();
  bool parse_chunks();
  std::optional<std::string_view> next_line(std::size_t most);
  bool fail(int status);

  MessageKind kind_;
  std::size_t max_buffered_body_;
  ParseState state_ = ParseState::reading;
  ParseStage stage_ = ParseStage::head;
  int error_status_ = 400;
  Message message_;
  std::size_t filled_bytes_ = 0, parse_offset_ = 0,
              scan_offset_ = 0;      // bytes that came, that are done with, that hold no line end
  std::size_t remaining_bytes_ = 0;  // of the body or chunk
  std::size_t trailer_bytes_ = 0;
  std::uint64_t streamed_bytes_ = 0;   // of the body, given out in pieces
  bool has_interim_response_ = false;  // 1xx came ahead
  bool is_streaming_allowed_ = false, is_body_forbidden_ = false, expects_continue_ = false,
       is_streaming_ = false, keep_alive_ = true;
};

}  // namespace indigorill::http
