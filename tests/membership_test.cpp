/// \file
/// Membership on an emulated network: many members on one clock, with loss, delay, duplicates and partitions.
#include "membership/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/envelope.h"

namespace {

using indigorill::encode;
using indigorill::Envelope;
using indigorill::max_datagram_bytes;
using indigorill::Member;
using indigorill::Membership;
using indigorill::SwimMessage;
using State = indigorill::Member::State;

class SimulatedNetwork {
 public:
  using LinkFilter = std::function<bool(std::size_t from, std::size_t to)>;

  /// Starts all nodes at once; the first one is the only seed.
  explicit SimulatedNetwork(std::size_t node_count) {
    start(0, {});
    for (std::size_t i = 1; i < node_count; ++i) start(i, {address(0)});
  }

  static std::string name(std::size_t node) { return "n" + std::to_string(node); }
  static std::string address(std::size_t node) { return "10.0.0.1:" + std::to_string(1000 + node); }

  void start(std::size_t node, std::vector<std::string> seeds, std::uint64_t incarnation = 1) {
    add(node,
        {.name = name(node),
         .address = address(node),
         .seed_addresses = std::move(seeds),
         .probe_interval_ms = 1000,
         .probe_timeout_ms = 300},
        incarnation, 100 + node);
  }

  void add(std::size_t node, const Membership::Config& config, std::uint64_t incarnation,
           std::uint64_t seed) {
    if (nodes_.size() <= node) nodes_.resize(node + 1);
    node_by_address_[config.address] = node;
    nodes_[node].membership = std::make_unique<Membership>(config, incarnation, seed, now_ms_);
    nodes_[node].is_running = true;
  }

  void kill(std::size_t node) { nodes_[node].is_running = false; }
  void pause(std::size_t node) { nodes_[node].is_paused = true; }
  void resume(std::size_t node) { nodes_[node].is_paused = false; }
  void leave(std::size_t node) {
    nodes_[node].membership->leave();
    send_pending(node);
    kill(node);
  }

  void set_loss_rate(double rate) { loss_rate_ = rate; }
  void set_duplication_rate(double rate) { duplication_rate_ = rate; }
  void set_link_filter(LinkFilter filter) { link_is_up_ = std::move(filter); }
  void connect_all() { link_is_up_ = all_links_; }

  void run_for(double duration_ms) {
    const double end = now_ms_ + duration_ms;
    while (now_ms_ < end) {
      now_ms_ = std::max(now_ms_, std::min(end, next_event_at()));
      run_due_timers();
      deliver_due_messages();
    }
  }

  /// Delivers a node's pending messages at once, under the given sender name and reply address.
  void deliver_directly(std::size_t node, const std::string& sender, const std::string& reply_address) {
    while (const auto outgoing = nodes_[node].membership->next_message()) {
      const auto receiver = node_by_address_.find(outgoing->recipient);
      if (receiver == node_by_address_.end()) continue;
      nodes_[receiver->second].membership->on_message(now_ms_, sender, reply_address, outgoing->message);
    }
  }

  std::size_t size() const { return nodes_.size(); }
  const Membership& membership(std::size_t node) const { return *nodes_[node].membership; }
  std::size_t largest_datagram_bytes() const { return largest_datagram_bytes_; }

