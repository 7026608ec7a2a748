/// The leader lease: explored exhaustively within bounds, and on an emulated network at random. Both drive
/// the production code.
#include "lease/leader_lease.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

#include "support/state_explorer.h"

namespace indigorill {
namespace {

// ---- Explored exhaustively --------------------------------------------------------------------------------
//
// Three voters, each with a clock at one bound of the drift; two of them may start a round, at any moment.
// What was sent stays in the network for good: it is delivered at any later moment, never, or many times. A
// paused process is one to which nothing is delivered. Any may restart and lose its state.

constexpr std::size_t process_count = 3;
const std::vector<std::string> process_names{"a", "b", "c"};

/// How often each may happen in one run.
struct StepLimits {
  int ticks = 0;
  int rounds = 0;
  int restarts = 0;
  int resignations = 0;
};

struct SentMessage {
  std::size_t sender = 0;
  std::size_t recipient = 0;
  LeaseMessage message;

  std::string text() const {
    constexpr std::array types{"prepare", "promise", "propose", "accepted", "rejected", "released"};
    return std::string(types[static_cast<std::size_t>(message.type)])
        .append(" ")
        .append(std::to_string(message.ballot.round))
        .append(".")
        .append(std::to_string(message.ballot.session))
        .append(message.holder.empty() ? "" : " for ")
        .append(message.holder)
        .append(" from ")
        .append(process_names[sender])
        .append(" to ")
        .append(process_names[recipient]);
  }
};

using MessageId = std::uint16_t;

/// Every message that was ever sent in any state, once: a state refers to them by id.
class MessageRegistry {
 public:
  MessageId id_of(const SentMessage& message) {
    const auto [entry, is_new] = ids_.emplace(message.text(), static_cast<MessageId>(messages_.size()));
    if (is_new) messages_.push_back(message);
    return entry->second;
  }
  const SentMessage& message(MessageId id) const { return messages_[id]; }

 private:
  std::vector<SentMessage> messages_;
  std::unordered_map<std::string, MessageId> ids_;
};

struct ElectionState {
  struct Process {
    std::shared_ptr<const LeaderLease> lease;
    Milliseconds clock = 0;
    std::string digest;
  };
  std::array<Process, process_count> processes;
  std::vector<MessageId> sent;  // sorted
  StepLimits left;
};

class ElectionModel {
 public:
  using State = ElectionState;

  ElectionModel(const std::array<double, process_count>& clock_rates, LeaderLease::Safeguards safeguards)
      : clock_rates_(clock_rates), safeguards_(safeguards) {}

  State first_state(const StepLimits& limits) {
    State state;
    state.left = limits;
    // Started long enough ago to vote.
    for (std::size_t process = 0; process < process_count; ++process)
      replace_lease(state, process, make_lease(process, process, -2 * lease_duration_ms));
    return state;
  }

  std::string key(const State& state) const {
    std::string key;
    for (const ElectionState::Process& process : state.processes) key.append(process.digest).append("/");
    key.append(reinterpret_cast<const char*>(state.sent.data()), state.sent.size() * sizeof(MessageId));
    for (const int left : {state.left.ticks, state.left.rounds, state.left.restarts, state.left.resignations})
      key.push_back(static_cast<char>('0' + left));
    return key;
  }

  bool is_forbidden(const State& state) const {
    const auto holds = [](const ElectionState::Process& process) {
      return process.lease->is_holder(process.clock);
    };
    return std::count_if(state.processes.begin(), state.processes.end(), holds) > 1;
  }

  template <class Reach>
  void expand(const State& state, Reach reach) const {
    pass_time(state, reach);
    deliver_messages(state, reach);
    for (std::size_t process = 0; process < process_count; ++process) {
      constexpr std::size_t candidate_count = 2;
      if (process < candidate_count) start_round(state, process, reach);
      restart(state, process, reach);
      resign(state, process, reach);
    }
  }

 private:
  // A slow clock advances by two in a tick, a fast one by four: a third off the mean is the stated bound.
  static constexpr double max_clock_drift = 1.0 / 3;
  static constexpr Milliseconds lease_duration_ms = 4;

