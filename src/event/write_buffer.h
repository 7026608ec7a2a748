/// \file
/// Output of a connection, gathered from owned and borrowed chunks.
#pragma once

#include <sys/uio.h>

#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

/// Chunks of bytes that are written in order with as few system calls as possible, and the progress of the
/// write. Borrowed chunks avoid a copy of forwarded bytes; they must stay valid until `is_complete()`.
class WriteBuffer {
 public:
  void append_owned(std::string chunk);
  void append_borrowed(std::string_view chunk);

  /// All bytes were written.
  bool is_complete() const { return next_chunk_ == chunks_.size(); }
  /// Some bytes were written.
  bool has_started() const { return written_bytes_ > 0; }
  std::size_t written_bytes() const { return written_bytes_; }

  /// Points `vectors` to the next chunks to be written; returns how many were filled.
  std::size_t fill(std::span<iovec> vectors) const;

  /// Marks the next `count` bytes as written.
  void advance(std::size_t count);

 private:
  std::deque<std::string> owned_chunks_;  // a deque: appending must not move strings that chunks_ views
  std::vector<std::string_view> chunks_;  // the first unwritten one is shortened as it is written
  std::size_t next_chunk_ = 0;
  std::size_t written_bytes_ = 0;
};

}  // namespace indigorill
