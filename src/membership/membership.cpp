#include "membership/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

namespace indigorill {
namespace {

// SWIM's k; with three helpers at 20 % loss a live member is missed by all of them once in 150 probes or
// less.
constexpr std::size_t indirect_probe_fanout = 3;
// A message stays under this, so that its datagram stays well under the 1,400 bytes that no path cuts up.
constexpr std::size_t max_update_bytes = 900;
constexpr std::size_t encoded_numbers_bytes = 14;
// Each piece of news goes out so many times log10 of the fleet: memberlist's and Lifeguard's figure is four.
constexpr double retransmit_multiplier = 4;
// Lifeguard's alpha and beta: a suspicion lasts at least alpha log10(n) periods, and beta times that while
// nobody else confirms it.
constexpr double suspicion_multiplier = 4, max_suspicion_multiplier = 6;
constexpr double expected_confirmations = 3;
constexpr int max_local_health = 8;
constexpr std::uint64_t view_sync_interval_rounds = 5,
                        reconnect_interval_rounds = 5;  // periods: views that differ, sides of a healed cut
// Of many that start at once the first pages know few: a newcomer reads the whole view again in these
// periods.
constexpr std::array<std::uint64_t, 2> view_reread_rounds{4, 10};
constexpr double dead_member_retention_ms = 600000;  // ms; the dead and those that left
constexpr std::size_t max_members = 10000, max_indirect_probes = 256, max_outgoing_messages = 4096;

std::size_t encoded_bytes(const Member& m) {
  return m.name.size() + m.address.size() + encoded_numbers_bytes;
}

bool is_live(const Member& m) { return m.state == Member::State::alive || m.state == Member::State::suspect; }

}  // namespace

bool supersedes(const Member& a, const Member& b) {
  return std::tie(a.incarnation, a.state, a.address) > std::tie(b.incarnation, b.state, b.address);
}

Membership::Membership(Config with, std::uint64_t incarnation, std::uint64_t seed, double now)
    : config_(std::move(with)),
      self_{Member::State::alive, config_.name, config_.address, incarnation},
      random_(static_cast<std::knuth_b::result_type>(seed)),
      next_probe_at_(now + config_.probe_interval_ms * std::uniform_real_distribution<double>(0, 1)(random_)),
      next_join_at_(now) {}

std::size_t Membership::live_count() const { return 1 + live_peer_count_; }

std::array<std::size_t, 4> Membership::count_by_state() const {
  std::array<std::size_t, 4> n{};
  for (const auto& [name, m] : members_) ++n[static_cast<std::size_t>(m.state)];
  return n;
}

std::string Membership::address_of(const std::string& name) const {
  if (name == self_.name) return self_.address;
  const auto it = members_.find(name);
  return it == members_.end() ? "" : it->second.address;
}

std::optional<Membership::OutgoingMessage> Membership::next_message() {
  if (outbox_.empty()) return {};
  OutgoingMessage l = std::move(outbox_.front());
  outbox_.erase(outbox_.begin());
  return l;
}

double Membership::next_timer_at() const {
  if (has_left_) return std::numeric_limits<double>::infinity();
  double when = std::min(next_probe_at_, joined_ ? next_probe_at_ : next_join_at_);
  if (!current_probe_.answered && !current_probe_.indirect_started)
    when = std::min(when, current_probe_.direct_deadline);
  for (const auto& [number, e] : indirect_probes_)
    when = std::min(when, e.nack_sent ? e.expires_at : e.nack_at);
  for (const auto& [name, s] : suspicions_) when = std::min(when, suspicion_deadline(s));
  return when;
}

double Membership::suspicion_deadline(const Suspicion& s) const {
  // Lifeguard, section IV-B. A slow process takes the longer the more it doubts itself.
  const double least = suspicion_multiplier * std::max(1.0, std::log10(static_cast<double>(live_count()))) *
                       config_.probe_interval_ms * health_multiplier();
  const double most = max_suspicion_multiplier * least, others = static_cast<double>(s.accusers.size()) - 1;
  const double wanted =
      std::min(expected_confirmations, std::max(1.0, static_cast<double>(live_count()) - 2));
  const double left = most - (most - least) * std::log(std::max(others, 0.0) + 1) / std::log(wanted + 1);
  return s.started_at + std::max(least, left);
}

void Membership::apply_update_about_self(const Member& m) {
  if (m.address != self_.address && is_live(m)) {
    // Two processes with one name: the later one has it. To refute each other would go on for good.
    if (m.incarnation > self_.incarnation ||
        (m.incarnation == self_.incarnation && m.address > self_.address)) {
      if (!std::exchange(displaced_, true)) ++counters_.displacements;
    }
    return;
  }
  if (m.incarnation < self_.incarnation || (m.incarnation == self_.incarnation && !supersedes(m, self_)))
    return;
  // Said to be suspect or dead, or this process came back with an earlier clock than it once had.
  displaced_ = false;
  self_.incarnation = m.incarnation + 1;
  ++counters_.refutations;
  if (m.state == Member::State::suspect) local_health_ = std::min(local_health_ + 1, max_local_health);
}

bool Membership::apply_update(double now, const Member& m, const std::string& by, bool tell) {
  if (m.name.empty() || m.address.empty()) return false;
  if (m.name == self_.name) return apply_update_about_self(m), false;
  const auto it = members_.find(m.name);
  // One more that suspects it of its own accord shortens the wait.
  if (it != members_.end() && it->second == m) {
    const auto s = suspicions_.find(m.name);
    if (s != suspicions_.end() && s->second.accusers.size() <= expected_confirmations &&
        s->second.accusers.insert(by).second)
      enqueue_update(m);
    return false;
  }
  if (it != members_.end() && !supersedes(m, it->second)) return false;
  if (it == members_.end() && (members_.size() >= max_members || !is_live(m))) {
    return false;  // a death of one never met needs no place here
  }
  const bool was_here = it != members_.end() && is_live(it->second);
  members_[m.name] = m;
  live_peer_count_ += is_live(m);
  live_peer_count_ -= was_here;
  suspicions_.erase(m.name);
  if (m.state == Member::State::suspect) suspicions_[m.name] = {now, {by}};
  if (is_live(m))
    ended_at_.erase(m.name);
  else
    ended_at_.emplace(m.name, now);
  if (is_live(m) && !was_here && !probe_order_.empty())
    probe_order_.insert(
        probe_order_.begin() + static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(
                                   0, probe_order_.size())(random_)),
        m.name);
  if (tell || it != members_.end()) enqueue_update(m);
  return true;
}

