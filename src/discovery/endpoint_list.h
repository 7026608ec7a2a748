/// The endpoint list as discovery's agent, the config file and a parent process write it, in JSON.
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
    /// "address:port"; may be empty where the endpoint is gone.
    std::string address;
  };

  std::uint64_t version = 0;
  /// The entries are the whole list, not changes.
  bool complete = false;
  std::vector<Entry> entries;
};

/// These two throw ParseError, whose text names the field and what is wrong with it.
EndpointListUpdate decode_endpoint_list(const JsonFields& fields);
EndpointListUpdate parse_endpoint_list(std::string_view text);

std::string encode_endpoint_list(const EndpointListUpdate& update);

}  // namespace indigorill
