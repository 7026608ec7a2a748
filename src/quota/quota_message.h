/// \file
/// Messages between a QuotaClient and the QuotaAllocator; cluster/envelope.h serialises them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock/clock_drift.h"

namespace indigorill {

struct QuotaRequest {
  std::uint64_t session = 0;         ///< identifies one run of the client's process; never used twice
  std::uint64_t request_number = 0;  ///< ascending within a session
  /// Number of the oldest request whose grant the client uses; grants of earlier requests are no longer used.
  std::uint64_t oldest_grant_in_use = 0;
  Milliseconds registration_remaining_ms = 0;  ///< time left of the client's registration, 0 if it has none
  std::vector<double> demands = {};            ///< units, one for each budget
  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  /// The numeric values are sent on the wire.
  enum class Status : std::uint8_t {
    granted,
    not_ready,  ///< the client has to request again: earlier grants may be in use, or the lease ends too soon
    at_capacity,  ///< QuotaConfig::max_holders sidecars have a place already
    not_leader    ///< the client has to send its requests to `leader`
  };
  Status status = Status::granted;
  std::uint64_t session = 0;         ///< session of the request
  std::uint64_t request_number = 0;  ///< number of the request
  Milliseconds duration_ms = 0;      ///< duration of the grant from its request on, by the client's clock
  /// Duration of the registration from its request on, by the client's clock; 0: this grant does not register
  /// the client, hence gives it no guaranteed minimum.
  Milliseconds registration_duration_ms = 0;
  std::vector<double> amounts = {};              ///< units, one for each budget
  std::vector<double> guaranteed_minimums = {};  ///< units, one for each budget; on top of the amounts
  std::string leader = {};  ///< name of the leader, with not_leader only; empty if unknown
  bool operator==(const QuotaGrant&) const = default;
};

}  // namespace indigorill
