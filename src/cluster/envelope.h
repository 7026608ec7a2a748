/// \file
/// A datagram between sidecars: who sends it, and one message, as MessagePack. Bytes to values and back; no
/// I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "lease/leader_lease.h"
#include "membership/swim_message.h"
#include "quota/quota.h"

namespace indigorill {

/// The content of one datagram. Of the messages only the one that `kind` names is sent and received.
struct Envelope {
  /// The values are those of the wire format.
  enum class Kind : std::uint8_t { membership, load_gossip, lease, quota_request, quota_grant };

  std::string fleet = {};
  std::string name = {};              ///< Of the sender.
  std::string address = {};           ///< Where the sender receives answers, "address:port".
  std::uint64_t incarnation = 0;      ///< Of the sender: later with each start of its process.
  std::uint64_t sequence_number = 0;  ///< Of the datagram, in this incarnation of the sender.
  Kind kind = Kind::membership;
  SwimMessage swim_message = {};
  LeaseMessage lease_message = {};
  QuotaRequest quota_request = {};
  QuotaGrant quota_grant = {};
  std::string load_gossip = {};  ///< The bytes that src/load_gossip encodes and decodes.
};

/// Why the bytes of a datagram were not read.
enum class DecodeError : std::uint8_t {
  malformed,            ///< Not an envelope, or a field out of its bounds.
  too_long,             ///< More than max_datagram_bytes.
  unsupported_version,  ///< Another version of the format.
  other_fleet,          ///< Of another fleet than ours.
};
constexpr std::size_t decode_error_count = 4;

/// The error's key in the status JSON.
std::string_view name_of(DecodeError error);

/// No path between two sidecars has to fragment such a datagram: IPv4 over Ethernet, tunnels included, takes
/// 1,400 bytes.
constexpr std::size_t max_datagram_bytes = 1300;

/// The result can be longer than max_datagram_bytes: whoever sends it has to look.
std::string encode(const Envelope& envelope);

/// \param fleet the receiver's own.
std::variant<Envelope, DecodeError> decode_envelope(std::string_view bytes, std::string_view fleet);

}  // namespace indigorill
