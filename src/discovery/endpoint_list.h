/// \file
/// The JSON form of the endpoint list, which the discovery agent, the config file and a parent process use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// A complete endpoint list, or the changes since an older version of it.
struct EndpointListUpdate {
  struct Entry {
    Endpoint endpoint;
    /// "address:port"; may be empty if the endpoint is gone.
    std::string address;
  };

  std::uint64_t version = 0;
  /// True if the entries are the complete list, false if they are changes.
  bool complete = false;
  std::vector<Entry> entries;
};

/// Both functions throw ParseError, whose text names the field and the error.
EndpointListUpdate decode_endpoint_list(const JsonFields& fields);
EndpointListUpdate parse_endpoint_list(std::string_view text);

std::string encode_endpoint_list(const EndpointListUpdate& update);

}  // namespace indigorill
