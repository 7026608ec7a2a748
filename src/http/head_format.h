/// \file
/// Lines of message heads that several codecs share.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace indigorill::http {

constexpr std::string_view chunked_header_line = "Transfer-Encoding: chunked\r\n";

std::string status_line(int status);

/// Content-Length, "Connection: close" if `close_connection`, and the empty line that ends the head.
std::string final_header_lines(std::size_t content_length, bool close_connection);

/// The line with the size of a chunk, which precedes its data.
std::string chunk_size_line(std::size_t bytes);

/// The target of a request without its query.
std::string_view request_path(const Message& request);

}  // namespace indigorill::http
