#include "sim_adapter/sim_protocol.h"

#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "config/load_balancer_config.h"
#include "load_gossip/load_gossip_codec.h"
#include "sim_adapter/sim_messages.h"

namespace indigorill {
namespace {

using Json = nlohmann::json;

// Events come in batches: SYNC with the time, the events, and GO. The reply to GO consists of the actions of
// all instances that the batch concerned, followed by OK.
class SimProtocol {
 public:
  SimProtocol(std::istream& input, std::ostream& output) : input_(input), output_(output) {}

  void run() {
    std::string line;
    while (std::getline(input_, line)) {
      if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
      const Json message = Json::parse(line, nullptr, false);
      if (message.is_discarded()) throw ParseError("line is not JSON");
      if (!message.is_object() || message.size() != 1) throw ParseError("line is not an object with one key");
      const std::string& name = message.begin().key();
      dispatch(name, JsonFields(name, message.begin().value()));
    }
    if (in_batch_) throw ParseError("GO: is missing at the end of the input");
  }

 private:
  using Handler = void (SimProtocol::*)(const JsonFields&);

  void dispatch(const std::string& name, const JsonFields& event) {
    static const std::map<std::string, Handler> handlers{
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
    if (name == "SYNC") return on_sync(event);
    const auto handler = handlers.find(name);
    if (handler == handlers.end()) throw ParseError("unknown message " + Json(name).dump());
    if (!in_batch_) event.fail("received outside a batch");
    (this->*handler->second)(event);
  }

  LoadBalancer& find_instance(const JsonFields& event) {
    const int id = event.integer("i");
    const auto instance = instances_.find(id);
    if (instance == instances_.end()) event.fail("unknown instance " + std::to_string(id));
    touched_instances_.insert(id);
    return *instance->second;
  }

  void on_sync(const JsonFields& event) {
    if (in_batch_) event.fail("received within a batch");
    now_ms_ = static_cast<double>(event.unsigned_integer("simTime")) / us_per_ms;
    in_batch_ = true;
    touched_instances_.clear();
  }

  void on_directory(const JsonFields& event) {
    std::vector<Endpoint> endpoints;
    event.require("members");
    for (const Json& member : event.array("members"))
      endpoints.push_back(decode_endpoint(JsonFields("DIRECTORY.members", member)));
    endpoint_lists_[event.integer("rosterId")] = std::move(endpoints);
  }

  void on_begin(const JsonFields& event) {
    const int id = event.integer("i");
    event.require("settings");
    instances_[id] = std::make_unique<LoadBalancer>(decode_load_balancer_config(event.object("settings")),
                                                    event.unsigned_integer("seed"), now_ms_);
    touched_instances_.insert(id);
  }

  void on_killed(const JsonFields& event) {
    find_instance(event);
    const int id = event.integer("i");
    instances_.erase(id);
    touched_instances_.erase(id);
  }

  void on_backends_changed(const JsonFields& event) {
    enum class Scope { update, replace, restored, unavailable };
    LoadBalancer& load_balancer = find_instance(event);
    const Scope scope = event.enum_value<Scope>("scope", {{"update", Scope::update},
                                                          {"replace", Scope::replace},
                                                          {"restored", Scope::restored},
                                                          {"unavailable", Scope::unavailable}});
    if (scope == Scope::unavailable) {
      load_balancer.endpoint_poll_failed(now_ms_);
      return;
    }
    const int list_id = event.integer("rosterId");
    const auto list = endpoint_lists_.find(list_id);
    if (list == endpoint_lists_.end()) event.fail("unknown list " + std::to_string(list_id));
    load_balancer.update_endpoints(now_ms_, scope != Scope::update, scope != Scope::restored, list->second);
  }

  void on_incoming(const JsonFields& event) {
    LoadBalancer& load_balancer = find_instance(event);
    const std::string id = event.string("ticket");
    const std::string method = event.string("cls");
    const std::string tenant = event.string("tenant", "");
    RpcArrival arrival{.id = id,
                       .method = method,
                       .deadline_ms = static_cast<double>(event.unsigned_integer("expires")) / us_per_ms,
                       .routing_key = {},
                       .tenant = tenant,
                       .is_retry = event.boolean("repeat")};
    if (event.find("routeKey")) arrival.routing_key = event.unsigned_integer("routeKey");
    load_balancer.on_rpc_arrived(now_ms_, arrival);
  }

  void on_under_way(const JsonFields& event) {
    find_instance(event).on_response_started(now_ms_, event.string("ticket"), event.integer("try"));
  }

  void on_outcome(const JsonFields& event) {
    event.string("endpoint");  // required, although the attempt determines the endpoint
    find_instance(event).on_attempt_finished(
        now_ms_, event.string("ticket"), event.integer("try"), decode_attempt_outcome(event),
        event.number("elapsed") / us_per_ms, event.boolean("finished"), decode_load_report(event));
  }

  void on_dropped(const JsonFields& event) {
    find_instance(event).on_client_disconnected(now_ms_, event.string("ticket"));
  }

  void on_timer(const JsonFields& event) {
    find_instance(event).on_timer(now_ms_, event.unsigned_integer("token"));
  }

  void on_status_back(const JsonFields& event) {
    event.number("elapsed");  // required, although the value is not used
    find_instance(event).on_probe_finished(now_ms_, event.string("endpoint"), decode_attempt_outcome(event),
                                           decode_load_report(event));
  }

  void on_whisper(const JsonFields& event) {
    LoadBalancer& load_balancer = find_instance(event);
    const int sender = event.integer("sender");
    const std::optional<LoadGossip> gossip = decode_load_gossip(event.string("blob"));
    if (gossip) load_balancer.on_gossip(now_ms_, sender, *gossip);
  }

  void on_go(const JsonFields&) {
    std::string reply;
    for (const int id : touched_instances_)
      while (const std::optional<Decision> decision = instances_.at(id)->next_decision())
        reply += encode_decision(id, *decision);
    output_ << reply << "{\"OK\":{}}\n" << std::flush;
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

void run_sim_adapter(std::istream& input, std::ostream& output) { SimProtocol(input, output).run(); }

}  // namespace indigorill
