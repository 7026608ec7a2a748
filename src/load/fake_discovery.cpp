// The endpoint list of the fake fleet. Each sidecar has an agent that answers its polls and watches.
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "load/fake_fleet.h"
#include "load/http_response.h"
#include "load/loopback.h"

namespace indigorill::load_generator {

using emulator::EventPriority;
using emulator::Fault;

namespace {

// Names of an endpoint's lifecycle on the wire, in the order of EndpointState.
constexpr std::array<const char*, 3> lifecycle_names{"up", "draining", "removed"};

bool is_removed(const std::string& formatted_endpoint) {
  return formatted_endpoint.find("\"removed\"") != std::string::npos;
}

std::string format_list(std::size_t generation, bool is_complete, const std::vector<std::string>& endpoints) {
  std::string list = R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
                     (is_complete ? "true" : "false") + R"(,"instances":[)";
  for (std::size_t i = 0; i < endpoints.size(); ++i) list.append(i > 0 ? "," : "").append(endpoints[i]);
  return list + "]}";
}

}  // namespace

std::size_t FakeFleet::add_agent() {
  const std::size_t number = agents_.size();
  auto agent = std::make_unique<FakeAgent>();
  agent->listener = std::make_unique<HttpListener>(
      loop_, descriptors_,
      [this, number](std::uint64_t connection, const http::Message& request) {
        on_discovery_poll(number, connection, request);
      },
      [this, number](std::uint64_t connection) { remove_watches(number, connection); },
      port_of(base_port_, number));
  agent->known_changes = endpoint_changes_.size();
  for (EndpointChange& change : change_records_)
    change.known_at_ms = std::min(change.known_at_ms, clock_.now());
  agents_.push_back(std::move(agent));
  if (discovery_mode_ != DiscoveryMode::refuses) agents_.back()->listener->open();
  return number;
}

void FakeFleet::retire_agent(std::size_t agent, double closes_at_ms) {
  agents_[agent]->is_retired = true;
  agents_[agent]->listener->stop_accepting();
  clock_.schedule(closes_at_ms, EventPriority::discovery,
                  [this, agent] { agents_[agent]->listener->close_all(); });
}

void FakeFleet::set_discovery_mode(DiscoveryMode mode, double response_delay_ms) {
  discovery_mode_ = mode;
  response_delay_ms_ = response_delay_ms;
  discovery_silent_ = mode == DiscoveryMode::silent;
  for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
    if (agents_[agent]->is_retired) continue;
    HttpListener& listener = *agents_[agent]->listener;
    if (mode == DiscoveryMode::refuses)
      listener.close_all();
    else if (!listener.is_listening())
      listener.open();
    schedule_endpoint_update(agent);
  }
}

std::string FakeFleet::agent_address(std::size_t sidecar) const {
  return format_address(agents_[sidecar]->listener->address());
}

std::string FakeFleet::format_endpoint(std::size_t server, EndpointState state) const {
  const ServerState& described = *servers_[server];
  const double started_at_ms = described.server->started_at_ms();
  const nlohmann::json endpoint{{"instanceId", emulator::server_name(static_cast<std::uint32_t>(server))},
                                {"hostPort", format_address(described.listener->address())},
                                {"zone", emulator::zone_name(described.zone)},
                                {"cell", described.cell},
                                {"lifecycle", lifecycle_names.at(static_cast<std::size_t>(state))},
                                {"startedAtMs", started_at_ms > 0 ? clock_.to_unix_ms(started_at_ms) : 0}};
  return endpoint.dump();
}

std::string FakeFleet::endpoint_list() const {
  std::vector<std::string> endpoints;
  for (std::size_t server = 0; server < servers_.size(); ++server)
    endpoints.push_back(format_endpoint(server, EndpointState::ready));
  return format_list(1, true, endpoints);
}

void FakeFleet::publish_change(std::size_t server, EndpointState state) {
  endpoint_changes_.push_back(format_endpoint(server, state));
  changed_servers_.push_back(server);
  change_records_.push_back({.server = server, .state = state});
  for (std::size_t agent = 0; agent < agents_.size(); ++agent) schedule_endpoint_update(agent);
}

void FakeFleet::schedule_endpoint_update(std::size_t agent) {
  FakeAgent& state = *agents_[agent];
  const bool is_up_to_date = state.known_changes == endpoint_changes_.size();
  if (state.update_scheduled || discovery_silent_ || is_up_to_date) return;
  state.update_scheduled = true;
  const double update_at_ms = clock_.queue().now() + scenario_.discovery.delay_ms +
                              scenario_.discovery.spread_ms * discovery_random_.uniform();
  clock_.schedule(update_at_ms, EventPriority::discovery, [this, agent] { deliver_endpoint_update(agent); });
}

void FakeFleet::deliver_endpoint_update(std::size_t agent) {
  FakeAgent& state = *agents_[agent];
  state.update_scheduled = false;
  if (discovery_silent_) return;
  for (std::size_t i = state.known_changes; i < change_records_.size(); ++i)
    change_records_[i].known_at_ms = std::min(change_records_[i].known_at_ms, clock_.now());
  state.known_changes = endpoint_changes_.size();
  std::vector<Watch> watches;
  watches.swap(state.watches);
  for (const Watch& watch : watches) answer_with_changes(agent, watch.connection, watch.known_changes);
}