void Membership::send(const std::string& to, SwimMessage g, const std::string& about) {
  if (to.empty() || outbox_.size() >= max_outgoing_messages) return;
  std::size_t used = 0;
  const auto put = [&](const Member& m) {
    if (used + encoded_bytes(m) > max_update_bytes) return false;
    used += encoded_bytes(m);
    g.updates.push_back(m);
    return true;
  };
  for (const Member& m : g.updates) used += encoded_bytes(m);
  if (!displaced_) {
    used += encoded_bytes(self_);
    g.updates.insert(g.updates.begin(), self_);
  }
  // Who is suspected or taken for dead hears of it first of all, so that it can refute it (Lifeguard's
  // buddy).
  if (const auto it = members_.find(about); it != members_.end() && it->second.state != Member::State::alive)
    put(it->second);
  std::vector<std::pair<int, std::string_view>> order;  // the least told first; no more than could fit
  for (const auto& [name, times] : pending_updates_)
    if (name != about) order.emplace_back(times, name);
  constexpr std::size_t most_fitting = max_update_bytes / encoded_numbers_bytes;
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), most_fitting));
  std::partial_sort(order.begin(), end, order.end());
  const int most = static_cast<int>(
      std::ceil(retransmit_multiplier * std::max(1.0, std::log10(1.0 + static_cast<double>(live_count())))));
  for (auto next = order.begin(); next != end; ++next) {
    const auto told = pending_updates_.find(std::string(next->second));
    const auto it = members_.find(told->first);
    if (it != members_.end() && !put(it->second)) break;
    if (it == members_.end() || ++told->second >= most) pending_updates_.erase(told);
  }
  outbox_.push_back({to, std::move(g)});
}

std::string Membership::random_alive_member(const std::string& but) {
  // A few draws find one; what is left over is looked for in order.
  if (members_.empty()) return {};
  std::vector<const std::string*> names;
  for (const auto& [name, m] : members_)
    if (m.state == Member::State::alive && name != but) names.push_back(&name);
  if (names.empty()) return {};
  return *names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
}

void Membership::start_probe(double now) {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [name, m] : members_)
        if (is_live(m)) probe_order_.push_back(name);
      if (probe_order_.empty()) return;
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    const std::string target = probe_order_.back();
    probe_order_.pop_back();
    const auto it = members_.find(target);
    if (it == members_.end() || !is_live(it->second)) continue;
    current_probe_ = {target,
                      ++last_sequence_number_,
                      now + config_.probe_timeout_ms * health_multiplier(),
                      next_probe_at_,
                      false,
                      false,
                      0,
                      0};
    ++counters_.probes_sent;
    return send(it->second.address, {SwimMessage::Kind::ping, last_sequence_number_, {}, {}, {}}, target);
  }
}