  LeaderLease make_lease(std::size_t process, std::uint64_t session, Milliseconds now) const {
    constexpr std::uint64_t seed = 1;
    return LeaderLease({process_names[process], process_names, lease_duration_ms, max_clock_drift}, session,
                       seed, now, safeguards_);
  }

  void replace_lease(State& state, std::size_t process, LeaderLease lease) const {
    ElectionState::Process& replaced = state.processes[process];
    while (auto outgoing = lease.next_message()) {
      // A rejection only makes its candidate start another round, which it may do here at any moment; so does
      // what remains of a lease, and what was granted under earlier leases matters to the quota alone.
      if (outgoing->message.type == LeaseMessage::Type::rejected) continue;
      outgoing->message.remaining_ms = 0;
      outgoing->message.previous_leases_remaining_ms = 0;
      const auto recipient = static_cast<std::size_t>(outgoing->recipient.front() - 'a');
      const MessageId id = registry_->id_of({process, recipient, std::move(outgoing->message)});
      const auto position = std::lower_bound(state.sent.begin(), state.sent.end(), id);
      if (position == state.sent.end() || *position != id) state.sent.insert(position, id);
    }
    replaced.digest = lease.state_digest(replaced.clock);
    replaced.lease = std::make_shared<const LeaderLease>(std::move(lease));
    std::erase_if(state.sent, [&](MessageId id) {
      const SentMessage& sent = registry_->message(id);
      return sent.recipient == process && is_useless_reply(*replaced.lease, sent.message);
    });
  }

  // A reply to a round that its candidate has left behind never counts again.
  static bool is_useless_reply(const LeaderLease& lease, const LeaseMessage& message) {
    const bool is_reply =
        message.type == LeaseMessage::Type::promise || message.type == LeaseMessage::Type::accepted;
    return is_reply && !lease.is_awaiting(message.ballot, message.type);
  }

  template <class Reach>
  void pass_time(const State& state, Reach& reach) const {
    if (state.left.ticks == 0) return;
    State next = state;
    --next.left.ticks;
    for (std::size_t i = 0; i < process_count; ++i) {
      ElectionState::Process& process = next.processes[i];
      process.clock += clock_rates_[i];
      process.digest = process.lease->state_digest(process.clock);
    }
    reach(std::move(next), "time passes");
  }

  template <class Reach>
  void deliver_messages(const State& state, Reach& reach) const {
    for (const MessageId id : state.sent) {
      const SentMessage sent = registry_->message(id);  // a copy: the registry grows
      const ElectionState::Process& recipient = state.processes[sent.recipient];
      LeaderLease lease = *recipient.lease;
      lease.on_message(recipient.clock, process_names[sent.sender], sent.message);
      State next = state;
      replace_lease(next, sent.recipient, std::move(lease));
      reach(std::move(next), sent.text());
    }
  }

  template <class Reach>
  void start_round(const State& state, std::size_t process, Reach& reach) const {
    if (state.left.rounds == 0) return;
    State next = state;
    --next.left.rounds;
    LeaderLease lease = *state.processes[process].lease;
    lease.start_round(state.processes[process].clock);
    replace_lease(next, process, std::move(lease));
    reach(std::move(next), process_names[process] + " starts a round");
  }

  template <class Reach>
  void restart(const State& state, std::size_t process, Reach& reach) const {
    if (state.left.restarts == 0) return;
    constexpr std::uint64_t first_new_session = 10;
    const std::uint64_t session = first_new_session + static_cast<std::uint64_t>(state.left.restarts);
    State next = state;
    --next.left.restarts;
    replace_lease(next, process, make_lease(process, session, state.processes[process].clock));
    reach(std::move(next), process_names[process] + " restarts");
  }

  template <class Reach>
  void resign(const State& state, std::size_t process, Reach& reach) const {
    const Milliseconds now = state.processes[process].clock;
    if (state.left.resignations == 0 || !state.processes[process].lease->is_holder(now)) return;
    State next = state;
    --next.left.resignations;
    LeaderLease lease = *state.processes[process].lease;
    lease.resign(now);
    replace_lease(next, process, std::move(lease));
    reach(std::move(next), process_names[process] + " resigns");
  }