  std::optional<State> state_seen_by(std::size_t observer, std::size_t node) const {
    const auto& view = membership(observer).view();
    const auto entry = view.find(name(node));
    if (entry == view.end()) return {};
    return entry->second.state;
  }
  /// Number of other running nodes that see a node in this state.
  std::size_t count_observers(std::size_t node, State state) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      if (i != node && nodes_[i].is_running && state_seen_by(i, node) == state) ++count;
    }
    return count;
  }
  /// Whether all running nodes see each other as alive.
  bool has_converged() const {
    const auto running =
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.is_running; });
    for (std::size_t i = 0; i < size(); ++i) {
      if (!nodes_[i].is_running) continue;
      if (count_observers(i, State::alive) + 1 != static_cast<std::size_t>(running)) return false;
    }
    return true;
  }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool is_running = false;
    bool is_paused = false;
    bool is_active() const { return is_running && !is_paused; }
  };
  struct InFlightMessage {
    double deliver_at;
    std::size_t receiver;
    std::string sender_name;
    std::string reply_address;
    SwimMessage message;
    bool operator>(const InFlightMessage& other) const { return deliver_at > other.deliver_at; }
  };

  double next_event_at() const {
    double next = std::numeric_limits<double>::infinity();
    if (!in_flight_.empty()) next = in_flight_.top().deliver_at;
    for (const Node& node : nodes_) {
      if (node.is_active()) next = std::min(next, node.membership->next_timer_at());
    }
    return next;
  }

  void run_due_timers() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!nodes_[i].is_active() || nodes_[i].membership->next_timer_at() > now_ms_) continue;
      nodes_[i].membership->on_timer(now_ms_);
      send_pending(i);
    }
  }

  void deliver_due_messages() {
    while (!in_flight_.empty() && in_flight_.top().deliver_at <= now_ms_) {
      const InFlightMessage due = in_flight_.top();
      in_flight_.pop();
      Node& receiver = nodes_[due.receiver];
      if (!receiver.is_active()) continue;
      receiver.membership->on_message(now_ms_, due.sender_name, due.reply_address, due.message);
      send_pending(due.receiver);
    }
  }

  void send_pending(std::size_t sender) {
    while (const auto outgoing = nodes_[sender].membership->next_message()) {
      record_datagram_size(sender, outgoing->message);
      const auto receiver = node_by_address_.find(outgoing->recipient);
      if (receiver == node_by_address_.end() || !link_is_up_(sender, receiver->second)) continue;
      const int copies = happens(duplication_rate_) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        if (happens(loss_rate_)) continue;
        const double delay_ms = 1 + 4 * random_fraction();
        in_flight_.push(
            {now_ms_ + delay_ms, receiver->second, name(sender), address(sender), outgoing->message});
      }
    }
  }

  void record_datagram_size(std::size_t sender, const SwimMessage& message) {
    Envelope envelope;
    envelope.fleet = "maps";
    envelope.name = name(sender);
    envelope.address = address(sender);
    envelope.incarnation = 1;
    envelope.sequence_number = 1;
    envelope.swim_message = message;
    largest_datagram_bytes_ = std::max(largest_datagram_bytes_, encode(envelope).size());
  }

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool happens(double rate) { return random_fraction() < rate; }

  LinkFilter all_links_ = [](std::size_t, std::size_t) { return true; };
  LinkFilter link_is_up_ = all_links_;
  double loss_rate_ = 0;
  double duplication_rate_ = 0;
  double now_ms_ = 0;
  std::mt19937_64 random_{7};
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> node_by_address_;
  std::priority_queue<InFlightMessage, std::vector<InFlightMessage>, std::greater<>> in_flight_;
  std::size_t largest_datagram_bytes_ = 0;
};

}  // namespace

TEST_CASE("membership: all members join through one seed at up to 20 % loss and none is declared dead") {
  struct Row {
    double loss_rate;
    double duplication_rate;
    double joined_within_ms;
  };
  const Row rows[] = {{0, 0, 8000}, {0.05, 0, 20000}, {0.2, 0.1, 40000}};
  for (const Row& row : rows) {
    CAPTURE(row.loss_rate);
    SimulatedNetwork network(24);
    network.set_loss_rate(row.loss_rate);
    network.set_duplication_rate(row.duplication_rate);
    network.run_for(row.joined_within_ms);
    for (std::size_t i = 0; i < network.size(); ++i) {
      CHECK(network.count_observers(i, State::alive) + network.count_observers(i, State::suspect) ==
            network.size() - 1);
    }
    network.run_for(60000);
    for (std::size_t i = 0; i < network.size(); ++i) CHECK(network.count_observers(i, State::dead) == 0);
    CHECK(network.largest_datagram_bytes() <= max_datagram_bytes);
  }
}

TEST_CASE("membership: all members learn of a death and sooner of a leave or a restart under the same name") {
  SimulatedNetwork network(16);
  network.run_for(15000);
  REQUIRE(network.has_converged());
  network.kill(5);
  network.run_for(5000);
  CHECK(network.count_observers(5, State::dead) == 0);  // node 5 is suspected first
  network.run_for(35000);
  CHECK(network.count_observers(5, State::dead) == 15);
  network.start(5, {SimulatedNetwork::address(0)}, 2);
  network.run_for(8000);
  CHECK(network.count_observers(5, State::alive) == 15);
  CHECK(network.has_converged());
  network.leave(6);
  network.run_for(4000);
  CHECK(network.count_observers(6, State::left) == 15);
}

