/// \file
/// Drops datagrams that were received before: a network may duplicate and delay them, and anyone can send a
/// recorded one again.
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

/// Why a datagram that could be read is dropped.
enum class ReplayError : std::uint8_t {
  stale_incarnation,  ///< From before the last restart of its sender.
  duplicate,
  outside_window,  ///< So late that it can't be told from a duplicate.
};
constexpr std::size_t replay_error_count = 3;

/// The error's key in the status JSON.
std::string_view name_of(ReplayError error);

/// Keeps a window over the sequence numbers of each sender, as in RFC 4303, section 3.4.3.
class ReplayFilter {
 public:
  /// Nothing if the datagram is a new one, which is then remembered.
  /// \param now in ms, by any clock that doesn't go back.
  std::optional<ReplayError> check(const Envelope& envelope, double now);

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    std::uint64_t highest_sequence_number = 0;
    std::uint64_t received_window = 0;  // bit n: whether the number n below the highest one was received
    double last_heard_at = 0;
  };

  static std::optional<ReplayError> update_window(Sender& sender, const Envelope& envelope);
  void limit_senders(double now);

  std::map<std::string, Sender, std::less<>> senders_;
};

}  // namespace indigorill
