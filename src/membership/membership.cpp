#include "membership/membership.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace indigorill {
namespace {

using Kind = SwimMessage::Kind;

// Bounds the memory that a flood of messages can take up in the outbox.
constexpr std::size_t max_outgoing_messages = 4096;
// Lifeguard's bound on the local health multiplier.
constexpr int max_local_health = 8;
// Twice the fan-out of an indirect probe. At 20 % loss, no member receives the announcement of one leave in
// 15,000.
constexpr std::size_t leave_fanout = 6;

}  // namespace

Membership::Membership(Config config, std::uint64_t incarnation, std::uint64_t seed, double now)
    : config_(std::move(config)),
      self_{Member::State::alive, config_.name, config_.address, incarnation},
      random_(static_cast<std::knuth_b::result_type>(seed)),
      next_probe_at_(now + config_.probe_interval_ms * std::uniform_real_distribution<double>(0, 1)(random_)),
      next_join_at_(now) {}

std::string Membership::address_of(const std::string& name) const {
  if (name == self_.name) return self_.address;
  const Member* member = members_.find(name);
  return member == nullptr ? "" : member->address;
}

std::size_t Membership::live_count() const { return 1 + members_.live_count(); }

std::size_t Membership::random_index(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

std::string Membership::random_alive_member() {
  const std::vector<std::string> names = members_.alive_names();
  if (names.empty()) return {};
  return names[random_index(names.size())];
}

// Entry points.

void Membership::on_message(double now, const std::string& sender, const std::string& reply_address,
                            const SwimMessage& message) {
  if (has_left_) return;
  compensate_for_pause(now);
  // A view page consists mostly of entries that the other members know already. Entries that are new only to
  // this member are not disseminated again, since they would crowd out new updates.
  const Dissemination spread =
      message.kind == Kind::view_page ? Dissemination::if_already_known : Dissemination::always;
  for (const Member& update : message.updates) apply_update(now, update, sender, spread);
  switch (message.kind) {
    case Kind::ping:
      return send(reply_address, {.kind = Kind::ack, .sequence_number = message.sequence_number}, sender);
    case Kind::ack:
      return on_ack(message);
    case Kind::ping_request:
      return on_ping_request(now, reply_address, message);
    case Kind::nack:
      if (message.sequence_number == current_probe_.sequence_number) ++current_probe_.nacks_received;
      return;
    case Kind::view_request:
      return send_view_page(reply_address, message);
    case Kind::view_page:
      return on_view_page(now, reply_address, message);
  }
}

void Membership::on_timer(double now) {
  if (has_left_) return;
  compensate_for_pause(now);
  if (!current_probe_.answered && !current_probe_.indirect_started && now >= current_probe_.direct_deadline) {
    start_indirect_probe();
  }
  update_indirect_probes(now);
  expire_suspicions(now);
  if (!joined_ && now >= next_join_at_) join(now);
  if (now < next_probe_at_) return;

  finish_probe(now);
  next_probe_at_ = now + config_.probe_interval_ms * health_multiplier();
  ++probe_round_;
  start_probe(now);
  synchronize_view(now);
  reconnect(now);
}

double Membership::next_timer_at() const {
  if (has_left_) return std::numeric_limits<double>::infinity();
  double next = next_probe_at_;
  if (!joined_) next = std::min(next, next_join_at_);
  if (!current_probe_.answered && !current_probe_.indirect_started) {
    next = std::min(next, current_probe_.direct_deadline);
  }
  for (const auto& [number, probe] : indirect_probes_) {
    next = std::min(next, probe.nack_sent ? probe.expires_at : probe.nack_at);
  }
  return std::min(next, suspicions_.next_deadline(suspicion_timing()));
}

void Membership::leave() {
  if (std::exchange(has_left_, true)) return;
  outbox_.clear();
  self_.state = Member::State::left;
  std::vector<std::string> names = members_.alive_names();
  std::shuffle(names.begin(), names.end(), random_);
  names.resize(std::min(names.size(), leave_fanout));
  for (const std::string& name : names) send(address_of(name), {.kind = Kind::ack});
}

std::optional<Membership::OutgoingMessage> Membership::next_message() {
  if (outbox_.empty()) return {};
  OutgoingMessage next = std::move(outbox_.front());
  outbox_.pop_front();
  return next;
}

// Updates.

void Membership::apply_update(double now, const Member& update, const std::string& reporter,
                              Dissemination spread) {
  if (update.name.empty() || update.address.empty()) return;
  if (update.name == self_.name) return apply_update_about_self(update);
  const Member* known = members_.find(update.name);
  const bool is_new = known == nullptr;
  // A member that is unknown here and already dead or left needs no entry.
  if (is_new && (members_.is_full() || !is_live(update))) return;
  if (!is_new && *known == update) {
    if (suspicions_.confirm(update.name, reporter)) pending_updates_.enqueue(update.name);
    return;
  }
  if (!is_new && !supersedes(update, *known)) return;

  const bool was_live = !is_new && is_live(*known);
  members_.put(now, update);
  suspicions_.clear(update.name);
  if (update.state == Member::State::suspect) suspicions_.start(now, update.name, reporter);
  if (is_live(update) && !was_live) insert_into_probe_order(update.name);
  if (spread == Dissemination::always || !is_new) pending_updates_.enqueue(update.name);
}

void Membership::apply_update_about_self(const Member& update) {
  if (update.address != self_.address && is_live(update)) {
    // Two processes have the same name: the one with the higher incarnation (or address, if both incarnations
    // are equal) keeps it. If each process refuted the other, the refutations would never end.
    const bool is_later =
        std::tie(update.incarnation, update.address) > std::tie(self_.incarnation, self_.address);
    if (is_later && !std::exchange(displaced_, true)) ++counters_.displacements;
    return;
  }
  if (update.incarnation < self_.incarnation) return;
  if (update.incarnation == self_.incarnation && !supersedes(update, self_)) return;
  // Other members consider this one suspect or dead, or it restarted with an earlier clock and they know a
  // higher incarnation of it.
  displaced_ = false;
  self_.incarnation = update.incarnation + 1;
  ++counters_.refutations;
  if (update.state == Member::State::suspect) degrade_local_health(1);
}

// `buddy` is the name of the recipient, if known. If it is not alive in this view, its entry is added before
// the other updates, so that the recipient can refute it (Lifeguard's buddy system).
void Membership::send(const std::string& address, SwimMessage message, const std::string& buddy) {
  if (address.empty() || outbox_.size() >= max_outgoing_messages) return;
  UpdateAppender updates(message);
  if (!displaced_) updates.prepend(self_);
  const Member* accused = members_.find(buddy);
  if (accused != nullptr && accused->state != Member::State::alive) updates.append(*accused);
  pending_updates_.append_to(updates, members_, buddy, live_count());
  outbox_.push_back({.recipient = address, .message = std::move(message)});
}

std::uint64_t Membership::ping(const std::string& address, const std::string& buddy) {
  const std::uint64_t sequence_number = ++last_sequence_number_;
  send(address, {.kind = Kind::ping, .sequence_number = sequence_number}, buddy);
  return sequence_number;
}

// Suspicion and local health.

SuspicionTiming Membership::suspicion_timing() const {
  return {.probe_interval_ms = config_.probe_interval_ms,
          .live_count = live_count(),
          .health_multiplier = health_multiplier()};
}

void Membership::expire_suspicions(double now) {
  for (const std::string& name : suspicions_.expired(now, suspicion_timing())) {
    Member dead = *members_.find(name);
    dead.state = Member::State::dead;
    apply_update(now, dead, self_.name, Dissemination::always);
  }
}

void Membership::degrade_local_health(int steps) {
  local_health_ = std::min(local_health_ + steps, max_local_health);
}

// A timer that is late by a probe interval or more means that this process was paused. The replies that it
// missed meanwhile say nothing about the other members, so running probes are discarded and suspicions are
// postponed.
void Membership::compensate_for_pause(double now) {
  const double late_ms = now - next_timer_at();
  if (late_ms < config_.probe_interval_ms) return;
  ++counters_.pauses;
  local_health_ = max_local_health;
  current_probe_ = {};
  suspicions_.postpone(late_ms);
  indirect_probes_.clear();
  next_probe_at_ = std::max(next_probe_at_, now);
  next_join_at_ = std::max(next_join_at_, now);
}

}  // namespace indigorill
