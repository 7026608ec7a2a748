/// \file
/// HTTP/1.1 messages, parsed in place: a message owns the received bytes, and its parts are ranges of these
/// bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill::http {

/// A part of `Message::bytes`.
struct ByteRange {
  std::uint32_t offset = 0;
  std::uint32_t length = 0;
};

struct HeaderField {
  ByteRange name;
  ByteRange value;     ///< value without surrounding blanks
  ByteRange raw_line;  ///< whole line with its CRLF
};

/// A request or a response. Views into it are valid until it is moved or destroyed.
struct Message {
  std::string bytes;
  ByteRange method;  ///< method of a request; empty for a response
  ByteRange target;  ///< target of a request, in origin form or "*"; empty for a response
  int status = 0;    ///< status code of a response; 0 for a request
  std::vector<HeaderField> headers;
  ByteRange body_range;
  bool keep_alive = true;    ///< whether the connection may carry another message after this one
  bool is_http_1_0 = false;  ///< whether the sender uses HTTP/1.0, which has no chunked bodies
  bool is_partial = false;   ///< whether `body()` is only the first part; the parser streams the rest
  std::optional<std::uint64_t> content_length;  ///< value of the Content-Length header field, if present

  std::string_view slice(ByteRange range) const {
    return std::string_view(bytes).substr(range.offset, range.length);
  }
  std::string_view body() const { return slice(body_range); }

  /// Returns the value of the first header field with this name, if there is one.
  std::optional<std::string_view> find_header(std::string_view name) const;
};

/// Compares ASCII text, such as names of header fields, regardless of case.
bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Whether a comma-separated list has this item, regardless of case.
bool list_contains(std::string_view list, std::string_view item);

/// Removes the next item of a comma-separated list from its front and returns it without surrounding blanks.
/// Empty items are skipped; an empty result means that the list has ended.
std::string_view take_list_item(std::string_view& list);

}  // namespace indigorill::http
