#include "cluster/cluster_node.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <limits>
#include <random>
#include <system_error>

namespace indigorill {
namespace {

// Later than that of this sidecar's last start, if the machine's clock is right; if not, the others say so.
std::uint64_t new_incarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

}  // namespace

double ClusterNode::now_ms() const {
  // Not the loop's clock: that one stands while a machine is suspended, and who slept must know it.
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

ClusterNode::ClusterNode(EventLoop& in, Logger& log_to, Config with, std::uint64_t seed)
    : event_loop_(in),
      logger_(log_to),
      config_(std::move(with)),
      membership_({config_.name, config_.advertised_address, config_.seed_addresses,
                   config_.probe_interval_ms, config_.probe_timeout_ms},
                  new_incarnation(), seed, now_ms()),
      random_(static_cast<std::knuth_b::result_type>(seed + 3)) {
  if (!config_.voters.empty()) {
    // No session may come twice, whatever the machine's clock says.
    std::random_device any;
    const std::uint64_t session = std::uint64_t{any()} << 32 | any();
    leader_lease_.emplace(
        LeaderLease::Config{config_.name, config_.voters, config_.lease_ms, config_.max_clock_drift}, session,
        seed + 1, now_ms());
    if (config_.quota) quota_client_.emplace(*config_.quota, session);
  }
  open_socket();
}

void ClusterNode::open_socket() {
  try {
    socket_ = std::make_unique<DatagramSocket>(
        event_loop_, config_.listen_address,
        [this](std::string_view bytes, const sockaddr_in&) { on_datagram(bytes); });
    logger_.info() << "member " << config_.name << " of " << config_.fleet << ", incarnation "
                   << membership_.incarnation();
    run_due_work();
  } catch (const std::system_error& e) {
    // An older process of this sidecar may hold it until it leaves: RPCs go on without.
    constexpr double again = 100;  // ms
    logger_.debug() << "no place for datagrams yet: " << e.what();
    work_timer_ = event_loop_.schedule_at(event_loop_.now() + again, [this] { open_socket(); });
  }
}

void ClusterNode::on_datagram(std::string_view bytes) {
  if (has_left_) return;
  ++counters_.received;
  const auto drop = [&](DecodeError why) {
    ++counters_.dropped[static_cast<std::size_t>(why)];
    logger_.debug() << "datagram of " << bytes.size() << " bytes dropped: " << name_of(why);
  };
  const auto got = decode_envelope(bytes, config_.fleet);
  if (const auto* why = std::get_if<DecodeError>(&got)) return drop(*why);
  const Envelope& e = std::get<Envelope>(got);
  if (const auto why = replay_filter_.check(e, now_ms())) return drop(*why);
  if (e.kind == Envelope::Kind::lease && leader_lease_)
    leader_lease_->on_message(now_ms(), e.name, e.lease_message);
  if (e.kind == Envelope::Kind::quota_request && quota_client_) {
    Envelope back;
    back.kind = Envelope::Kind::quota_grant;
    back.quota_grant = answer_quota_request(e.quota_request);
    send(e.address, std::move(back));
  }
  if (e.kind == Envelope::Kind::quota_grant && quota_client_) {
    quota_client_->on_grant(now_ms(), e.quota_grant);
    unanswered_quota_requests_ = 0;
    // Who was asked in vain names the holder. Once for each question: two that name each other would be asked
    // in turn for ever.
    if (e.quota_grant.status == QuotaGrant::Status::not_leader) {
      allocator_name_ = e.quota_grant.leader;
      if (!allocator_name_.empty() && std::exchange(may_follow_redirect_, false))
        next_quota_request_at_ = now_ms();
    }
  }
  if (e.kind == Envelope::Kind::membership)
    membership_.on_message(now_ms(), e.name, e.address, e.swim_message);
  run_due_work();
}

void ClusterNode::send(const std::string& to, Envelope e) {
  e.fleet = config_.fleet;
  e.name = config_.name;
  e.address = config_.advertised_address;
  e.incarnation = membership_.incarnation();
  e.sequence_number = ++last_sequence_number_;
  const std::string bytes = encode(e);
  const auto where = parse_socket_address(to);
  if (!socket_ || !where || bytes.size() > max_datagram_bytes || !socket_->send(*where, bytes)) {
    ++counters_.send_failures;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

void ClusterNode::run_due_work() {
  if (has_left_) return;
  membership_.on_timer(now_ms());
  while (auto l = membership_.next_message()) {
    Envelope e;
    e.swim_message = std::move(l->message);
    send(l->recipient, std::move(e));
  }
  run_leader_lease();
  request_quota();
  log_changes();
  constexpr double least = 1;  // ms; a loop that only turns round its own due times serves nobody
  work_timer_ = event_loop_.schedule_at(
      event_loop_.now() +
          std::max(least,
                   std::min({membership_.next_timer_at(),
                             leader_lease_ ? leader_lease_->next_timer_at() : membership_.next_timer_at(),
                             quota_client_ ? next_quota_request_at_ : membership_.next_timer_at()}) -
                       now_ms()),
      [this] { run_due_work(); });
}

void ClusterNode::run_leader_lease() {
  if (!leader_lease_) return;
  leader_lease_->on_timer(now_ms());
  while (auto l = leader_lease_->next_message()) {
    Envelope e;
    e.kind = Envelope::Kind::lease;
    e.lease_message = std::move(l->message);
    send(membership_.address_of(l->recipient), std::move(e));
  }
}

QuotaGrant ClusterNode::answer_quota_request(const QuotaRequest& a) {
  if (!leader_lease_ || !leader_lease_->is_holder(now_ms())) {
    QuotaGrant g{QuotaGrant::Status::not_leader, a.session, a.request_number, 0, 0, {}, {}, {}};
    if (leader_lease_) g.leader = leader_lease_->known_holder(now_ms());
    return g;
  }
  if (!quota_allocator_) {
    quota_allocator_.emplace(*config_.quota);
    quota_allocator_->start_term(now_ms(), leader_lease_->previous_leases_expired_at());
  }
  return quota_allocator_->handle_request(now_ms(), leader_lease_->expires_at(), a);
}

void ClusterNode::request_quota() {
  if (!quota_client_ || now_ms() < next_quota_request_at_) return;
  next_quota_request_at_ =
      now_ms() + config_.quota->grant_duration_ms / 3;  // two questions may be lost before a share ends
  const QuotaRequest a = quota_client_->make_request(now_ms());
  if (leader_lease_->is_holder(now_ms())) {
    quota_client_->on_grant(now_ms(), answer_quota_request(a));
  } else {
    // Whom it knows to divide may be dead: after two questions without an answer any voter is asked.
    constexpr int patience = 2;
    if (unanswered_quota_requests_++ >= patience) allocator_name_.clear();
    if (allocator_name_.empty() || allocator_name_ == config_.name ||
        membership_.address_of(allocator_name_).empty()) {
      allocator_name_ =
          config_.voters[std::uniform_int_distribution<std::size_t>(0, config_.voters.size() - 1)(random_)];
      may_follow_redirect_ = true;
    }
    Envelope e;
    e.kind = Envelope::Kind::quota_request;
    e.quota_request = a;
    send(membership_.address_of(allocator_name_), std::move(e));
  }
  if (std::exchange(logged_quota_refused_, quota_client_->is_rejected_at_capacity()) !=
      quota_client_->is_rejected_at_capacity())
    logger_.warning() << (logged_quota_refused_ ? "more sidecars than allowed: no part of any budget is ours"
                                                : "a place among the sharers is free again");
}

std::optional<std::size_t> ClusterNode::budget_index(std::string_view budget) const {
  if (quota_client_)
    for (std::size_t i = 0; i < config_.quota->budgets.size(); ++i)
      if (config_.quota->budgets[i].name == budget) return i;
  return {};
}

double ClusterNode::available(std::string_view budget) {
  const auto i = budget_index(budget);
  return i ? quota_client_->available(now_ms(), *i) : std::numeric_limits<double>::infinity();
}

bool ClusterNode::try_acquire(std::string_view budget) {
  const auto i = budget_index(budget);
  return !i || quota_client_->try_acquire(now_ms(), *i);
}

void ClusterNode::record_demand(std::string_view budget) {
  if (const auto i = budget_index(budget)) quota_client_->record_demand(now_ms(), *i);
}

nlohmann::json ClusterNode::budgets_as_json() {
  const bool is_ours = quota_allocator_ && leader_lease_->is_holder(now_ms());
  nlohmann::json all = nlohmann::json::array();
  for (std::size_t i = 0; quota_client_ && i < config_.quota->budgets.size(); ++i) {
    const FleetBudget& b = config_.quota->budgets[i];
    all.push_back({{"name", b.name},
                   {"whole", b.total},
                   {"floor", b.guaranteed_minimum},
                   {"window_ms", b.window_ms},
                   {"own", quota_client_->allowance(now_ms(), i)},
                   {"left", quota_client_->available(now_ms(), i)},
                   {"granted", quota_client_->counters(i).granted},
                   {"denied", quota_client_->counters(i).denied},
                   {"given_by_us", is_ours ? quota_allocator_->max_in_use(now_ms(), i) : 0}});
  }
  return {{"budgets", all},
          {"shared", quota_client_ && quota_client_->has_grant(now_ms())},
          {"seated", quota_client_ && quota_client_->is_registered(now_ms())},
          {"full", quota_client_ && quota_client_->is_rejected_at_capacity()},
          {"sharers", is_ours ? quota_allocator_->holder_count(now_ms()) : 0}};
}

void ClusterNode::log_changes() {
  // What it gave is known to nobody else, and others may give after it: it begins anew with the next right.
  if (quota_allocator_ && !leader_lease_->is_holder(now_ms())) quota_allocator_.reset();
  const std::string known = leader_lease_ ? leader_lease_->known_holder(now_ms()) : "";
  if (std::exchange(logged_leader_, known) != known)
    logger_.info() << (logged_leader_.empty() ? "nobody is known to divide"
                                              : "the right to divide is with " + logged_leader_);
  for (const auto& [name, m] : membership_.view()) {
    const auto [it, fresh] = logged_states_.emplace(name, m.state);
    if (!fresh && it->second == m.state) continue;
    logger_.info() << "member " << name << " at " << m.address << " is " << name_of(m.state);
    it->second = m.state;
  }
  if (logged_states_.size() > membership_.view().size())
    std::erase_if(logged_states_, [&](const auto& n) { return membership_.view().count(n.first) == 0; });
  if (std::exchange(logged_displaced_, membership_.is_displaced()) != membership_.is_displaced())
    logger_.warning() << (logged_displaced_ ? "another process has the name "
                                            : "again the only one with the name ")
                      << config_.name;
}

void ClusterNode::leave() {
  if (has_left_) return;
  if (leader_lease_) leader_lease_->resign(now_ms());
  run_leader_lease();
  membership_.leave();
  while (auto l = membership_.next_message()) {
    Envelope e;
    e.swim_message = std::move(l->message);
    send(l->recipient, std::move(e));
  }
  has_left_ = true;
  work_timer_.cancel();
  socket_.reset();  // a newer process of this sidecar may have the place
}

nlohmann::json ClusterNode::as_json() const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [name, m] : membership_.view())
    all.push_back({{"name", name},
                   {"address", m.address},
                   {"state", name_of(m.state)},
                   {"incarnation", m.incarnation}});
  nlohmann::json by_state, dropped;
  const auto n = membership_.count_by_state();
  for (std::size_t i = 0; i < n.size(); ++i) by_state[std::string(name_of(static_cast<Member::State>(i)))] = n[i];
  for (std::size_t i = 0; i < decode_error_count; ++i)
    dropped[std::string(indigorill::name_of(static_cast<DecodeError>(i)))] = counters_.dropped[i];
  const auto& c = membership_.counters();
  nlohmann::json dividing;
  if (leader_lease_)
    dividing = {{"holder", leader_lease_->known_holder(now_ms())},
                {"holds", leader_lease_->is_holder(now_ms())},
                {"left_ms", leader_lease_->is_holder(now_ms()) ? leader_lease_->expires_at() - now_ms() : 0},
                {"ballot", leader_lease_->held_ballot().round},
                {"votes", leader_lease_->is_voter()},
                {"abstains", leader_lease_->is_voter() && leader_lease_->is_abstaining(now_ms())}};
  return {{"fleet", config_.fleet},
          {"right", dividing},
          {"name", config_.name},
          {"address", config_.advertised_address},
          {"incarnation", membership_.incarnation()},
          {"displaced", membership_.is_displaced()},
          {"doubt", membership_.local_health()},
          {"by_state", by_state},
          {"others", all},
          {"datagrams",
           {{"sent", counters_.sent},
            {"unsent", counters_.send_failures},
            {"heard", counters_.received},
            {"bytes_sent", counters_.bytes_sent},
            {"dropped", dropped}}},
          {"probes",
           {{"sent", c.probes_sent},
            {"indirect", c.indirect_probes},
            {"unanswered", c.failed_probes},
            {"refuted", c.refutations},
            {"slept", c.pauses}}}};
}

}  // namespace indigorill
