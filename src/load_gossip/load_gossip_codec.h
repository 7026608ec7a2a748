/// Encoding of the load gossip between sidecars, as bytes that fit a datagram and a JSON string alike. No I/O
/// and no decisions.
///
/// Layout, in digits of base 90, least significant first: the format, two digits of the sequence number, one
/// of the number of tenants, one for each tenant's arrivals a second, then three for each endpoint: two of
/// its tag, one of attempts in flight and failures together.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "indigorill/load_balancer.h"

namespace indigorill {

/// Printable ASCII alone, 256 bytes at most; endpoints that no longer fit are left out from the end.
std::string encode_load_gossip(const LoadGossip& gossip);

/// None for a message that is truncated, too long or of another format: it is ignored.
std::optional<LoadGossip> decode_load_gossip(std::string_view bytes);

}  // namespace indigorill
