/// \file
/// A datagram between sidecars: the identity of the sender and one message, encoded as MessagePack. Encodes
/// and decodes it; no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "lease/lease_message.h"
#include "membership/swim_message.h"
#include "quota/quota_message.h"

namespace indigorill {

/// The content of one datagram. Only the message that `kind` names is encoded and decoded.
struct Envelope {
  /// The values are those of the wire format.
  enum class Kind : std::uint8_t { membership, load_gossip, lease, quota_request, quota_grant };

  std::string fleet = {};
  std::string name = {};              ///< Name of the sender.
  std::string address = {};           ///< Address at which the sender receives replies, "address:port".
  std::uint64_t incarnation = 0;      ///< Incarnation of the sender, higher after each start of its process.
  std::uint64_t sequence_number = 0;  ///< Number of the datagram in this incarnation of the sender.
  Kind kind = Kind::membership;
  SwimMessage swim_message = {};
  LeaseMessage lease_message = {};
  QuotaRequest quota_request = {};
  QuotaGrant quota_grant = {};
  std::string load_gossip = {};  ///< The bytes that src/load_gossip encodes and decodes.
};

/// The reason why a datagram was not decoded.
enum class DecodeError : std::uint8_t {
  malformed,            ///< Not an envelope, or a field is out of its bounds.
  too_long,             ///< Longer than max_datagram_bytes.
  unsupported_version,  ///< Another version of the format.
  other_fleet,          ///< From a sender of another fleet.
};
constexpr std::size_t decode_error_count = 4;

/// The error's key in the status JSON.
std::string_view name_of(DecodeError error);

/// No path between two sidecars has to fragment a datagram of this size: IPv4 over Ethernet carries 1,400
/// bytes, tunnels included.
constexpr std::size_t max_datagram_bytes = 1300;

/// The result can be longer than max_datagram_bytes, which the sender must check.
std::string encode(const Envelope& envelope);

/// \param fleet the fleet of the receiver; datagrams of other fleets are rejected.
std::variant<Envelope, DecodeError> decode_envelope(std::string_view bytes, std::string_view fleet);

}  // namespace indigorill
