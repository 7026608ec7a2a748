// Membership on an emulated network: many members on one clock, with loss, delay, doubling and cuts.
#include "membership/membership.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <queue>

#include "cluster/envelope.h"
#include "cluster/replay_filter.h"

using namespace indigorill;

namespace {

struct SimulatedNetwork {
  struct InFlightMessage {
    double deliver_at;
    std::size_t receiver;
    std::string sender_name, reply_address;
    SwimMessage message;
    bool operator>(const InFlightMessage& o) const { return deliver_at > o.deliver_at; }
  };
  std::vector<std::unique_ptr<Membership>> nodes;
  std::vector<bool> running, stopped;
  std::map<std::string, std::size_t> node_by_address;
  std::priority_queue<InFlightMessage, std::vector<InFlightMessage>, std::greater<>> in_flight;
  std::function<bool(std::size_t from, std::size_t to)> link_is_up = [](std::size_t, std::size_t) {
    return true;
  };
  std::mt19937_64 random{7};
  double now_ms = 0, loss_rate = 0, duplication_rate = 0;
  std::uint64_t messages_sent = 0;
  std::size_t largest_datagram_bytes = 0;

  static std::string name(std::size_t i) { return "n" + std::to_string(i); }
  static std::string address(std::size_t i) { return "10.0.0.1:" + std::to_string(1000 + i); }
  bool draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random) < share; }

  void start(std::size_t i, std::vector<std::string> seeds, std::uint64_t incarnation = 1) {
    if (nodes.size() <= i) nodes.resize(i + 1), running.resize(i + 1), stopped.resize(i + 1);
    node_by_address[address(i)] = i;
    running[i] = true;
    nodes[i] = std::make_unique<Membership>(
        Membership::Config{name(i), address(i), std::move(seeds), 1000, 300}, incarnation, 100 + i, now_ms);
  }
  explicit SimulatedNetwork(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i)
      start(i, i == 0 ? std::vector<std::string>{} : std::vector<std::string>{address(0)});
  }
  void send_pending(std::size_t i) {
    while (auto l = nodes[i]->next_message()) {
      ++messages_sent;
      largest_datagram_bytes =
          std::max(largest_datagram_bytes,
                   encode(Envelope{"maps", name(i), address(i), 1, 1, {}, l->message, {}}).size());
      const auto to = node_by_address.find(l->recipient);
      if (to == node_by_address.end() || !link_is_up(i, to->second)) continue;
      for (int copies = draw(duplication_rate) ? 2 : 1; copies > 0; --copies)
        if (!draw(loss_rate))
          in_flight.push({now_ms + 1 + 4 * std::uniform_real_distribution<double>(0, 1)(random), to->second,
                          name(i), address(i), l->message});
    }
  }
  void run_for(double span) {
    for (const double until = now_ms + span; now_ms < until;) {
      double next = until;
      if (!in_flight.empty()) next = std::min(next, in_flight.top().deliver_at);
      for (std::size_t i = 0; i < nodes.size(); ++i)
        if (running[i] && !stopped[i]) next = std::min(next, nodes[i]->next_timer_at());
      now_ms = std::max(now_ms, next);
      for (std::size_t i = 0; i < nodes.size(); ++i)
        if (running[i] && !stopped[i] && nodes[i]->next_timer_at() <= now_ms)
          nodes[i]->on_timer(now_ms), send_pending(i);
      while (!in_flight.empty() && in_flight.top().deliver_at <= now_ms) {
        const InFlightMessage m = in_flight.top();
        in_flight.pop();
        if (!running[m.receiver] || stopped[m.receiver]) continue;
        nodes[m.receiver]->on_message(now_ms, m.sender_name, m.reply_address, m.message);
        send_pending(m.receiver);
      }
    }
  }
  std::optional<Member> view_entry(std::size_t by, std::size_t whom) const {
    const auto& v = nodes[by]->view();
    const auto it = v.find(name(whom));
    return it == v.end() ? std::nullopt : std::optional(it->second);
  }
  // How many of those that run see this one so.
  std::size_t count_viewing(std::size_t whom, Member::State s) const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (i != whom && running[i] && view_entry(i, whom) && view_entry(i, whom)->state == s) ++n;
    return n;
  }
  bool has_converged() const {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (running[i] && count_viewing(i, Member::State::alive) + 1 !=
                            static_cast<std::size_t>(std::count(running.begin(), running.end(), true)))
        return false;
    return true;
  }
};

using State = Member::State;

}  // namespace