// A request holds the generation of the sidecar's list (`index`) and the time in ms that the sidecar waits
// for a change of that list (`wait`).
void FakeFleet::on_discovery_poll(std::size_t agent, std::uint64_t connection, const http::Message& request) {
  clock_.run_due_events();
  ++counters_.discovery_polls;
  if (discovery_silent_) return;
  if (discovery_mode_ == DiscoveryMode::unavailable)
    return agents_[agent]->listener->send_answer(connection, format_response(unavailable_status, ""));
  const FakeAgent& state = *agents_[agent];
  const std::string_view target = request.slice(request.target);
  const double generation = query_parameter(target, "index");
  const double wait_ms = query_parameter(target, "wait");
  const std::size_t known_changes = generation < 1 ? 0 : static_cast<std::size_t>(generation) - 1;
  const bool wants_full_list = generation < 1 || known_changes > state.known_changes;
  if (!wants_full_list && known_changes == state.known_changes && wait_ms > 0)
    return add_watch(agent, connection, known_changes, wait_ms);
  const double work_ms =
      wants_full_list ? scenario_.discovery.full_list_work_ms : scenario_.discovery.changes_work_ms;
  clock_.schedule(clock_.now() + work_ms * discovery_slowdown_, EventPriority::discovery,
                  [this, agent, connection, known_changes, wants_full_list] {
                    if (discovery_silent_) return;
                    answer_poll(agent, connection, known_changes, wants_full_list);
                  });
}

void FakeFleet::answer_poll(std::size_t agent, std::uint64_t connection, std::size_t known_changes,
                            bool wants_full_list) {
  if (wants_full_list)
    answer_with_full_list(agent, connection);
  else
    answer_with_changes(agent, connection, known_changes);
}

void FakeFleet::add_watch(std::size_t agent, std::uint64_t connection, std::size_t known_changes,
                          double wait_ms) {
  EventLoop::Timer timer = loop_.schedule_at(loop_.now() + wait_ms, [this, agent, connection, known_changes] {
    remove_watches(agent, connection);
    if (!discovery_silent_) answer_with_changes(agent, connection, known_changes);
  });
  agents_[agent]->watches.push_back({connection, known_changes, std::move(timer)});
}

void FakeFleet::remove_watches(std::size_t agent, std::uint64_t connection) {
  std::erase_if(agents_[agent]->watches, [&](const Watch& watch) { return watch.connection == connection; });
}

// Sends the list as this agent knows it, without changes that have not reached the agent yet.
void FakeFleet::answer_with_full_list(std::size_t agent, std::uint64_t connection) {
  std::map<std::size_t, std::string> endpoints;
  const auto initial_servers = static_cast<std::size_t>(scenario_.initial_server_count());
  for (std::size_t server = 0; server < initial_servers; ++server)
    endpoints[server] = format_endpoint(server, EndpointState::ready);
  for (std::size_t i = 0; i < agents_[agent]->known_changes; ++i) {
    if (is_removed(endpoint_changes_[i]))
      endpoints.erase(changed_servers_[i]);
    else
      endpoints[changed_servers_[i]] = endpoint_changes_[i];
  }
  std::vector<std::string> list;
  list.reserve(endpoints.size());
  for (const auto& [server, endpoint] : endpoints) list.push_back(endpoint);
  send_list(agent, connection, true, list);
}

void FakeFleet::answer_with_changes(std::size_t agent, std::uint64_t connection, std::size_t known_changes) {
  std::vector<std::string> changes;
  for (std::size_t i = known_changes; i < agents_[agent]->known_changes; ++i)
    changes.push_back(endpoint_changes_[i]);
  send_list(agent, connection, false, changes);
}

void FakeFleet::send_list(std::size_t agent, std::uint64_t connection, bool is_complete,
                          const std::vector<std::string>& endpoints) {
  const std::string list = format_list(agents_[agent]->known_changes + 1, is_complete, endpoints);
  const std::string response = format_response(ok_status, list);
  const std::size_t sent_changes = agents_[agent]->known_changes;
  if (discovery_mode_ == DiscoveryMode::half_response)
    return agents_[agent]->listener->send_answer(connection, response.substr(0, response.size() / 2));
  if (discovery_mode_ != DiscoveryMode::slow)
    return write_response(agent, connection, response, sent_changes);
  clock_.schedule(clock_.now() + response_delay_ms_, EventPriority::discovery,
                  [this, agent, connection, response, sent_changes] {
                    if (!discovery_silent_) write_response(agent, connection, response, sent_changes);
                  });
}

void FakeFleet::write_response(std::size_t agent, std::uint64_t connection, const std::string& response,
                               std::size_t sent_changes) {
  if (!agents_[agent]->listener->is_open(connection)) return;
  agents_[agent]->listener->send_answer(connection, response);
  for (std::size_t i = 0; i < sent_changes; ++i)
    change_records_[i].delivered_at_ms = std::min(change_records_[i].delivered_at_ms, clock_.now());
}

void FakeFleet::schedule_discovery_overload(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this, factor = fault.factor] { discovery_slowdown_ = factor; });
  schedule_fault_event(fault.start_ms + fault.duration_ms, [this] { discovery_slowdown_ = 1; });
}

void FakeFleet::schedule_discovery_outage(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this] { discovery_silent_ = true; });
  schedule_fault_event(fault.start_ms + fault.duration_ms, [this] {
    discovery_silent_ = false;
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) schedule_endpoint_update(agent);
  });
}

}  // namespace indigorill::load_generator