TEST_CASE(
    "membership: a member restarted with a lower incarnation raises it above the one that others know") {
  SimulatedNetwork network(6);
  network.run_for(10000);
  network.kill(3);
  network.start(3, {SimulatedNetwork::address(0)}, 0);
  network.run_for(60000);
  CHECK(network.membership(3).incarnation() > 1);
  CHECK(network.has_converged());
}

TEST_CASE(
    "membership: a member that some cannot reach directly is probed through others and not declared dead") {
  SimulatedNetwork network(12);
  network.run_for(15000);
  REQUIRE(network.has_converged());
  network.set_link_filter(
      [](std::size_t from, std::size_t to) { return !(from < 3 && to == 7) && !(from == 7 && to < 3); });
  network.run_for(60000);
  CHECK(network.count_observers(7, State::dead) == 0);
  std::uint64_t indirect_probes = 0;
  for (std::size_t i = 0; i < 3; ++i) indirect_probes += network.membership(i).counters().indirect_probes;
  CHECK(indirect_probes > 0);
}

TEST_CASE(
    "membership: a paused member degrades its local health instead of suspecting others and refutes its "
    "death") {
  SimulatedNetwork network(10);
  network.run_for(15000);
  REQUIRE(network.has_converged());
  network.pause(4);
  network.run_for(60000);
  CHECK(network.count_observers(4, State::dead) == 9);
  network.resume(4);
  network.run_for(1000);
  CHECK(network.membership(4).counters().pauses == 1);
  CHECK(network.membership(4).local_health() > 0);
  for (std::size_t i = 0; i < 10; ++i) {
    CAPTURE(i);
    if (i != 4) CHECK(network.state_seen_by(4, i) == State::alive);
  }
  network.run_for(60000);
  CHECK(network.has_converged());
  CHECK(network.membership(4).local_health() == 0);
}

TEST_CASE("membership: two sides of a partition declare each other dead and reconnect after it heals") {
  for (const bool one_way : {false, true}) {
    CAPTURE(one_way);
    SimulatedNetwork network(12);
    network.run_for(15000);
    REQUIRE(network.has_converged());
    network.set_link_filter([=](std::size_t from, std::size_t to) {
      return one_way ? !(from >= 6 && to < 6) : (from < 6) == (to < 6);
    });
    network.run_for(120000);
    if (!one_way) CHECK(network.state_seen_by(0, 11) == State::dead);
    network.connect_all();
    network.run_for(120000);
    CHECK(network.has_converged());
  }
}

TEST_CASE("membership: of two processes with the same name the one with the higher incarnation keeps it") {
  SimulatedNetwork network(6);
  network.run_for(10000);
  // Node 6 gets the name of node 3 instead of the one that the network derives from its number.
  const std::string name = SimulatedNetwork::name(3);
  const std::string address = "10.0.0.2:1";
  network.add(6,
              {.name = name,
               .address = address,
               .seed_addresses = {SimulatedNetwork::address(0)},
               .probe_interval_ms = 1000,
               .probe_timeout_ms = 300},
              9, 500);
  for (int i = 0; i < 200; ++i) {
    network.run_for(50);
    network.deliver_directly(6, name, address);
  }
  CHECK(network.membership(3).is_displaced());
  CHECK_FALSE(network.membership(6).is_displaced());
  CHECK(network.membership(3).counters().displacements == 1);
}

TEST_CASE("membership: an older update never replaces a newer one in any order of arrival") {
  std::vector<Member> updates;
  for (std::uint64_t incarnation = 1; incarnation < 4; ++incarnation) {
    for (const State state : {State::alive, State::suspect, State::dead, State::left})
      updates.push_back({state, "n1", "10.0.0.1:1001", incarnation});
  }
  std::mt19937_64 random(3);
  for (int round = 0; round < 50; ++round) {
    Membership membership({"n0", "10.0.0.1:1000", {}, 1000, 300}, 1, 1, 0);
    const auto receive = [&](const Member& update) {
      membership.on_message(0, "n2", "10.0.0.1:1002", {SwimMessage::Kind::ack, 0, {}, {}, {update}});
    };
    std::shuffle(updates.begin(), updates.end(), random);
    Member newest{State::alive, "n1", "10.0.0.1:1001", 1};
    receive(newest);
    for (const Member& update : updates) {
      receive(update);
      if (supersedes(update, newest)) newest = update;
      REQUIRE(membership.view().at("n1") == newest);
    }
  }
}
