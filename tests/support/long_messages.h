/// \file
/// Test support: messages that are parsed in pieces, and a connection of raw bytes.
#pragma once

#include "support/host.h"

namespace host {

/// The parts of one message that a parser has returned so far.
struct ParsedMessage {
  http::Message head;
  std::string body;
  bool has_head = false, complete = false, broken = false;
};
inline void take_parsed(http::HttpParser& parser, ParsedMessage& message) {
  if (parser.state() == http::HttpParser::ParseState::head_ready) {
    message.head = parser.take_message();
    message.body = message.head.body();
    message.has_head = true;
  }
  while (parser.state() == http::HttpParser::ParseState::streaming_body && !parser.body_chunk().empty()) {
    message.body += parser.body_chunk();
    parser.consume_body_chunk();
  }
  if (parser.state() == http::HttpParser::ParseState::body_complete && !message.complete) {
    message.body += parser.body_chunk();
    message.complete = true;
    parser.start_next_message();
  }
  message.broken |= parser.state() == http::HttpParser::ParseState::error;
}
inline void feed_parser(http::HttpParser& parser, std::string_view bytes, ParsedMessage& message) {
  while (!bytes.empty()) {
    const auto room = parser.writable_buffer();
    const std::size_t n = std::min(room.size(), bytes.size());
    std::copy_n(bytes.begin(), n, room.begin());
    parser.commit(n);
    bytes.remove_prefix(n);
    take_parsed(parser, message);
  }
}

/// One end of a connection that carries raw bytes; it reads only while `reading` is true.
struct RawConnection {
  EventLoop& event_loop;
  std::unique_ptr<TcpStream> socket;
  std::string received;
  WriteBuffer output;
  bool reading = true, ended = false;

  RawConnection(EventLoop& loop, FileDescriptorBudget& fd_budget, FileDescriptor fd) : event_loop(loop) {
    socket =
        std::make_unique<TcpStream>(loop, fd_budget, std::move(fd), [this](std::uint32_t) { transfer(); });
  }
  void transfer() {
    socket->write(output);
    std::array<char, 16384> buffer;
    std::size_t count = 0;
    while (reading && !ended) {
      const auto status = socket->read(buffer, count);
      if (status == TcpStream::ReadStatus::would_block) return;
      if (status != TcpStream::ReadStatus::data) ended = true;
      if (status == TcpStream::ReadStatus::data) received.append(buffer.data(), count);
    }
  }
  void send(std::string bytes) {
    if (output.is_complete()) output = {};
    output.append_owned(std::move(bytes));
    socket->write(output);
  }
};

/// A body in which a displaced, lost or doubled piece shows.
inline std::string patterned_bytes(std::size_t n) {
  std::string s(n, 0);
  for (std::size_t i = 0; i < n; ++i) s[i] = static_cast<char>('a' + i % 23 + i / 4096 % 3);
  return s;
}

}  // namespace host
