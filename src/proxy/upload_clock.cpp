#include "proxy/upload_clock.h"

#include <algorithm>

namespace indigorill {

void UploadClock::start(double now_ms) {
  *this = {};
  not_before_ms_ = now_ms;
  set_checkpoint(now_ms, 0);
}

void UploadClock::on_bytes_read(std::uint64_t count, double received_at_ms, std::uint64_t unread_bytes) {
  if (is_drained_) {
    is_drained_ = false;
    not_before_ms_ = std::max(not_before_ms_, received_at_ms);
    return set_checkpoint(received_at_ms, unread_bytes);
  }
  bytes_since_checkpoint_ += count;
  if (bytes_since_checkpoint_ <= bytes_before_checkpoint_) return;
  not_before_ms_ = std::max(not_before_ms_, checkpoint_ms_);
  set_checkpoint(received_at_ms, unread_bytes);
}

void UploadClock::observe(double now_ms, const Backlog& backlog) {
  const bool is_all_read = backlog.unread_bytes == 0;
  const bool exceeds_buffers =
      backlog.remaining_body && *backlog.remaining_body > backlog.unread_bytes + max_client_buffer_bytes;
  if (is_drained_ || is_all_read || exceeds_buffers) not_before_ms_ = std::max(not_before_ms_, now_ms);
}

void UploadClock::set_checkpoint(double now_ms, std::uint64_t unread_bytes) {
  checkpoint_ms_ = now_ms;
  bytes_since_checkpoint_ = 0;
  bytes_before_checkpoint_ = unread_bytes + max_client_buffer_bytes;
}

}  // namespace indigorill
