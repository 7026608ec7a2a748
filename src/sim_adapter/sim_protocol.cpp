#include "sim_adapter/sim_protocol.h"

#include <cmath>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <string>

#include "config/load_balancer_config.h"
#include "indigorill/load_balancer.h"
#include "load_gossip/load_gossip_codec.h"

namespace indigorill {
namespace {

using nlohmann::json;

Endpoint decode_endpoint(const json& j) {
  const JsonFields f("DIRECTORY.members", j);
  Endpoint e;
  e.id = f.string("endpoint");
  e.zone = f.string("site", "");
  e.cell = f.integer("stripe", 0);
  e.started_at_ms = f.microseconds_as_ms("upSince");
  e.state = f.enum_value<EndpointState>("state", {{"active", EndpointState::ready},
                                                  {"leaving", EndpointState::draining},
                                                  {"left", EndpointState::gone}});
  e.machine_type = f.string("shape", "");
  return e;
}

LoadReport decode_load_report(const JsonFields& f) {
  LoadReport l;
  const json* stats = f.find("serverStats");
  if (!stats || !stats->is_object()) return l;
  const auto it = stats->find(in_flight_key);
  if (it != stats->end() && it->is_number()) l.in_flight = it->get<double>();
  return l;
}

AttemptOutcome decode_attempt_outcome(const JsonFields& f) {
  return f.enum_value<AttemptOutcome>("result", {{"GOOD", AttemptOutcome::ok},
                                                 {"BAD", AttemptOutcome::error},
                                                 {"FULL", AttemptOutcome::rejected},
                                                 {"LATE", AttemptOutcome::timed_out},
                                                 {"NOCONN", AttemptOutcome::connect_failed},
                                                 {"RST", AttemptOutcome::reset},
                                                 {"CXL", AttemptOutcome::cancelled},
                                                 {"NOP", AttemptOutcome::client_error}});
}

std::int64_t to_microseconds(double ms) { return static_cast<std::int64_t>(std::ceil(ms * us_per_ms)); }

// Text and number fields are written one by one: building a JSON object for each took a third of a reply.
class MessageWriter {
 public:
  MessageWriter(const char* name, int instance) : line_("{\"" + std::string(name) + "\":{") {
    with("i", instance);
  }
  MessageWriter& with(const char* field, std::int64_t value) { return add(field, std::to_string(value)); }
  MessageWriter& with(const char* field, const std::string& value) { return add(field, json(value).dump()); }
  MessageWriter& on(const char* field) { return add(field, "true"); }
  std::string str() const { return line_ + "}}\n"; }

 private:
  MessageWriter& add(const char* field, const std::string& value) {
    if (line_.back() != '{') line_ += ',';
    line_.append("\"").append(field).append("\":").append(value);
    return *this;
  }
  std::string line_;
};

std::string encode(int instance, const Decision& d) {
  using Verb = Decision::Action;
  switch (d.action) {
    case Verb::send_attempt:
      return MessageWriter("SEND", instance)
          .with("ticket", d.rpc_id)
          .with("endpoint", d.endpoint_id)
          .with("cap", to_microseconds(d.delay_ms))
          .str();
    case Verb::reject: {
      MessageWriter shed("SHED", instance);
      shed.with("ticket", d.rpc_id);
      if (d.delay_ms > 0) shed.with("retryIn", to_microseconds(d.delay_ms));
      return shed.str();
    }
    case Verb::fail:
      return MessageWriter("FAIL", instance).with("ticket", d.rpc_id).str();
    case Verb::cancel_attempt:
      return MessageWriter("RETRACT", instance).with("ticket", d.rpc_id).with("try", d.attempt_index).str();
    case Verb::health_check:
      return MessageWriter("PROBE", instance).with("endpoint", d.endpoint_id).str();
    case Verb::send_gossip:
      return MessageWriter("SHARE", instance)
          .with("peer", -1)
          .with("blob", encode_load_gossip(d.gossip))
          .str();
    case Verb::poll_endpoints:
      return MessageWriter("STREAM_CHANGES", instance).on("want").str();
    case Verb::set_timer:
      return MessageWriter("WAKE_ME", instance)
          .with("offset", std::max<std::int64_t>(to_microseconds(d.delay_ms), 0))
          .with("token", static_cast<std::int64_t>(d.timer_id))
          .str();
  }
  return {};
}

class SimProtocol {
 public:
  SimProtocol(std::istream& from, std::ostream& to) : input_(from), output_(to) {}

  void run() {
    std::string line;
    while (std::getline(input_, line)) {
      if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
      const json message = json::parse(line, nullptr, false);
      if (message.is_discarded()) throw ParseError("line is not JSON");
      if (!message.is_object() || message.size() != 1) throw ParseError("line is not an object with one key");
      const std::string& name = message.begin().key();
      dispatch(name, JsonFields(name, message.begin().value()));
    }
    if (in_batch_) throw ParseError("GO: input ended within a batch");
  }

