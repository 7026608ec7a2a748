#include "cluster/cluster_node.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <limits>
#include <system_error>
#include <utility>

#include "event/socket.h"

namespace indigorill {
namespace {

// Higher than the incarnation of this sidecar's previous start if the machine's clock is correct. Otherwise
// the other members report the higher one, and Membership raises its own above that.
std::uint64_t new_incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

// Random, so that no session is used twice, whatever the machine's clock shows.
std::uint64_t new_session() {
  std::random_device random;
  const std::uint64_t high_bits = random();
  return high_bits << 32 | random();
}

// Added to the seed, so that each component has its own random sequence.
constexpr std::uint64_t lease_seed_offset = 1;
constexpr std::uint64_t node_seed_offset = 3;

}  // namespace

double ClusterNode::now_ms() {
  // The event loop's clock is not used: it stops while the machine is suspended, and leases and grants that
  // expire meanwhile must count as expired.
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

ClusterNode::ClusterNode(EventLoop& event_loop, Logger& logger, Config config, std::uint64_t seed)
    : event_loop_(event_loop),
      logger_(logger),
      config_(std::move(config)),
      random_(static_cast<std::knuth_b::result_type>(seed + node_seed_offset)),
      membership_({.name = config_.name,
                   .address = config_.advertised_address,
                   .seed_addresses = config_.seed_addresses,
                   .probe_interval_ms = config_.probe_interval_ms,
                   .probe_timeout_ms = config_.probe_timeout_ms},
                  new_incarnation(), seed, now_ms()) {
  if (!config_.voters.empty()) {
    const std::uint64_t session = new_session();
    const LeaderLease::Config lease{.name = config_.name,
                                    .voters = config_.voters,
                                    .lease_duration_ms = config_.lease_ms,
                                    .max_clock_drift = config_.max_clock_drift};
    leader_lease_.emplace(lease, session, seed + lease_seed_offset, now_ms());
    if (config_.quota) quota_client_.emplace(*config_.quota, session);
  }
  open_socket();
}

void ClusterNode::open_socket() {
  try {
    socket_ = std::make_unique<DatagramSocket>(
        event_loop_, config_.listen_address,
        [this](std::string_view bytes, const sockaddr_in&) { on_datagram(bytes); });
    logger_.info() << "joining fleet " << config_.fleet << " as member " << config_.name << ", incarnation "
                   << membership_.incarnation();
    run_due_work();
  } catch (const std::system_error& error) {
    // An older process of this sidecar may hold the address until it leaves the fleet. RPCs are served
    // meanwhile.
    constexpr double retry_interval_ms = 100;
    logger_.debug() << "datagram address not available yet: " << error.what();
    work_timer_ = event_loop_.schedule_at(event_loop_.now() + retry_interval_ms, [this] { open_socket(); });
  }
}

void ClusterNode::run_due_work() {
  if (has_left_) return;
  membership_.on_timer(now_ms());
  send_membership_messages();
  run_leader_lease();
  request_quota();
  log_changes();
  // Without a minimum, work that is always due would run in each iteration of the event loop, which would
  // then be busy without pause.
  constexpr double min_delay_ms = 1;
  const double delay_ms = std::max(min_delay_ms, next_work_at() - now_ms());
  work_timer_ = event_loop_.schedule_at(event_loop_.now() + delay_ms, [this] { run_due_work(); });
}

double ClusterNode::next_work_at() const {
  double next = membership_.next_timer_at();
  if (leader_lease_) next = std::min(next, leader_lease_->next_timer_at());
  if (quota_client_) next = std::min(next, next_quota_request_at_);
  return next;
}

void ClusterNode::leave() {
  if (has_left_) return;
  if (leader_lease_) leader_lease_->resign(now_ms());
  run_leader_lease();
  membership_.leave();
  send_membership_messages();
  has_left_ = true;
  work_timer_.cancel();
  socket_.reset();  // frees the address for a newer process of this sidecar
}

// Datagrams.

void ClusterNode::on_datagram(std::string_view bytes) {
  if (has_left_) return;
  ++counters_.received;
  const auto decoded = decode_envelope(bytes, config_.fleet);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    ++counters_.undecodable[static_cast<std::size_t>(*error)];
    return log_drop(bytes, name_of(*error));
  }
  const auto& envelope = std::get<Envelope>(decoded);
  if (const auto error = replay_filter_.check(envelope, now_ms())) {
    ++counters_.replayed[static_cast<std::size_t>(*error)];
    return log_drop(bytes, name_of(*error));
  }
  dispatch(envelope);
  run_due_work();
}

void ClusterNode::log_drop(std::string_view bytes, std::string_view reason) {
  logger_.debug() << "datagram of " << bytes.size() << " bytes dropped: " << reason;
}

void ClusterNode::dispatch(const Envelope& envelope) {
  switch (envelope.kind) {
    case Envelope::Kind::membership:
      return membership_.on_message(now_ms(), envelope.name, envelope.address, envelope.swim_message);
    case Envelope::Kind::load_gossip:
      return;  // processes do not exchange load gossip yet
    case Envelope::Kind::lease:
      if (leader_lease_) leader_lease_->on_message(now_ms(), envelope.name, envelope.lease_message);
      return;
    case Envelope::Kind::quota_request:
      if (quota_client_) {
        Envelope answer;
        answer.kind = Envelope::Kind::quota_grant;
        answer.quota_grant = answer_quota_request(envelope.quota_request);
        send(envelope.address, std::move(answer));
      }
      return;
    case Envelope::Kind::quota_grant:
      if (quota_client_) on_quota_grant(envelope.quota_grant);
      return;
  }
}

void ClusterNode::send(const std::string& address, Envelope envelope) {
  envelope.fleet = config_.fleet;
  envelope.name = config_.name;
  envelope.address = config_.advertised_address;
  envelope.incarnation = membership_.incarnation();
  envelope.sequence_number = ++last_sequence_number_;
  const std::string bytes = encode(envelope);
  const auto recipient = parse_socket_address(address);
  if (!socket_ || !recipient || bytes.size() > max_datagram_bytes || !socket_->send(*recipient, bytes)) {
    ++counters_.send_failures;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

// Membership and the leader lease.

void ClusterNode::send_membership_messages() {
  while (auto outgoing = membership_.next_message()) {
    Envelope envelope;
    envelope.kind = Envelope::Kind::membership;
    envelope.swim_message = std::move(outgoing->message);
    send(outgoing->recipient, std::move(envelope));
  }
}

void ClusterNode::run_leader_lease() {
  if (!leader_lease_) return;
  leader_lease_->on_timer(now_ms());
  while (auto outgoing = leader_lease_->next_message()) {
    Envelope envelope;
    envelope.kind = Envelope::Kind::lease;
    envelope.lease_message = std::move(outgoing->message);
    send(membership_.address_of(outgoing->recipient), std::move(envelope));
  }
}

bool ClusterNode::is_leader() const { return leader_lease_ && leader_lease_->is_holder(now_ms()); }

std::string ClusterNode::known_leader() const {
  return leader_lease_ ? leader_lease_->known_holder(now_ms()) : "";
}

// Quotas.

void ClusterNode::request_quota() {
  if (!quota_client_ || now_ms() < next_quota_request_at_) return;
  constexpr double requests_per_grant = 3;  // two of them may be lost before a grant expires
  next_quota_request_at_ = now_ms() + config_.quota->grant_duration_ms / requests_per_grant;
  QuotaRequest request = quota_client_->make_request(now_ms());
  if (is_leader()) {
    quota_client_->on_grant(now_ms(), answer_quota_request(request));
  } else {
    send_quota_request(std::move(request));
  }
  log_quota_rejection();
}

void ClusterNode::send_quota_request(QuotaRequest request) {
  // The last known leader may be dead: after two unanswered requests a random voter is asked.
  constexpr int max_unanswered_requests = 2;
  if (unanswered_quota_requests_ >= max_unanswered_requests) allocator_name_.clear();
  ++unanswered_quota_requests_;
  if (!can_reach_allocator()) {
    std::uniform_int_distribution<std::size_t> any_voter(0, config_.voters.size() - 1);
    allocator_name_ = config_.voters[any_voter(random_)];
    may_follow_redirect_ = true;
  }
  Envelope envelope;
  envelope.kind = Envelope::Kind::quota_request;
  envelope.quota_request = std::move(request);
  send(membership_.address_of(allocator_name_), std::move(envelope));
}

bool ClusterNode::can_reach_allocator() const {
  return !allocator_name_.empty() && allocator_name_ != config_.name &&
         !membership_.address_of(allocator_name_).empty();
}

QuotaGrant ClusterNode::answer_quota_request(const QuotaRequest& request) {
  if (!is_leader()) {
    QuotaGrant redirect;
    redirect.status = QuotaGrant::Status::not_leader;
    redirect.session = request.session;
    redirect.request_number = request.request_number;
    redirect.leader = known_leader();
    return redirect;
  }
  if (!quota_allocator_) {
    quota_allocator_.emplace(*config_.quota);
    quota_allocator_->start_term(now_ms(), leader_lease_->previous_leases_expired_at());
  }
  return quota_allocator_->handle_request(now_ms(), leader_lease_->expires_at(), request);
}

void ClusterNode::on_quota_grant(const QuotaGrant& grant) {
  quota_client_->on_grant(now_ms(), grant);
  unanswered_quota_requests_ = 0;
  if (grant.status != QuotaGrant::Status::not_leader) return;
  allocator_name_ = grant.leader;
  // Only the first redirect after the draw of a voter is followed at once: two members that redirect to each
  // other would otherwise be asked in turn without end.
  if (!allocator_name_.empty() && std::exchange(may_follow_redirect_, false)) {
    next_quota_request_at_ = now_ms();
  }
}

std::optional<std::size_t> ClusterNode::budget_index(std::string_view budget) const {
  if (!quota_client_) return {};
  const std::vector<FleetBudget>& budgets = config_.quota->budgets;
  const auto found = std::find_if(budgets.begin(), budgets.end(),
                                  [&](const FleetBudget& candidate) { return candidate.name == budget; });
  if (found == budgets.end()) return {};
  return static_cast<std::size_t>(found - budgets.begin());
}

double ClusterNode::available(std::string_view budget) {
  const auto index = budget_index(budget);
  return index ? quota_client_->available(now_ms(), *index) : std::numeric_limits<double>::infinity();
}

bool ClusterNode::try_acquire(std::string_view budget) {
  const auto index = budget_index(budget);
  return !index || quota_client_->try_acquire(now_ms(), *index);
}

void ClusterNode::record_demand(std::string_view budget) {
  if (const auto index = budget_index(budget)) quota_client_->record_demand(now_ms(), *index);
}

}  // namespace indigorill