TEST_CASE("members: all join through one seed, at any loss, and nobody is taken for dead") {
  struct {
    double loss, doubled, within;
  } rows[]{{0, 0, 8000}, {0.05, 0, 20000}, {0.2, 0.1, 40000}};
  for (const auto& row : rows) {
    CAPTURE(row.loss);
    SimulatedNetwork v(24);
    v.loss_rate = row.loss;
    v.duplication_rate = row.doubled;
    v.run_for(row.within);
    for (std::size_t i = 0; i < v.nodes.size(); ++i)
      CHECK(v.count_viewing(i, State::alive) + v.count_viewing(i, State::suspect) == v.nodes.size() - 1);
    v.run_for(60000);
    for (std::size_t i = 0; i < v.nodes.size(); ++i) CHECK(v.count_viewing(i, State::dead) == 0);
    CHECK(v.largest_datagram_bytes <= max_datagram_bytes);
  }
}

TEST_CASE("members: a death is known to all, a leave sooner, a return under the same name too") {
  SimulatedNetwork v(16);
  v.run_for(15000);
  REQUIRE(v.has_converged());
  v.running[5] = false;
  v.run_for(5000);
  CHECK(v.count_viewing(5, State::dead) == 0);  // suspected first
  v.run_for(35000);
  CHECK(v.count_viewing(5, State::dead) == 15);
  v.start(5, {v.address(0)}, 2);
  v.run_for(8000);
  CHECK(v.count_viewing(5, State::alive) == 15);
  CHECK(v.has_converged());
  v.nodes[6]->leave();
  v.send_pending(6);
  v.running[6] = false;
  v.run_for(4000);
  CHECK(v.count_viewing(6, State::left) == 15);
}

TEST_CASE("members: who returns with an earlier clock raises its incarnation over what is remembered") {
  SimulatedNetwork v(6);
  v.run_for(10000);
  v.running[3] = false;
  v.start(3, {v.address(0)}, 0);
  v.run_for(60000);
  CHECK(v.nodes[3]->incarnation() > 1);
  CHECK(v.has_converged());
}

TEST_CASE("members: one that nobody reaches directly is reached through others, and stays") {
  SimulatedNetwork v(12);
  v.run_for(15000);
  REQUIRE(v.has_converged());
  v.link_is_up = [](std::size_t from, std::size_t to) {
    return !(from < 3 && to == 7) && !(from == 7 && to < 3);
  };
  v.run_for(60000);
  CHECK(v.count_viewing(7, State::dead) == 0);
  std::uint64_t indirect = 0;
  for (std::size_t i = 0; i < 3; ++i) indirect += v.nodes[i]->counters().indirect_probes;
  CHECK(indirect > 0);
}

TEST_CASE("members: one that was stopped doubts itself before the others, and refutes its own death") {
  SimulatedNetwork v(10);
  v.run_for(15000);
  REQUIRE(v.has_converged());
  v.stopped[4] = true;
  v.run_for(60000);
  CHECK(v.count_viewing(4, State::dead) == 9);
  v.stopped[4] = false;
  v.run_for(1000);
  CHECK(v.nodes[4]->counters().pauses == 1);
  CHECK(v.nodes[4]->local_health() > 0);
  for (std::size_t i = 0; i < 10; ++i) {
    CAPTURE(i);
    if (i != 4) CHECK(v.view_entry(4, i)->state == State::alive);
  }
  v.run_for(60000);
  CHECK(v.has_converged());
  CHECK(v.nodes[4]->local_health() == 0);
}

TEST_CASE("members: two sides of a cut take each other for dead, and meet again when it heals") {
  for (const bool one_way : {false, true}) {
    CAPTURE(one_way);
    SimulatedNetwork v(12);
    v.run_for(15000);
    REQUIRE(v.has_converged());
    v.link_is_up = [=](std::size_t from, std::size_t to) {
      return one_way ? !(from >= 6 && to < 6) : (from < 6) == (to < 6);
    };
    v.run_for(120000);
    if (!one_way) CHECK(v.view_entry(0, 11)->state == State::dead);
    v.link_is_up = [](std::size_t, std::size_t) { return true; };
    v.run_for(120000);
    CHECK(v.has_converged());
  }
}

TEST_CASE("members: of two with one name the later one has it, and gives it back by its end") {
  SimulatedNetwork v(6);
  v.run_for(10000);
  v.nodes.resize(7), v.running.resize(7), v.stopped.resize(7);
  v.node_by_address["10.0.0.2:1"] = 6;
  v.running[6] = true;
  v.nodes[6] = std::make_unique<Membership>(
      Membership::Config{v.name(3), "10.0.0.2:1", {v.address(0)}, 1000, 300}, 9, 500, v.now_ms);
  // The village names its members by their place; this one is given another's name here.
  const auto carry = [&](double span) {
    for (const double until = v.now_ms + span; v.now_ms < until;) {
      v.run_for(50);
      while (auto l = v.nodes[6]->next_message())
        if (v.node_by_address.count(l->recipient))
          v.nodes[v.node_by_address[l->recipient]]->on_message(v.now_ms, v.name(3), "10.0.0.2:1", l->message);
    }
  };
  carry(10000);
  CHECK(v.nodes[3]->is_displaced());
  CHECK_FALSE(v.nodes[6]->is_displaced());
  CHECK(v.nodes[3]->counters().displacements == 1);
}

