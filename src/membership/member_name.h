/// \file
/// The syntax of the names of members and fleets.
#pragma once

#include <cstddef>
#include <string_view>

namespace indigorill {

/// Bound on each name and address in a datagram, so that many of them fit into one datagram.
constexpr std::size_t max_name_bytes = 64;

/// Whether the text may be the name of a member or a fleet, or an address. Names are written to log lines and
/// status pages, so only letters, digits and -_.:/ are allowed, and 1 to max_name_bytes of them.
bool is_valid_name(std::string_view name);

}  // namespace indigorill
