/// \file
/// Explores all states of the production code of the leader lease exhaustively, within bounds.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lease/leader_lease.h"
#include "support/state_explorer.h"

namespace indigorill {
namespace {

// The model has three voters, each with a clock at one bound of the drift. Two of them may start a round at
// any moment. Sent messages stay in the network: each is delivered at any later moment, never, or many times.
// A paused process is one to which nothing is delivered. Any process may restart and lose its state.

constexpr std::size_t process_count = 3;
const std::vector<std::string> process_names{"a", "b", "c"};

/// Maximum number of steps of each kind in one run.
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

/// Stores each distinct message that is sent in any state once; states refer to messages by id.
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
    // The voters started long enough ago to vote.
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
  // A slow clock advances by two in a tick, a fast one by four: both are off the mean by a third, the bound.
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
      // Rejections and remaining lease times only affect when a candidate starts another round, which it may
      // do at any moment in this model. The remaining time of previous leases matters to the quota only.
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

  // A reply to a round that is no longer its candidate's present one can never count.
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

TEST_CASE("lease model: switching off a safeguard leads to a state with two holders") {
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

}  // namespace indigorill
