#include "discovery/endpoint_list.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace indigorill {
namespace {

using nlohmann::json;

constexpr const char* lifecycle_ready = "up";
constexpr const char* lifecycle_draining = "draining";
constexpr const char* lifecycle_gone = "removed";

EndpointState decode_lifecycle(const JsonFields& entry) {
  return entry.enum_value<EndpointState>("lifecycle", {{lifecycle_ready, EndpointState::ready},
                                                       {lifecycle_draining, EndpointState::draining},
                                                       {lifecycle_gone, EndpointState::gone}});
}

const char* encode_lifecycle(EndpointState state) {
  switch (state) {
    case EndpointState::ready:
      return lifecycle_ready;
    case EndpointState::draining:
      return lifecycle_draining;
    case EndpointState::gone:
      return lifecycle_gone;
  }
  return lifecycle_gone;
}

EndpointListUpdate::Entry decode_entry(const JsonFields& fields) {
  EndpointListUpdate::Entry entry;
  Endpoint& endpoint = entry.endpoint;
  endpoint.id = fields.string("instanceId");
  endpoint.state = decode_lifecycle(fields);
  const bool needs_address = endpoint.state != EndpointState::gone;
  entry.address = needs_address ? fields.string("hostPort") : fields.string("hostPort", "");
  endpoint.zone = fields.string("zone", "");
  endpoint.cell = fields.integer("cell", 0);
  endpoint.started_at_ms = fields.number("startedAtMs", 0);
  endpoint.machine_type = fields.string("machineType", "");
  return entry;
}

json encode_entry(const EndpointListUpdate::Entry& entry) {
  const Endpoint& endpoint = entry.endpoint;
  return {{"instanceId", endpoint.id},
          {"hostPort", entry.address},
          {"zone", endpoint.zone},
          {"cell", endpoint.cell},
          {"machineType", endpoint.machine_type},
          {"lifecycle", encode_lifecycle(endpoint.state)},
          {"startedAtMs", endpoint.started_at_ms}};
}

}  // namespace

EndpointListUpdate decode_endpoint_list(const JsonFields& fields) {
  EndpointListUpdate update;
  update.version = fields.unsigned_integer("generation");
  update.complete = fields.boolean("reset");
  fields.require("instances");
  for (const json& entry : fields.array("instances"))
    update.entries.push_back(decode_entry(fields.element("instances", entry)));
  return update;
}

EndpointListUpdate parse_endpoint_list(std::string_view text) {
  const json list = json::parse(text, nullptr, false);
  if (list.is_discarded()) throw ParseError("list: is not JSON");
  return decode_endpoint_list(JsonFields("list", list));
}

std::string encode_endpoint_list(const EndpointListUpdate& update) {
  json entries = json::array();
  for (const EndpointListUpdate::Entry& entry : update.entries) entries.push_back(encode_entry(entry));
  return json{{"generation", update.version}, {"reset", update.complete}, {"instances", entries}}.dump();
}

}  // namespace indigorill