TEST_CASE("members: an older word never overrides a newer one, whatever the order") {
  std::vector<Member> words;
  for (std::uint64_t i = 1; i < 4; ++i)
    for (const State s : {State::alive, State::suspect, State::dead, State::left})
      words.push_back({s, "n1", "10.0.0.1:1001", i});
  std::mt19937_64 chance(3);
  for (int round = 0; round < 50; ++round) {
    Membership m({"n0", "10.0.0.1:1000", {}, 1000, 300}, 1, 1, 0);
    std::shuffle(words.begin(), words.end(), chance);
    Member last{State::alive, "n1", "10.0.0.1:1001", 1};
    m.on_message(0, "n2", "10.0.0.1:1002", {SwimMessage::Kind::ack, 0, {}, {}, {last}});
    for (const Member& w : words) {
      m.on_message(0, "n2", "10.0.0.1:1002", {SwimMessage::Kind::ack, 0, {}, {}, {w}});
      if (supersedes(w, last)) last = w;
      REQUIRE(m.view().at("n1") == last);
    }
  }
}

TEST_CASE("envelope: bytes and facts, and what is dropped") {
  Envelope e{"maps", "n1", "127.0.0.1:7001", 77, 3, Envelope::Kind::membership, {}, {}};
  e.swim_message = {
      SwimMessage::Kind::ping_request, 9, "n2", "127.0.0.1:7002", {{State::dead, "n3", "127.0.0.1:7003", 5}}};
  const std::string bytes = encode(e);
  const auto back = decode_envelope(bytes, "maps");
  REQUIRE(std::holds_alternative<Envelope>(back));
  CHECK(std::get<Envelope>(back).swim_message == e.swim_message);
  CHECK(std::get<Envelope>(back).incarnation == 77);
  CHECK(std::get<DecodeError>(decode_envelope(bytes, "books")) == DecodeError::other_fleet);
  CHECK(std::get<DecodeError>(decode_envelope(std::string(max_datagram_bytes + 1, 'a'), "maps")) ==
        DecodeError::too_long);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK(std::get<DecodeError>(decode_envelope(bytes.substr(0, n), "maps")) == DecodeError::malformed);
  std::string later = bytes;
  REQUIRE(later[1] == 1);
  later[1] = 2;
  CHECK(std::get<DecodeError>(decode_envelope(later, "maps")) == DecodeError::unsupported_version);
  e.name = "n1\nall is well";
  CHECK(std::get<DecodeError>(decode_envelope(encode(e), "maps")) == DecodeError::malformed);
}

TEST_CASE("envelope: random and spoilt bytes are dropped or read, and never more") {
  std::mt19937_64 chance(11);
  Envelope e{"maps", "n1", "127.0.0.1:7001", 77, 3, Envelope::Kind::membership, {}, {}};
  for (int i = 0; i < 12; ++i)
    e.swim_message.updates.push_back({State::alive, "m" + std::to_string(i), "127.0.0.1:1", 1});
  const std::string sound = encode(e);
  int read = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = sound;
    if (i % 2 == 0) {
      bytes.resize(chance() % 1400);
      for (char& c : bytes) c = static_cast<char>(chance());
    } else {
      for (std::uint64_t n = 1 + chance() % 4; n > 0; --n)
        bytes[chance() % bytes.size()] = static_cast<char>(chance());
    }
    const auto got = decode_envelope(bytes, "maps");
    if (!std::holds_alternative<Envelope>(got)) continue;
    ++read;
    Membership m({"n0", "127.0.0.1:7000", {}, 1000, 300}, 1, 1, 0);
    const Envelope& g = std::get<Envelope>(got);
    m.on_message(0, g.name, g.address, g.swim_message);
    while (m.next_message()) continue;
  }
  CHECK(read > 0);
  CHECK(read < 20000);
}

TEST_CASE("envelope: what is doubled, late or of a former incarnation is not heard again") {
  struct {
    std::uint64_t incarnation, serial;
    std::optional<ReplayError> is;
  } rows[]{{5, 10, {}},  {5, 10, ReplayError::duplicate},       {5, 12, {}},
           {5, 11, {}},  {5, 11, ReplayError::duplicate},       {5, 200, {}},
           {5, 137, {}}, {5, 136, ReplayError::outside_window}, {4, 300, ReplayError::stale_incarnation},
           {6, 1, {}},   {6, 1, ReplayError::duplicate},        {5, 201, ReplayError::stale_incarnation}};
  ReplayFilter seen;
  for (const auto& row : rows) {
    CAPTURE(row.serial);
    CHECK(seen.check({"maps", "n1", "127.0.0.1:1", row.incarnation, row.serial, {}, {}, {}}, 0) == row.is);
  }
  CHECK_FALSE(seen.check({"maps", "n2", "127.0.0.1:1", 1, 1, {}, {}, {}}, 0));
}
