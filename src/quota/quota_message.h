/// \file
/// The messages between a QuotaClient and the QuotaAllocator; cluster/envelope.h writes them as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock/clock_drift.h"

namespace indigorill {

struct QuotaRequest {
  std::uint64_t session = 0;         ///< of one run of the client's process, never used twice
  std::uint64_t request_number = 0;  ///< ascending in a session
  /// The request whose grant the client uses; grants of earlier requests are void.
  std::uint64_t oldest_grant_in_use = 0;
  Milliseconds registration_remaining_ms = 0;  ///< of the client's registration, 0 if it has none
  std::vector<double> demands = {};            ///< units, one for each budget
  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  /// The numeric values are sent on the wire.
  enum class Status : std::uint8_t {
    granted,
    not_ready,    ///< ask again: earlier grants may be in use, or the lease ends too soon
    at_capacity,  ///< QuotaConfig::max_holders are registered already
    not_leader    ///< ask `leader`
  };
  Status status = Status::granted;
  std::uint64_t session = 0;         ///< of the request
  std::uint64_t request_number = 0;  ///< of the request
  Milliseconds duration_ms = 0;      ///< from the request on, by the client's clock
  /// From the request on, by the client's clock; 0: no registration, hence no guaranteed minimum yet.
  Milliseconds registration_duration_ms = 0;
  std::vector<double> amounts = {};              ///< units, one for each budget
  std::vector<double> guaranteed_minimums = {};  ///< units, one for each budget; on top of the amounts
  std::string leader = {};                       ///< with not_leader alone; empty if unknown
  bool operator==(const QuotaGrant&) const = default;
};

}  // namespace indigorill