  std::array<double, process_count> clock_rates_;
  LeaderLease::Safeguards safeguards_;
  std::unique_ptr<MessageRegistry> registry_ = std::make_unique<MessageRegistry>();
};

Exploration explore(const std::array<double, process_count>& clock_rates, LeaderLease::Safeguards safeguards,
                    const StepLimits& limits) {
  ElectionModel model(clock_rates, safeguards);
  return StateExplorer(model).run(model.first_state(limits));
}

}  // namespace

TEST_CASE("lease model: no reachable state has two holders") {
  struct {
    std::array<double, process_count> clock_rates;
    StepLimits limits;
  } rows[]{{{2, 4, 4}, {.ticks = 2, .rounds = 2, .restarts = 1, .resignations = 0}},
           {{4, 2, 4}, {.ticks = 2, .rounds = 2, .restarts = 0, .resignations = 1}},
           {{2, 4, 4}, {.ticks = 3, .rounds = 2, .restarts = 0, .resignations = 0}}};
  for (const auto& row : rows) {
    const Exploration exploration = explore(row.clock_rates, {}, row.limits);
    MESSAGE("lease model: " << exploration.state_count << " states");
    CHECK(exploration.state_count > 1000);
    CHECK(exploration.trace.empty());
  }
}

TEST_CASE("lease model: without any one safeguard two holders are found, and the steps that lead there") {
  using Safeguards = LeaderLease::Safeguards;
  struct {
    const char* name;
    bool Safeguards::*safeguard;
  } rows[]{{"abstain after start", &Safeguards::abstain_after_start},
           {"expire from round start", &Safeguards::expire_from_round_start},
           {"yield to known holder", &Safeguards::yield_to_known_holder},
           {"reject lower ballots", &Safeguards::reject_lower_ballots},
           {"allow clock drift", &Safeguards::allow_clock_drift},
           {"check expiry", &Safeguards::check_expiry}};
  for (const auto& row : rows) {
    CAPTURE(std::string(row.name));
    Safeguards safeguards;
    safeguards.*row.safeguard = false;
    const int restarts = safeguards.abstain_after_start ? 0 : 1;
    const Exploration exploration =
        explore({2, 4, 4}, safeguards, {.ticks = 2, .rounds = 2, .restarts = restarts, .resignations = 0});
    CHECK_FALSE(exploration.trace.empty());
    MESSAGE("without \"" << std::string(row.name) << "\": two holders after " << exploration.state_count
                         << " states:" << exploration.trace_text());
  }
}

// ---- At random --------------------------------------------------------------------------------------------

namespace {

constexpr double drift_bound = 0.01;

/// Voters on an emulated network that loses, duplicates and delays messages; processes stop, pause and
/// restart.
class RandomizedCluster {
 public:
  RandomizedCluster(std::size_t size, std::uint64_t seed) : random_(seed), processes_(size) {
    for (std::size_t i = 0; i < size; ++i) names_.push_back(std::string("v").append(std::to_string(i)));
    for (std::size_t i = 0; i < size; ++i) {
      processes_[i].clock_rate = i % 2 ? 1 + drift_bound : 1 - drift_bound;
      start(i);
    }
  }

  std::size_t size() const { return processes_.size(); }
  LeaderLease& lease(std::size_t process) { return *processes_[process].lease; }
  Milliseconds clock(std::size_t process) const {
    return 1e6 * static_cast<double>(process) + now_ * processes_[process].clock_rate;
  }
  bool is_holder(std::size_t process) const { return processes_[process].lease->is_holder(clock(process)); }
  bool is_up(std::size_t process) const { return processes_[process].is_up; }
  bool is_running(std::size_t process) const {
    return processes_[process].is_up && processes_[process].paused_until <= now_;
  }

