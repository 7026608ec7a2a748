/// \file
/// Detects datagrams that were received before: a network may duplicate and delay datagrams, and a recorded
/// one can be sent again by any host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/envelope.h"

namespace indigorill {

/// The reason why a decoded datagram is dropped.
enum class ReplayError : std::uint8_t {
  stale_incarnation,  ///< The sender's incarnation is earlier than the latest one received.
  duplicate,
  outside_window,  ///< The datagram is too late to be distinguished from a duplicate.
};
constexpr std::size_t replay_error_count = 3;

/// The error's key in the status JSON.
std::string_view name_of(ReplayError error);

/// Keeps a window over the sequence numbers of each sender, as in RFC 4303, section 3.4.3.
class ReplayFilter {
 public:
  /// Returns why the datagram must be dropped, or nothing if it is new. A new one is recorded.
  /// \param now in ms, by any monotonic clock.
  std::optional<ReplayError> check(const Envelope& envelope, double now);

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    std::uint64_t highest_sequence_number = 0;
    std::uint64_t received_window = 0;  // bit n: whether highest_sequence_number - n was received
    double last_heard_at = 0;
  };

  static std::optional<ReplayError> update_window(Sender& sender, const Envelope& envelope);
  void limit_senders(double now);

  std::map<std::string, Sender, std::less<>> senders_;
};

}  // namespace indigorill
