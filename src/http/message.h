/// \file
/// HTTP/1.1 messages as parsed in place: a message keeps the received bytes, and its parts are ranges of
/// them.
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
  ByteRange value;     ///< without surrounding blanks
  ByteRange raw_line;  ///< the whole line with its CRLF
};

/// A request or a response. Views into it are valid until it is moved or destroyed.
struct Message {
  std::string bytes;
  ByteRange method;  ///< of a request
  ByteRange target;  ///< of a request, in origin form or "*"
  int status = 0;    ///< of a response
  std::vector<HeaderField> headers;
  ByteRange body_range;
  bool keep_alive = true;    ///< the connection may carry another message after this one
  bool is_http_1_0 = false;  ///< the sender doesn't understand chunked bodies
  bool is_partial = false;   ///< the body is only the first part; the parser streams the rest
  std::optional<std::uint64_t> content_length;  ///< as stated by the head

  std::string_view slice(ByteRange range) const {
    return std::string_view(bytes).substr(range.offset, range.length);
  }
  std::string_view body() const { return slice(body_range); }

  /// The value of the first header field of this name.
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
