/// \file
/// The status that ClusterNode reports to operators: log lines about changes, and the JSON of the admin
/// server.
#include <utility>

#include "cluster/cluster_node.h"

namespace indigorill {

void ClusterNode::log_changes() {
  // Only this allocator knows its grants, and other leaders may grant after it, so the next lease begins with
  // a new allocator.
  if (quota_allocator_ && !is_leader()) quota_allocator_.reset();
  log_leader();
  log_member_states();
  log_displacement();
}

void ClusterNode::log_leader() {
  const std::string leader = known_leader();
  if (std::exchange(logged_leader_, leader) == leader) return;
  if (leader.empty()) {
    logger_.info() << "no leader is known";
  } else {
    logger_.info() << "the leader is " << leader;
  }
}

void ClusterNode::log_member_states() {
  for (const auto& [name, member] : membership_.view()) {
    const auto [logged, is_new] = logged_states_.emplace(name, member.state);
    if (!is_new && logged->second == member.state) continue;
    logger_.info() << "member " << name << " at " << member.address << " is " << name_of(member.state);
    logged->second = member.state;
  }
  if (logged_states_.size() > membership_.view().size()) {
    std::erase_if(logged_states_,
                  [&](const auto& logged) { return !membership_.view().contains(logged.first); });
  }
}

void ClusterNode::log_displacement() {
  const bool is_displaced = membership_.is_displaced();
  if (std::exchange(logged_displaced_, is_displaced) == is_displaced) return;
  if (is_displaced) {
    logger_.warning() << "another process uses the name " << config_.name;
  } else {
    logger_.warning() << "no other process uses the name " << config_.name << " any more";
  }
}

void ClusterNode::log_quota_rejection() {
  const bool is_rejected = quota_client_->is_rejected_at_capacity();
  if (std::exchange(logged_quota_rejected_, is_rejected) == is_rejected) return;
  if (is_rejected) {
    logger_.warning() << "the fleet has more sidecars than its quota allows; this one has no quota";
  } else {
    logger_.warning()
        << "the fleet no longer has more sidecars than its quota allows; this one may have a quota";
  }
}

nlohmann::json ClusterNode::as_json() const {
  const Membership::Counters& probes = membership_.counters();
  nlohmann::json by_state;
  const auto counts = membership_.count_by_state();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    by_state[std::string(name_of(static_cast<Member::State>(i)))] = counts[i];
  }
  return {{"fleet", config_.fleet},
          {"right", lease_as_json()},
          {"name", config_.name},
          {"address", config_.advertised_address},
          {"incarnation", membership_.incarnation()},
          {"displaced", membership_.is_displaced()},
          {"doubt", membership_.local_health()},
          {"by_state", by_state},
          {"others", members_as_json()},
          {"datagrams", datagrams_as_json()},
          {"probes",
           {{"sent", probes.probes_sent},
            {"indirect", probes.indirect_probes},
            {"unanswered", probes.failed_probes},
            {"refuted", probes.refutations},
            {"slept", probes.pauses}}}};
}

nlohmann::json ClusterNode::members_as_json() const {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, member] : membership_.view()) {
    members.push_back({{"name", name},
                       {"address", member.address},
                       {"state", name_of(member.state)},
                       {"incarnation", member.incarnation}});
  }
  return members;
}

nlohmann::json ClusterNode::lease_as_json() const {
  if (!leader_lease_) return nullptr;
  const double now = now_ms();
  const bool is_holder = leader_lease_->is_holder(now);
  return {{"holder", leader_lease_->known_holder(now)},
          {"holds", is_holder},
          {"left_ms", is_holder ? leader_lease_->expires_at() - now : 0},
          {"ballot", leader_lease_->held_ballot().round},
          {"votes", leader_lease_->is_voter()},
          {"abstains", leader_lease_->is_voter() && leader_lease_->is_abstaining(now)}};
}

nlohmann::json ClusterNode::datagrams_as_json() const {
  nlohmann::json dropped;
  for (std::size_t i = 0; i < decode_error_count; ++i) {
    dropped[std::string(name_of(static_cast<DecodeError>(i)))] = counters_.undecodable[i];
  }
  for (std::size_t i = 0; i < replay_error_count; ++i) {
    dropped[std::string(name_of(static_cast<ReplayError>(i)))] = counters_.replayed[i];
  }
  return {{"sent", counters_.sent},
          {"unsent", counters_.send_failures},
          {"heard", counters_.received},
          {"bytes_sent", counters_.bytes_sent},
          {"dropped", dropped}};
}

nlohmann::json ClusterNode::budgets_as_json() {
  const bool is_allocator = quota_allocator_ && is_leader();
  nlohmann::json budgets = nlohmann::json::array();
  for (std::size_t i = 0; quota_client_ && i < config_.quota->budgets.size(); ++i) {
    const FleetBudget& budget = config_.quota->budgets[i];
    budgets.push_back({{"name", budget.name},
                       {"whole", budget.total},
                       {"floor", budget.guaranteed_minimum},
                       {"window_ms", budget.window_ms},
                       {"own", quota_client_->allowance(now_ms(), i)},
                       {"left", quota_client_->available(now_ms(), i)},
                       {"granted", quota_client_->counters(i).granted},
                       {"denied", quota_client_->counters(i).denied},
                       {"given_by_us", is_allocator ? quota_allocator_->max_in_use(now_ms(), i) : 0}});
  }
  return {{"budgets", budgets},
          {"shared", quota_client_ && quota_client_->has_grant(now_ms())},
          {"seated", quota_client_ && quota_client_->is_registered(now_ms())},
          {"full", quota_client_ && quota_client_->is_rejected_at_capacity()},
          {"sharers", is_allocator ? quota_allocator_->holder_count(now_ms()) : 0}};
}

}  // namespace indigorill