  void start(std::size_t process) {
    processes_[process].is_up = true;
    processes_[process].lease =
        std::make_unique<LeaderLease>(LeaderLease::Config{names_[process], names_, 1000, drift_bound},
                                      next_session_++, random_(), clock(process));
  }
  void stop(std::size_t process) { processes_[process].is_up = false; }
  void pause(std::size_t process, Milliseconds duration) {
    processes_[process].paused_until = now_ + duration;
  }
  void send_outgoing(std::size_t process) {
    while (auto outgoing = lease(process).next_message()) {
      const auto recipient = std::find(names_.begin(), names_.end(), outgoing->recipient) - names_.begin();
      const int copies = random_fraction() < duplicate_probability ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        if (random_fraction() < loss_probability) continue;
        const Milliseconds arrives_at = arrival_time();
        network_.push({arrives_at, static_cast<std::size_t>(recipient), names_[process], outgoing->message});
      }
    }
  }
  void run(Milliseconds duration) {
    for (const Milliseconds end = now_ + duration; now_ < end; now_ += step_ms) {
      run_timers();
      deliver_messages();
      count_holders();
    }
  }

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::uint64_t random_number() { return random_(); }

  double loss_probability = 0;
  double late_probability = 0;
  Milliseconds longest_without_holder = 0;
  std::size_t max_holders = 0;  // at one time

 private:
  static constexpr double duplicate_probability = 0.1;
  static constexpr Milliseconds step_ms = 5;

  struct Process {
    std::unique_ptr<LeaderLease> lease;
    double clock_rate = 1;
    Milliseconds paused_until = 0;
    bool is_up = true;
  };
  struct MessageInFlight {
    Milliseconds arrives_at = 0;
    std::size_t recipient = 0;
    std::string sender;
    LeaseMessage message;
    bool operator>(const MessageInFlight& other) const { return arrives_at > other.arrives_at; }
  };