void Membership::start_indirect_probe() {
  current_probe_.indirect_started = true;
  ++counters_.indirect_probes;
  std::vector<std::string> names;
  for (const auto& [name, m] : members_)
    if (m.state == Member::State::alive && name != current_probe_.target) names.push_back(name);
  for (std::size_t i = 0; i < indirect_probe_fanout && i < names.size(); ++i) {
    std::swap(names[i], names[std::uniform_int_distribution<std::size_t>(i, names.size() - 1)(random_)]);
    ++current_probe_.indirect_requests;
    send(members_[names[i]].address, {SwimMessage::Kind::ping_request,
                                      current_probe_.sequence_number,
                                      current_probe_.target,
                                      members_[current_probe_.target].address,
                                      {}});
  }
}

void Membership::finish_probe(double now) {
  if (current_probe_.target.empty()) return;
  const Probe p = std::exchange(current_probe_, {});
  if (p.answered) {
    local_health_ = std::max(local_health_ - 1, 0);
    return;
  }
  ++counters_.failed_probes;
  // Helpers answer at least that they have heard nothing: whose nacks are missing too has itself to blame.
  const std::size_t missing = p.indirect_requests - std::min(p.indirect_requests, p.nacks_received);
  local_health_ =
      std::min(local_health_ + (p.indirect_requests == 0 ? 1 : static_cast<int>(missing)), max_local_health);
  const auto it = members_.find(p.target);
  if (it == members_.end() || !is_live(it->second)) return;
  Member m = it->second;
  m.state = Member::State::suspect;
  apply_update(now, m, self_.name, true);
}

void Membership::expire_suspicions(double now) {
  std::vector<std::string> over;
  for (const auto& [name, s] : suspicions_)
    if (suspicion_deadline(s) <= now) over.push_back(name);
  for (const std::string& name : over) {
    Member m = members_.at(name);
    m.state = Member::State::dead;
    apply_update(now, m, self_.name, true);
  }
}

void Membership::request_view_page() {
  const std::string whom = random_alive_member();
  if (!whom.empty())
    send(members_[whom].address,
         {SwimMessage::Kind::view_request, ++last_sequence_number_, view_cursor_, {}, {}});
}

// This process stood still: what it has not heard meanwhile is nobody's silence but its own.
void Membership::compensate_for_pause(double now) {
  const double late = now - next_timer_at();
  if (late < config_.probe_interval_ms) return;
  ++counters_.pauses;
  local_health_ = max_local_health;
  current_probe_ = {};
  for (auto& [name, s] : suspicions_) s.started_at += late;
  indirect_probes_.clear();
  next_probe_at_ = std::max(next_probe_at_, now);
  next_join_at_ = std::max(next_join_at_, now);
}

void Membership::on_timer(double now) {
  if (has_left_) return;
  compensate_for_pause(now);
  if (!current_probe_.answered && !current_probe_.indirect_started && now >= current_probe_.direct_deadline)
    start_indirect_probe();
  for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();) {
    IndirectProbe& e = it->second;
    if (!e.nack_sent && now >= e.nack_at) {
      e.nack_sent = true;
      send(e.requester_address, {SwimMessage::Kind::nack, e.requester_sequence_number, {}, {}, {}});
    }
    it = now >= e.expires_at ? indirect_probes_.erase(it) : std::next(it);
  }
  expire_suspicions(now);
  if (!joined_ && now >= next_join_at_) {
    next_join_at_ = now + config_.probe_interval_ms;
    if (random_alive_member().empty()) {
      for (const std::string& seed : config_.seed_addresses)
        if (seed != self_.address)
          send(seed, {SwimMessage::Kind::view_request, ++last_sequence_number_, view_cursor_, {}, {}});
    } else {
      request_view_page();
    }
    if (config_.seed_addresses.empty() ||
        (config_.seed_addresses.size() == 1 && config_.seed_addresses.front() == self_.address))
      joined_ = true;
  }
  if (now < next_probe_at_) return;
  finish_probe(now);
  next_probe_at_ = now + config_.probe_interval_ms * health_multiplier();
  ++probe_round_;
  start_probe(now);
  if (std::find(view_reread_rounds.begin(), view_reread_rounds.end(), probe_round_) !=
      view_reread_rounds.end()) {
    view_cursor_.clear();
    joined_ = false;
    next_join_at_ = now;
  } else if (probe_round_ % view_sync_interval_rounds == 0 && joined_) {
    view_cursor_ = random_alive_member();
    request_view_page();
  }
  if (probe_round_ % reconnect_interval_rounds == 0) {
    // The two sides of a cut take each other for dead: somebody has to ask after the dead, and the seeds.
    std::vector<const Member*> old;
    for (auto it = ended_at_.begin(); it != ended_at_.end();) {
      const auto k = members_.find(it->first);
      if (k == members_.end() || now - it->second > dead_member_retention_ms) {
        if (k != members_.end()) members_.erase(k);
        it = ended_at_.erase(it);
        continue;
      }
      if (k->second.state == Member::State::dead) old.push_back(&k->second);
      ++it;
    }
    if (!old.empty()) {
      const Member& m = *old[std::uniform_int_distribution<std::size_t>(0, old.size() - 1)(random_)];
      send(m.address, {SwimMessage::Kind::ping, ++last_sequence_number_, {}, {}, {}}, m.name);
    }
    if (!config_.seed_addresses.empty()) {
      const std::string& seed = config_.seed_addresses[std::uniform_int_distribution<std::size_t>(
          0, config_.seed_addresses.size() - 1)(random_)];
      if (seed != self_.address) send(seed, {SwimMessage::Kind::ping, ++last_sequence_number_, {}, {}, {}});
    }
  }
}

