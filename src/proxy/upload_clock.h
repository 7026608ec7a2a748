/// @file
/// When the client of a long request can have written its last byte. The budget of an RPC counts from that
/// byte, which may wait unseen in the client's kernel while the endpoint takes the request slowly.
#pragma once

#include <cstdint>
#include <optional>

namespace indigorill {

/// Keeps a lower bound of the time at which the client wrote the request's last byte, from what was read so
/// far. No I/O; the caller passes all times, in ms on one clock.
class UploadClock {
 public:
  /// The most that a client's kernel holds for one connection: the usual maximum of tcp_wmem.
  static constexpr std::uint64_t max_client_buffer_bytes = std::uint64_t{4} << 20;

  /// What is known of the bytes that were not read yet.
  struct Backlog {
    std::uint64_t unread_bytes = 0;                    ///< received by this machine's kernel
    std::optional<std::uint64_t> remaining_body = {};  ///< of the body, if its length is stated
  };

  /// The first part of the request was read; the client may have written the rest already.
  void start(double now_ms);
  /// `received_at_ms`: when they reached this machine.
  void on_bytes_read(std::uint64_t count, double received_at_ms, std::uint64_t unread_bytes);
  /// All that the client had written was read, and the request is not complete.
  void on_drained() { is_drained_ = true; }
  /// Looks at what waits while nothing is read, and the request is not complete.
  void observe(double now_ms, const Backlog& backlog);

  double last_byte_not_before_ms() const { return not_before_ms_; }

 private:
  void set_checkpoint(double now_ms, std::uint64_t unread_bytes);

  double not_before_ms_ = 0;
  bool is_drained_ = false;
  double checkpoint_ms_ = 0;
  std::uint64_t bytes_since_checkpoint_ = 0;
  std::uint64_t bytes_before_checkpoint_ =
      0;  // at most so many of the bytes read since then were written before
};

}  // namespace indigorill
