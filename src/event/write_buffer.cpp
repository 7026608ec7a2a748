#include "event/write_buffer.h"

#include <algorithm>
#include <utility>

namespace indigorill {

void WriteBuffer::append_owned(std::string chunk) {
  owned_chunks_.push_back(std::move(chunk));
  append_borrowed(owned_chunks_.back());
}

void WriteBuffer::append_borrowed(std::string_view chunk) {
  if (!chunk.empty()) chunks_.push_back(chunk);
}

std::size_t WriteBuffer::fill(std::span<iovec> vectors) const {
  const std::size_t count = std::min(vectors.size(), chunks_.size() - next_chunk_);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string_view chunk = chunks_[next_chunk_ + i];
    vectors[i] = {.iov_base = const_cast<char*>(chunk.data()), .iov_len = chunk.size()};
  }
  return count;
}

void WriteBuffer::advance(std::size_t count) {
  written_bytes_ += count;
  while (count > 0) {
    std::string_view& chunk = chunks_[next_chunk_];
    const std::size_t taken = std::min(count, chunk.size());
    chunk.remove_prefix(taken);
    count -= taken;
    if (chunk.empty()) ++next_chunk_;
  }
}

}  // namespace indigorill
