/// \file
/// Messages of the leader election; cluster/envelope.h serialises them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clock/clock_drift.h"

namespace indigorill {

/// Identifies one round of one process; the greater number takes precedence.
struct BallotNumber {
  std::uint64_t round = 0;
  std::uint64_t session = 0;  ///< identifies one run of a process; never used twice
  // NOLINTNEXTLINE(modernize-use-nullptr): LLVM 14 misreads a defaulted <=>
  auto operator<=>(const BallotNumber&) const = default;
};

/// A request of a candidate to a voter, or a voter's reply.
struct LeaseMessage {
  /// The numeric values are sent on the wire.
  enum class Type : std::uint8_t {
    prepare,   ///< candidate: asks for a promise to reject lower ballots
    promise,   ///< voter: gives the promise
    propose,   ///< candidate: asks to accept its lease
    accepted,  ///< voter: accepted the lease
    rejected,  ///< voter: already promised `ballot`, which the request's ballot does not exceed
    released   ///< holder: gave up its lease; there is no reply
  };
  Type type = Type::prepare;
  BallotNumber ballot = {};
  /// In a voter's reply: name of the holder of the lease that the voter knows of, empty if none is current.
  /// Otherwise: the sender's name.
  std::string holder = {};
  std::uint64_t holder_session = 0;  ///< session of the process that `holder` names
  Milliseconds remaining_ms = 0;     ///< in a reply: time until the holder's lease ends
  /// In a reply: time until every lease that the voter has accepted, released ones included, has ended.
  Milliseconds previous_leases_remaining_ms = 0;
  bool operator==(const LeaseMessage&) const = default;
};

}  // namespace indigorill
