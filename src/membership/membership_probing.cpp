/// \file
/// Membership's failure detector: one member is probed in each interval, first directly, then through others.
#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace indigorill {
namespace {

using Kind = SwimMessage::Kind;

// SWIM's k. If 20 % of the messages are lost, all three ping requests of a probe are lost once in 125 probes.
constexpr std::size_t indirect_probe_fanout = 3;
// Bound on the concurrent pings on behalf of other members; further requests are ignored.
constexpr std::size_t max_indirect_probes = 256;
// A helper sends its nack after this fraction of the probe timeout, as in Lifeguard, so that the nack arrives
// in time.
constexpr double nack_timeout_share = 0.8;

}  // namespace

void Membership::start_probe(double now) {
  const std::string target = next_probe_target();
  if (target.empty()) return;
  const std::uint64_t sequence_number = ping(address_of(target), target);
  current_probe_ = {.target = target,
                    .sequence_number = sequence_number,
                    .direct_deadline = now + config_.probe_timeout_ms * health_multiplier(),
                    .answered = false};
  ++counters_.probes_sent;
}

// Goes through all live members in a random order, then again in a new order (SWIM, section 4.3), which
// bounds the time until a failed member is probed. Returns an empty name if no member is live.
std::string Membership::next_probe_target() {
  while (true) {
    if (probe_order_.empty()) {
      probe_order_ = members_.live_names();
      if (probe_order_.empty()) return {};
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    std::string target = probe_order_.back();
    probe_order_.pop_back();
    const Member* member = members_.find(target);
    if (member != nullptr && is_live(*member)) return target;
  }
}

// Inserts a new member at a random position of the current order. An empty order will include the member when
// it is refilled.
void Membership::insert_into_probe_order(const std::string& name) {
  if (probe_order_.empty()) return;
  const std::size_t position = random_index(probe_order_.size() + 1);
  probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position), name);
}

void Membership::start_indirect_probe() {
  current_probe_.indirect_started = true;
  ++counters_.indirect_probes;
  const SwimMessage request{.kind = Kind::ping_request,
                            .sequence_number = current_probe_.sequence_number,
                            .target = current_probe_.target,
                            .target_address = address_of(current_probe_.target)};
  std::vector<std::string> names = members_.alive_names(current_probe_.target);
  for (std::size_t i = 0; i < indirect_probe_fanout && i < names.size(); ++i) {
    std::swap(names[i], names[i + random_index(names.size() - i)]);
    ++current_probe_.indirect_requests;
    send(address_of(names[i]), request);
  }
}

void Membership::finish_probe(double now) {
  if (current_probe_.target.empty()) return;
  const Probe probe = std::exchange(current_probe_, {});
  if (probe.answered) {
    local_health_ = std::max(local_health_ - 1, 0);
    return;
  }
  ++counters_.failed_probes;
  // Each helper replies at least with a nack. If nacks are missing too, this process is probably slow itself.
  const std::size_t missing_nacks =
      probe.indirect_requests - std::min(probe.indirect_requests, probe.nacks_received);
  degrade_local_health(probe.indirect_requests == 0 ? 1 : static_cast<int>(missing_nacks));

  const Member* target = members_.find(probe.target);
  if (target == nullptr || !is_live(*target)) return;
  Member suspect = *target;
  suspect.state = Member::State::suspect;
  apply_update(now, suspect, self_.name, Dissemination::always);
}

void Membership::update_indirect_probes(double now) {
  for (auto& [number, probe] : indirect_probes_) {
    if (probe.nack_sent || now < probe.nack_at) continue;
    probe.nack_sent = true;
    send(probe.requester_address, {.kind = Kind::nack, .sequence_number = probe.requester_sequence_number});
  }
  std::erase_if(indirect_probes_, [&](const auto& entry) { return now >= entry.second.expires_at; });
}

void Membership::on_ping_request(double now, const std::string& reply_address, const SwimMessage& message) {
  if (indirect_probes_.size() >= max_indirect_probes || message.target_address.empty()) return;
  const std::uint64_t sequence_number = ping(message.target_address, message.target);
  indirect_probes_[sequence_number] = {.requester_address = reply_address,
                                       .requester_sequence_number = message.sequence_number,
                                       .nack_at = now + nack_timeout_share * config_.probe_timeout_ms,
                                       .expires_at = now + config_.probe_interval_ms};
}

void Membership::on_ack(const SwimMessage& message) {
  if (message.sequence_number == current_probe_.sequence_number) current_probe_.answered = true;
  const auto probe = indirect_probes_.find(message.sequence_number);
  if (probe == indirect_probes_.end()) return;
  send(probe->second.requester_address,
       {.kind = Kind::ack, .sequence_number = probe->second.requester_sequence_number});
  indirect_probes_.erase(probe);
}

}  // namespace indigorill
