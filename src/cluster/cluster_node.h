/// \file
/// One sidecar's node in the cluster of its fleet: membership, the leader lease and quotas on one datagram
/// socket.
///
/// Only this class reads the clock for the three of them: CLOCK_BOOTTIME, which keeps running while the
/// machine is suspended. Safety: the guarantee that no budget is exceeded depends only on the lease and the
/// quota, and on each of their functions being called with the current time. Membership only provides
/// addresses; a wrong address costs a datagram.
#pragma once

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/datagram_socket.h"
#include "cluster/envelope.h"
#include "cluster/replay_filter.h"
#include "event/event_loop.h"
#include "lease/leader_lease.h"
#include "logging/logger.h"
#include "membership/member_name.h"
#include "membership/membership.h"
#include "quota/quota_allocator.h"
#include "quota/quota_client.h"
#include "quota/quota_config.h"

namespace indigorill {

/// Must be used and destroyed on the event loop's thread. The loop and the logger must outlive it.
class ClusterNode {
 public:
  struct Config {
    std::string fleet;               ///< Name of the fleet; datagrams of other fleets are dropped.
    std::string name;                ///< Name of the sidecar, unique in its fleet; see is_valid_name.
    sockaddr_in listen_address{};    ///< Address that datagrams are received at.
    std::string advertised_address;  ///< Address that others send datagrams to, "address:port".
    std::vector<std::string> seed_addresses;  ///< Addresses of the members through which it joins.
    double probe_interval_ms = 1000;
    double probe_timeout_ms = 300;
    std::vector<std::string> voters;   ///< Members that elect the leader; without voters there is none.
    double lease_ms = 10000;           ///< Duration of the leader's lease, in ms.
    std::optional<QuotaConfig> quota;  ///< Budgets that the leader allocates; requires voters.
    double max_clock_drift = 0.01;     ///< Bound on the relative error of any clock's rate.
  };

  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t send_failures = 0;  ///< Includes datagrams that were too long or for an unknown address.
    std::uint64_t received = 0;       ///< Includes those that were dropped.
    std::uint64_t bytes_sent = 0;
    std::array<std::uint64_t, decode_error_count> undecodable{};  ///< Dropped datagrams, by DecodeError.
    std::array<std::uint64_t, replay_error_count> replayed{};     ///< Dropped datagrams, by ReplayError.
  };

  /// If the address is in use, for example by an older process of this sidecar, binding it is retried later.
  ClusterNode(EventLoop& event_loop, Logger& logger, Config config, std::uint64_t seed);

  /// Units of a budget that this sidecar may use now. A budget that is not configured is unlimited.
  double available(std::string_view budget);
  /// Takes one unit if one is available, and returns whether it did. A budget that is not configured is
  /// unlimited.
  bool try_acquire(std::string_view budget);
  /// Counts one unit as demanded without acquiring it.
  void record_demand(std::string_view budget);

  /// Resigns as leader, announces that this sidecar leaves, and frees the address. Nothing is sent or
  /// received afterwards.
  void leave();

  /// The status of membership, lease and datagrams, for GET /-/members.
  nlohmann::json as_json() const;
  /// The status of all budgets, for GET /-/budgets.
  nlohmann::json budgets_as_json();
  const Counters& counters() const { return counters_; }

 private:
  static double now_ms();

  void open_socket();
  void run_due_work();
  double next_work_at() const;

  // Datagrams.
  void on_datagram(std::string_view bytes);
  void dispatch(const Envelope& envelope);
  void send(const std::string& address, Envelope envelope);
  void log_drop(std::string_view bytes, std::string_view reason);

  // Membership and the leader lease.
  void send_membership_messages();
  void run_leader_lease();
  bool is_leader() const;
  std::string known_leader() const;

  // Quotas.
  void request_quota();
  void send_quota_request(QuotaRequest request);
  bool can_reach_allocator() const;
  QuotaGrant answer_quota_request(const QuotaRequest& request);
  void on_quota_grant(const QuotaGrant& grant);
  std::optional<std::size_t> budget_index(std::string_view budget) const;

  // Log lines about changes since the last call.
  void log_changes();
  void log_leader();
  void log_member_states();
  void log_displacement();
  void log_quota_rejection();

  nlohmann::json members_as_json() const;
  nlohmann::json lease_as_json() const;
  nlohmann::json datagrams_as_json() const;

  EventLoop& event_loop_;
  Logger& logger_;
  Config config_;
  std::knuth_b random_;
  std::unique_ptr<DatagramSocket> socket_;  // null while the address is not available, and after leave()
  EventLoop::Timer work_timer_;
  ReplayFilter replay_filter_;
  std::uint64_t last_sequence_number_ = 0;
  bool has_left_ = false;
  Counters counters_;

  Membership membership_;
  std::optional<LeaderLease> leader_lease_;        // set if there are voters
  std::optional<QuotaAllocator> quota_allocator_;  // set while this node leads, from the first request on
  std::optional<QuotaClient> quota_client_;        // set if there are voters and a quota
  double next_quota_request_at_ = 0;
  std::string allocator_name_;         // member to send quota requests to; empty for a random voter
  int unanswered_quota_requests_ = 0;  // requests since the last answer
  bool may_follow_redirect_ = false;

  std::string logged_leader_;
  std::map<std::string, Member::State> logged_states_;
  bool logged_displaced_ = false;
  bool logged_quota_rejected_ = false;
};

}  // namespace indigorill
