// The one message between sidecars: what one of them alone knows, as bytes that fit a datagram and a JSON
// text alike. Bytes to facts and back; no I/O and no decisions.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "indigorill/load_balancer.h"

namespace indigorill {

// Printable ASCII alone, 256 bytes at most; what no longer fits is left out from the end.
std::string encode_load_gossip(const LoadGossip& n);

// None for what is torn, too long, foreign or of another form: it is taken for nothing.
std::optional<LoadGossip> decode_load_gossip(std::string_view bytes);

}  // namespace indigorill