 private:
  void dispatch(const std::string& name, const JsonFields& f) {
    if (name == "SYNC") {
      if (in_batch_) f.fail("batch within a batch");
      now_ms_ = static_cast<double>(f.unsigned_integer("simTime")) / us_per_ms;
      in_batch_ = true;
      touched_instances_.clear();
      return;
    }
    static const std::map<std::string, void (SimProtocol::*)(const JsonFields&)> known{
        {"GO", &SimProtocol::on_go},
        {"DIRECTORY", &SimProtocol::on_directory},
        {"BEGIN", &SimProtocol::on_begin},
        {"KILLED", &SimProtocol::on_killed},
        {"INCOMING", &SimProtocol::on_incoming},
        {"BACKENDS_CHANGED", &SimProtocol::on_backends_changed},
        {"UNDER_WAY", &SimProtocol::on_under_way},
        {"OUTCOME", &SimProtocol::on_outcome},
        {"DROPPED", &SimProtocol::on_dropped},
        {"TIMER", &SimProtocol::on_timer},
        {"STATUS_BACK", &SimProtocol::on_status_back},
        {"WHISPER", &SimProtocol::on_whisper}};
    const auto it = known.find(name);
    if (it == known.end()) throw ParseError("message of unknown name " + json(name).dump());
    if (!in_batch_) f.fail("outside a batch");
    (this->*it->second)(f);
  }

  LoadBalancer& find_instance(const JsonFields& f) {
    const int i = f.integer("i");
    const auto it = instances_.find(i);
    if (it == instances_.end()) f.fail("unknown instance " + std::to_string(i));
    touched_instances_.insert(i);
    return *it->second;
  }

  void on_directory(const JsonFields& f) {
    std::vector<Endpoint> entries;
    f.require("members");
    for (const json& j : f.array("members")) entries.push_back(decode_endpoint(j));
    endpoint_lists_[f.integer("rosterId")] = std::move(entries);
  }
  void on_begin(const JsonFields& f) {
    const int i = f.integer("i");
    f.require("settings");
    instances_[i] = std::make_unique<LoadBalancer>(decode_load_balancer_config(f.object("settings")),
                                                   f.unsigned_integer("seed"), now_ms_);
    touched_instances_.insert(i);
  }
  void on_killed(const JsonFields& f) {
    find_instance(f);
    const int i = f.integer("i");
    instances_.erase(i);
    touched_instances_.erase(i);
  }
  void on_backends_changed(const JsonFields& f) {
    LoadBalancer& b = find_instance(f);
    enum class Scope { update, replace, restored, unavailable };
    const Scope s = f.enum_value<Scope>("scope", {{"update", Scope::update},
                                                  {"replace", Scope::replace},
                                                  {"restored", Scope::restored},
                                                  {"unavailable", Scope::unavailable}});
    if (s == Scope::unavailable) return b.endpoint_poll_failed(now_ms_);
    const auto it = endpoint_lists_.find(f.integer("rosterId"));
    if (it == endpoint_lists_.end()) f.fail("unknown list " + std::to_string(f.integer("rosterId")));
    b.update_endpoints(now_ms_, s != Scope::update, s != Scope::restored, it->second);
  }
  void on_incoming(const JsonFields& f) {
    LoadBalancer& b = find_instance(f);
    const std::string id = f.string("ticket"), cls = f.string("cls");
    const std::string tenant = f.string("tenant", "");
    RpcArrival a{id, cls,    static_cast<double>(f.unsigned_integer("expires")) / us_per_ms,
                 {}, tenant, f.boolean("repeat")};
    if (f.find("routeKey")) a.routing_key = f.unsigned_integer("routeKey");
    b.on_rpc_arrived(now_ms_, a);
  }
  void on_under_way(const JsonFields& f) {
    find_instance(f).on_response_started(now_ms_, f.string("ticket"), f.integer("try"));
  }
  void on_outcome(const JsonFields& f) {
    f.string("endpoint");
    find_instance(f).on_attempt_finished(now_ms_, f.string("ticket"), f.integer("try"),
                                         decode_attempt_outcome(f), f.number("elapsed") / us_per_ms,
                                         f.boolean("finished"), decode_load_report(f));
  }
  void on_dropped(const JsonFields& f) {
    find_instance(f).on_client_disconnected(now_ms_, f.string("ticket"));
  }
  void on_timer(const JsonFields& f) { find_instance(f).on_timer(now_ms_, f.unsigned_integer("token")); }
  void on_status_back(const JsonFields& f) {
    f.number("elapsed");
    find_instance(f).on_probe_finished(now_ms_, f.string("endpoint"), decode_attempt_outcome(f),
                                       decode_load_report(f));
  }
  void on_whisper(const JsonFields& f) {
    LoadBalancer& b = find_instance(f);
    const int sender = f.integer("sender");
    if (const auto n = decode_load_gossip(f.string("blob"))) b.on_gossip(now_ms_, sender, *n);
  }

  void on_go(const JsonFields&) {
    std::string text;
    for (const int i : touched_instances_)
      while (const auto d = instances_.at(i)->next_decision()) text += encode(i, *d);
    output_ << text << "{\"OK\":{}}\n" << std::flush;
    in_batch_ = false;
  }

  std::istream& input_;
  std::ostream& output_;
  double now_ms_ = 0;
  bool in_batch_ = false;
  std::map<int, std::unique_ptr<LoadBalancer>> instances_;
  std::map<int, std::vector<Endpoint>> endpoint_lists_;
  std::set<int> touched_instances_;
};

}  // namespace

void run_sim_adapter(std::istream& in, std::ostream& out) { SimProtocol(in, out).run(); }

}  // namespace indigorill