void Membership::on_message(double now, const std::string& by, const std::string& from,
                            const SwimMessage& g) {
  if (has_left_) return;
  compensate_for_pause(now);
  for (const Member& m : g.updates) apply_update(now, m, by, g.kind != SwimMessage::Kind::view_page);
  using Kind = SwimMessage::Kind;
  switch (g.kind) {
    case Kind::ping:
      return send(from, {Kind::ack, g.sequence_number, {}, {}, {}}, by);
    case Kind::ack: {
      if (!current_probe_.answered && g.sequence_number == current_probe_.sequence_number)
        current_probe_.answered = true;
      const auto it = indirect_probes_.find(g.sequence_number);
      if (it == indirect_probes_.end()) return;
      send(it->second.requester_address, {Kind::ack, it->second.requester_sequence_number, {}, {}, {}});
      indirect_probes_.erase(it);
      return;
    }
    case Kind::ping_request: {
      if (indirect_probes_.size() >= max_indirect_probes || g.target_address.empty()) return;
      // Four fifths of the usual wait, as in Lifeguard, so that the nack is in time.
      indirect_probes_[++last_sequence_number_] = {from, g.sequence_number,
                                                   now + 0.8 * config_.probe_timeout_ms,
                                                   now + config_.probe_interval_ms, false};
      return send(g.target_address, {Kind::ping, last_sequence_number_, {}, {}, {}}, g.target);
    }
    case Kind::nack:
      if (g.sequence_number == current_probe_.sequence_number) ++current_probe_.nacks_received;
      return;
    case Kind::view_request: {
      SwimMessage page{Kind::view_page, g.sequence_number, {}, {}, {}};
      std::size_t used = encoded_bytes(self_);
      const auto put = [&](const Member& m) {
        if (used + encoded_bytes(m) > max_update_bytes) return false;
        used += encoded_bytes(m);
        page.updates.push_back(m);
        return true;
      };
      auto it = members_.upper_bound(g.target);
      while (it != members_.end() && put(it->second)) ++it;
      if (it != members_.end())
        page.target = page.updates.back().name;
      else  // what room is left goes to those before
        for (it = members_.begin(); it != members_.end() && it->first <= g.target && put(it->second);) ++it;
      return send(from, std::move(page));
    }
    case Kind::view_page:
      if (joined_) return;
      joined_ = g.target.empty();
      view_cursor_ = g.target;
      next_join_at_ = now + config_.probe_interval_ms;
      if (!joined_) send(from, {Kind::view_request, ++last_sequence_number_, view_cursor_, {}, {}});
      return;
  }
}

void Membership::leave() {
  if (std::exchange(has_left_, true)) return;
  outbox_.clear();
  self_.state = Member::State::left;
  std::vector<std::string> names;
  for (const auto& [name, m] : members_)
    if (m.state == Member::State::alive) names.push_back(name);
  std::shuffle(names.begin(), names.end(), random_);
  // Twice as many as a probe's helpers: at 20 % loss one in 15,000 leaves is heard by nobody.
  for (std::size_t i = 0; i < 2 * indirect_probe_fanout && i < names.size(); ++i)
    send(members_[names[i]].address, {SwimMessage::Kind::ack, 0, {}, {}, {}});
}

}  // namespace indigorill
