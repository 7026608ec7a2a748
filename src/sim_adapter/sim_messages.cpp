#include "sim_adapter/sim_messages.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "config/load_balancer_config.h"
#include "load_gossip/load_gossip_codec.h"

namespace indigorill {
namespace {

using Json = nlohmann::json;

// Value of "peer" for gossip that goes to all other sidecars.
constexpr std::int64_t all_peers = -1;

std::int64_t to_microseconds(double ms) { return static_cast<std::int64_t>(std::ceil(ms * us_per_ms)); }

// Writes one action. Fields are appended to the text one by one: building a JSON object for each action took
// a third of the time of a reply.
class MessageWriter {
 public:
  MessageWriter(const char* name, int instance) : line_("{\"" + std::string(name) + "\":{") {
    add("i", instance);
  }
  MessageWriter& add(const char* field, std::int64_t value) { return add_raw(field, std::to_string(value)); }
  MessageWriter& add(const char* field, const std::string& value) {
    return add_raw(field, Json(value).dump());
  }
  MessageWriter& add_true(const char* field) { return add_raw(field, "true"); }
  std::string line() const { return line_ + "}}\n"; }

 private:
  MessageWriter& add_raw(const char* field, const std::string& value) {
    if (line_.back() != '{') line_ += ',';
    line_.append("\"").append(field).append("\":").append(value);
    return *this;
  }
  std::string line_;
};

std::string encode_rejection(int instance, const Decision& decision) {
  MessageWriter message("SHED", instance);
  message.add("ticket", decision.rpc_id);
  if (decision.delay_ms > 0) message.add("retryIn", to_microseconds(decision.delay_ms));
  return message.line();
}

}  // namespace

Endpoint decode_endpoint(const JsonFields& member) {
  Endpoint endpoint;
  endpoint.id = member.string("endpoint");
  endpoint.zone = member.string("site", "");
  endpoint.cell = member.integer("stripe", 0);
  endpoint.started_at_ms = member.microseconds_as_ms("upSince");
  endpoint.state = member.enum_value<EndpointState>("state", {{"active", EndpointState::ready},
                                                              {"leaving", EndpointState::draining},
                                                              {"left", EndpointState::gone}});
  endpoint.machine_type = member.string("shape", "");
  return endpoint;
}

LoadReport decode_load_report(const JsonFields& event) {
  LoadReport report;
  const Json* stats = event.find("serverStats");
  if (!stats || !stats->is_object()) return report;
  const auto in_flight = stats->find(in_flight_key);
  if (in_flight != stats->end() && in_flight->is_number()) report.in_flight = in_flight->get<double>();
  return report;
}

AttemptOutcome decode_attempt_outcome(const JsonFields& event) {
  return event.enum_value<AttemptOutcome>("result", {{"GOOD", AttemptOutcome::ok},
                                                     {"BAD", AttemptOutcome::error},
                                                     {"FULL", AttemptOutcome::rejected},
                                                     {"LATE", AttemptOutcome::timed_out},
                                                     {"NOCONN", AttemptOutcome::connect_failed},
                                                     {"RST", AttemptOutcome::reset},
                                                     {"CXL", AttemptOutcome::cancelled},
                                                     {"NOP", AttemptOutcome::client_error}});
}

std::string encode_decision(int instance, const Decision& decision) {
  switch (decision.action) {
    case Decision::Action::send_attempt:
      return MessageWriter("SEND", instance)
          .add("ticket", decision.rpc_id)
          .add("endpoint", decision.endpoint_id)
          .add("cap", to_microseconds(decision.delay_ms))
          .line();
    case Decision::Action::reject:
      return encode_rejection(instance, decision);
    case Decision::Action::fail:
      return MessageWriter("FAIL", instance).add("ticket", decision.rpc_id).line();
    case Decision::Action::cancel_attempt:
      return MessageWriter("RETRACT", instance)
          .add("ticket", decision.rpc_id)
          .add("try", decision.attempt_index)
          .line();
    case Decision::Action::health_check:
      return MessageWriter("PROBE", instance).add("endpoint", decision.endpoint_id).line();
    case Decision::Action::send_gossip:
      return MessageWriter("SHARE", instance)
          .add("peer", all_peers)
          .add("blob", encode_load_gossip(decision.gossip))
          .line();
    case Decision::Action::poll_endpoints:
      return MessageWriter("STREAM_CHANGES", instance).add_true("want").line();
    case Decision::Action::set_timer:
      return MessageWriter("WAKE_ME", instance)
          .add("offset", std::max<std::int64_t>(to_microseconds(decision.delay_ms), 0))
          .add("token", static_cast<std::int64_t>(decision.timer_id))
          .line();
  }
  return {};
}

}  // namespace indigorill
