/// Encoding of the load gossip between sidecars, as bytes that are valid both in a datagram and in a JSON
/// string. No I/O and no decisions.
///
/// Layout: one byte for the format, then digits of base 90, least significant first: two for the sequence
/// number, one for the number of tenants, one for each tenant's arrivals per second, and three for each
/// endpoint: two for its tag, and one for attempts in flight and failures together.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "indigorill/load_balancer.h"

namespace indigorill {

/// Returns printable ASCII of at most 256 bytes; the last endpoints are left out if they do not fit.
std::string encode_load_gossip(const LoadGossip& gossip);

/// None for a message that is truncated, too long or of another format, which the caller ignores.
std::optional<LoadGossip> decode_load_gossip(std::string_view bytes);

}  // namespace indigorill