  Milliseconds arrival_time() {
    constexpr Milliseconds min_latency_ms = 1;
    constexpr Milliseconds latency_spread_ms = 20;
    constexpr Milliseconds max_delay_ms = 5000;
    const Milliseconds latency = latency_spread_ms * random_fraction();
    const bool is_late = random_fraction() < late_probability;
    const Milliseconds delay = is_late ? max_delay_ms * random_fraction() : 0;
    return now_ + min_latency_ms + latency + delay;
  }
  void run_timers() {
    for (std::size_t process = 0; process < size(); ++process) {
      if (!is_running(process)) continue;
      lease(process).on_timer(clock(process));
      send_outgoing(process);
    }
  }
  void deliver_messages() {
    while (!network_.empty() && network_.top().arrives_at <= now_) {
      MessageInFlight arrived = network_.top();
      network_.pop();
      const std::size_t recipient = arrived.recipient;
      if (is_running(recipient)) {
        lease(recipient).on_message(clock(recipient), arrived.sender, arrived.message);
        send_outgoing(recipient);
      } else if (is_up(recipient)) {
        // A paused process finds its messages when it goes on.
        arrived.arrives_at = processes_[recipient].paused_until;
        network_.push(std::move(arrived));
      }
    }
  }
  // A paused process counts too: it would go on with what it holds.
  void count_holders() {
    std::size_t holders = 0;
    for (std::size_t process = 0; process < size(); ++process) {
      if (is_up(process) && is_holder(process)) ++holders;
    }
    max_holders = std::max(max_holders, holders);
    without_holder_ = holders == 0 ? without_holder_ + step_ms : 0;
    longest_without_holder = std::max(longest_without_holder, without_holder_);
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<Process> processes_;
  std::priority_queue<MessageInFlight, std::vector<MessageInFlight>, std::greater<>> network_;
  Milliseconds now_ = 0;
  Milliseconds without_holder_ = 0;
  std::uint64_t next_session_ = 1;
};

}  // namespace

TEST_CASE("lease: there is a holder soon, and its death leaves at most two lease durations without one") {
  RandomizedCluster cluster(5, 3);
  cluster.run(3000);
  REQUIRE(cluster.max_holders == 1);
  cluster.longest_without_holder = 0;
  cluster.run(60000);
  CHECK(cluster.longest_without_holder == 0);
  for (int death = 0; death < 20; ++death) {
    for (std::size_t process = 0; process < cluster.size(); ++process) {
      if (cluster.is_holder(process)) cluster.stop(process);
    }
    cluster.run(4000);
    for (std::size_t process = 0; process < cluster.size(); ++process) {
      if (!cluster.is_up(process)) cluster.start(process);
    }
    cluster.run(4000);
  }
  CHECK(cluster.longest_without_holder <= 2000);
  CHECK(cluster.max_holders == 1);
}

TEST_CASE("lease: a holder that resigns has a successor at once, which knows when the former lease ends") {
  RandomizedCluster cluster(3, 5);
  cluster.run(3000);
  constexpr std::size_t nobody = 9;
  std::size_t former = nobody;
  for (std::size_t process = 0; process < cluster.size(); ++process) {
    if (cluster.is_holder(process)) former = process;
  }
  REQUIRE(former < cluster.size());
  cluster.longest_without_holder = 0;
  cluster.lease(former).resign(cluster.clock(former));
  cluster.send_outgoing(former);
  CHECK_FALSE(cluster.is_holder(former));
  cluster.run(100);
  cluster.stop(former);
  cluster.run(900);
  CHECK(cluster.longest_without_holder < 500);
  for (std::size_t process = 0; process < cluster.size(); ++process) {
    if (process == former || !cluster.is_holder(process)) continue;
    // What the former holder granted may be in use for the rest of its lease.
    CHECK(cluster.lease(process).previous_leases_expired_at() > cluster.clock(process) - 900);
    former = process;
  }
  CHECK(cluster.max_holders == 1);
}

namespace {

/// Delivers what `sender` has to say to `recipient`, and drops the rest.
void deliver(LeaderLease& sender, const std::string& sender_name, LeaderLease& recipient,
             const std::string& recipient_name, Milliseconds now) {
  while (auto outgoing = sender.next_message()) {
    if (outgoing->recipient == recipient_name) recipient.on_message(now, sender_name, outgoing->message);
  }
}

void drop_outgoing(LeaderLease& lease) {
  while (lease.next_message()) continue;
}

}  // namespace

TEST_CASE("lease: a holder that restarts is not the holder that it was") {
  for (const bool is_guarded : {true, false}) {
    CAPTURE(is_guarded);
    LeaderLease::Safeguards safeguards;
    safeguards.identify_holder_by_session = is_guarded;
    constexpr std::uint64_t former_session = 1;
    LeaderLease voter({"b", {"b", "a", "c"}, 1000, drift_bound}, 2, 1, -3000, safeguards);
    LeaderLease restarted({"a", {"a", "b", "c"}, 1000, drift_bound}, 3, 1, -3000, safeguards);
    LeaseMessage from_former{.type = LeaseMessage::Type::prepare,
                             .ballot = {1, former_session},
                             .holder = "a",
                             .holder_session = former_session};
    voter.on_message(0, "a", from_former);
    restarted.on_message(0, "a", from_former);
    from_former.type = LeaseMessage::Type::propose;
    voter.on_message(0, "a", from_former);
    drop_outgoing(voter);
    drop_outgoing(restarted);
    // The messages of a first round are lost.
    restarted.start_round(10);
    drop_outgoing(restarted);
    restarted.start_round(10);
    deliver(restarted, "a", voter, "b", 10);
    for (int turn = 0; turn < 4; ++turn) {
      deliver(voter, "b", restarted, "a", 10);
      deliver(restarted, "a", voter, "b", 10);
    }
    CHECK(restarted.is_holder(10) == !is_guarded);
  }
}

TEST_CASE(
    "lease: never two holders at random: loss, late and duplicate messages, restarts, pauses, clocks at the "
    "bound") {
  std::uint64_t stops = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    RandomizedCluster cluster(seed % 2 ? 3 : 5, seed);
    cluster.loss_probability = 0.02 * static_cast<double>(seed % 5);
    cluster.late_probability = 0.05;
    for (int event = 0; event < 150; ++event) {
      cluster.run(400 * cluster.random_fraction());
      const auto process = static_cast<std::size_t>(cluster.random_number() % cluster.size());
      switch (cluster.random_number() % 4) {
        case 0:
          cluster.stop(process);
          ++stops;
          break;
        case 1:
          if (cluster.is_running(process)) cluster.pause(process, 3000 * cluster.random_fraction());
          break;
        default:
          if (!cluster.is_up(process)) cluster.start(process);
      }
      REQUIRE(cluster.max_holders <= 1);
    }
    CHECK(cluster.max_holders == 1);
  }
  CHECK(stops > 100);
}

}  // namespace indigorill
