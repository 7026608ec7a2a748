/// \file
/// The messages by which voters elect a leader; cluster/envelope.h writes them as bytes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clock/clock_drift.h"

namespace indigorill {

/// Identifies one round of one process; the greater one takes precedence.
struct BallotNumber {
  std::uint64_t round = 0;
  std::uint64_t session = 0;  ///< of one run of a process, never used twice
  // NOLINTNEXTLINE(modernize-use-nullptr): LLVM 14 misreads a defaulted <=>
  auto operator<=>(const BallotNumber&) const = default;
};

/// A request of a candidate to a voter, or a voter's reply.
struct LeaseMessage {
  /// The numeric values are sent on the wire.
  enum class Type : std::uint8_t {
    prepare,   ///< candidate: promise to reject lower ballots
    promise,   ///< voter: promised
    propose,   ///< candidate: accept my lease
    accepted,  ///< voter: accepted
    rejected,  ///< voter: a higher ballot was promised; `ballot` is that one
    released   ///< holder: I gave up my lease; no reply
  };
  Type type = Type::prepare;
  BallotNumber ballot = {};
  /// In a reply: the holder of the lease that the voter knows of, empty if none is current.
  std::string holder = {};
  std::uint64_t holder_session = 0;
  Milliseconds remaining_ms = 0;  ///< of the holder's lease
  /// Until every lease that the voter ever accepted has ended, released ones included.
  Milliseconds previous_leases_remaining_ms = 0;
  bool operator==(const LeaseMessage&) const = default;
};

}  // namespace indigorill
