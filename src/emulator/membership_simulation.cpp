#include "emulator/membership_simulation.h"

#include <algorithm>
#include <utility>

#include "cluster/envelope.h"

namespace indigorill::emulator {
namespace {

constexpr const char* cluster_name = "lab";  // part of each datagram and of the measured bytes
constexpr std::size_t addresses_per_subnet = 250;

std::string member_name(std::size_t index) { return std::string("n").append(std::to_string(index)); }

std::string member_address(std::size_t index) {
  return std::string("10.0.")
      .append(std::to_string(index / addresses_per_subnet))
      .append(".")
      .append(std::to_string(index % addresses_per_subnet))
      .append(":7900");
}

}  // namespace

MembershipSimulation::MembershipSimulation(const MembershipExperiment& experiment)
    : experiment_(experiment),
      random_(derive_seed(experiment.seed, RandomPurpose::network)),
      nodes_(static_cast<std::size_t>(experiment.sidecars) + 1) {
  for (std::size_t index = 0; index < nodes_.size(); ++index)
    index_by_address_[member_address(index)] = index;
}

void MembershipSimulation::start(std::size_t index) {
  constexpr std::uint64_t first_incarnation = 1;
  Membership::Config config{.name = member_name(index),
                            .address = member_address(index),
                            .seed_addresses = {},
                            .probe_interval_ms = experiment_.probe_interval_ms,
                            .probe_timeout_ms = experiment_.probe_timeout_ms};
  for (std::size_t seed = 0; seed < static_cast<std::size_t>(experiment_.seeds); ++seed) {
    if (seed != index) config.seed_addresses.push_back(member_address(seed));
  }
  const std::uint64_t random_seed = derive_seed(experiment_.seed, RandomPurpose::policy, index);
  nodes_[index].membership =
      std::make_unique<Membership>(std::move(config), first_incarnation, random_seed, events_.now());
  nodes_[index].running = true;
  process_member(index);
}

void MembershipSimulation::leave(std::size_t index) {
  nodes_[index].membership->leave();
  process_member(index);
  nodes_[index].running = false;
}

void MembershipSimulation::run_for(double duration_ms) {
  const double end_ms = events_.now() + duration_ms;
  while (events_.run_next(end_ms)) {
  }
}

bool MembershipSimulation::sees(const Node& observer, std::size_t subject, Member::State state) {
  const auto& view = observer.membership->view();
  const auto found = view.find(member_name(subject));
  return found != view.end() && found->second.state == state;
}

MembershipSimulation::Knowledge MembershipSimulation::count_knowledge(
    const std::vector<std::size_t>& subjects, Member::State state) const {
  Knowledge knowledge;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (!nodes_[index].running) continue;
    for (const std::size_t subject : subjects) {
      if (subject == index) continue;
      ++knowledge.expected;
      if (sees(nodes_[index], subject, state)) ++knowledge.known;
    }
  }
  return knowledge;
}

ConvergenceTime MembershipSimulation::wait_until_known(const std::vector<std::size_t>& subjects,
                                                       Member::State state) {
  constexpr double step_ms = 100;
  ConvergenceTime convergence;
  const double start_ms = events_.now();
  while (events_.now() - start_ms < experiment_.convergence_timeout_ms) {
    run_for(step_ms);
    const Knowledge knowledge = count_knowledge(subjects, state);
    const double elapsed_ms = events_.now() - start_ms;
    const bool is_90_percent = 10 * knowledge.known >= 9 * knowledge.expected;
    if (convergence.p90_ms < 0 && is_90_percent) convergence.p90_ms = elapsed_ms;
    if (knowledge.known == knowledge.expected) {
      convergence.all_ms = elapsed_ms;
      break;
    }
  }
  return convergence;
}

std::uint64_t MembershipSimulation::count_false_deaths() const {
  std::uint64_t count = 0;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (!nodes_[index].running) continue;
    for (std::size_t subject = 0; subject < nodes_.size(); ++subject) {
      if (subject == index || !nodes_[subject].running) continue;
      if (sees(nodes_[index], subject, Member::State::dead)) ++count;
    }
  }
  return count;
}

void MembershipSimulation::reset_traffic() {
  for (Node& node : nodes_) node.traffic = {};
}

void MembershipSimulation::send(std::size_t sender, Membership::OutgoingMessage outgoing) {
  Node& node = nodes_[sender];
  Envelope envelope;
  envelope.fleet = cluster_name;
  envelope.name = member_name(sender);
  envelope.address = member_address(sender);
  envelope.incarnation = node.membership->incarnation();
  envelope.sequence_number = ++last_serial_;
  envelope.swim_message = std::move(outgoing.message);
  const std::size_t bytes = encode(envelope).size();
  longest_datagram_bytes_ = std::max(longest_datagram_bytes_, bytes);
  ++node.traffic.datagrams_sent;
  node.traffic.bytes_sent += bytes;
  const auto recipient = index_by_address_.find(outgoing.recipient);
  if (recipient == index_by_address_.end() || random_.bernoulli(experiment_.loss)) return;
  const double arrival_ms = events_.now() + experiment_.delay_ms + experiment_.jitter_ms * random_.uniform();
  events_.schedule(arrival_ms, EventPriority::network,
                   [this, index = recipient->second, sender, message = std::move(envelope.swim_message)] {
                     if (!nodes_[index].running) return;
                     nodes_[index].membership->on_message(events_.now(), member_name(sender),
                                                          member_address(sender), message);
                     process_member(index);
                   });
}

// Sends the member's pending messages and schedules its next timer.
void MembershipSimulation::process_member(std::size_t index) {
  Node& node = nodes_[index];
  while (auto outgoing = node.membership->next_message()) send(index, std::move(*outgoing));
  if (!node.running) return;
  const double timer_ms = node.membership->next_timer_at();
  const bool already_scheduled = node.next_timer_ms > events_.now() && node.next_timer_ms <= timer_ms;
  if (already_scheduled) return;
  node.next_timer_ms = timer_ms;
  events_.schedule(timer_ms, EventPriority::timer, [this, index, timer_ms] {
    Node& due = nodes_[index];
    if (!due.running || due.next_timer_ms != timer_ms) return;
    due.membership->on_timer(events_.now());
    process_member(index);
  });
}

}  // namespace indigorill::emulator
