// HTTP/1.1 messages: a state machine that is fed bytes and knows no socket. Heads are parsed in place: a
// message keeps the bytes as they came, and its parts are places in them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "socket.h"

namespace indigorill::http {

// Bodies up to the second are held whole; longer ones come in pieces, where the reader is told to allow that.
constexpr std::size_t longest_head = 16 * 1024, longest_held = 64 * 1024, longest_body = 32 * 1024 * 1024;

struct place {
  std::uint32_t from = 0, length = 0;
};

struct header {
  place name, value, line;  // line: with its end
};

struct message {
  std::string bytes;
  place method, target;  // of a request
  int status = 0;        // of an answer
  std::vector<header> headers;
  place content;
  bool keeps = true;  // the connection may carry another message after this one
  bool old = false;   // HTTP/1.0: knows no chunks
  // The content is but the first part; the rest comes as pieces. Its whole length, where that was stated.
  bool partial = false;
  std::optional<std::uint64_t> length;

  std::string_view text(place p) const { return std::string_view(bytes).substr(p.from, p.length); }
  std::optional<std::string_view> find(std::string_view name) const;
  std::string_view body() const { return text(content); }
};

bool same_name(std::string_view a, std::string_view b);  // names of headers know no case

bool has_word(std::string_view list, std::string_view word);  // of a list with commas

class reader {
 public:
  enum class kind { request, answer };
  // begun: the head is whole and the body a long one. take() gives the head with what is here of the body;
  // then piece() grows, and the state is `passing` until the body is `over`, then take_over() goes on to the
  // next message.
  enum class state { reading, whole, broken, begun, passing, over };

  explicit reader(kind of, std::size_t most = longest_held) : expects(of), most_body(most) {}

  // Longer bodies than can be held come in pieces, up to longest_body.
  void in_pieces(bool are = true) { pieces = are; }
  void no_body() { bodiless = true; }  // of the next answer, whatever its head says: that to a HEAD
  bool head_whole() const { return in != stage::head; }
  bool wants_word() const { return expectant; }  // the client waits for a 100 before it sends the body
  void worded_on() { expectant = false; }

  std::span<char> room();       // where the next bytes go
  void fed(std::size_t count);  // so many came
  void ended();                 // no more will come
  state now() const { return is; }
  bool begun() const { return filled > 0; }  // some bytes of a message are here
  int fault() const { return status_of_fault; }
  std::size_t held() const { return got.bytes.capacity(); }

  // The whole message; the reader goes on with what came after it. Or its first part, if it has begun.
  message take();

  // What came of a body since, unframed; dropped when passed on. No more is asked for while it is full.
  std::string_view piece() const { return std::string_view(got.bytes).substr(0, body_end()); }
  void drop_piece();
  bool full() const { return is == state::passing && body_end() >= longest_held; }
  void take_over();
  bool keeps() const { return connection_keeps; }  // of the message in pieces

 private:
  enum class stage { head, counted, size, data, data_end, trailer, until_end, over };

  std::size_t body_end() const { return got.content.from + got.content.length; }
  bool parse_counted();
  void begin_next(std::string_view rest);

  void parse();
  bool parse_head();
  bool start_line(std::string_view line, std::size_t from);
  bool header_line(std::string_view line, std::size_t from);
  bool frame();
  bool parse_chunks();
  std::optional<std::string_view> next_line(std::size_t most);
  bool broken(int status);

  kind expects;
  std::size_t most_body;
  state is = state::reading;
  stage in = stage::head;
  int status_of_fault = 400;
  message got;
  std::size_t filled = 0, at = 0, scanned = 0;  // bytes that came, that are done with, that hold no line end
  std::size_t awaited = 0;                      // of the body or chunk
  std::size_t trailers = 0;
  std::uint64_t passed = 0;  // of the body, given out in pieces
  bool worded = false;       // 1xx came ahead
  bool pieces = false, bodiless = false, expectant = false, passing = false, connection_keeps = true;
};

}  // namespace indigorill::http
