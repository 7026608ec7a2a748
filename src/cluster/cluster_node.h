// This sidecar among the others: its datagrams, and the membership that they carry. The only place that reads
// the clock for them: one that goes on while the machine sleeps.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>

#include "cluster/datagram_socket.h"
#include "cluster/envelope.h"
#include "logging/logger.h"
#include "membership/membership.h"

namespace indigorill {

class ClusterNode {
 public:
  struct Config {
    std::string fleet;                                        // datagrams of any other are dropped
    std::string name;                                         // the sidecar's own
    sockaddr_in listen_address{};                             // for datagrams
    std::string advertised_address;                           // where others reach it: address:port
    std::vector<std::string> seed_addresses;                  // of those it joins through
    double probe_interval_ms = 1000, probe_timeout_ms = 300;  // ms
    // Who grants the right to divide; none: nobody divides.
    std::vector<std::string> voters;
    double lease_ms = 10000;  // ms
    std::optional<QuotaConfig> quota;
    double max_clock_drift = 0.01;  // by how much a clock's rate may be off
  };
  struct Counters {
    std::uint64_t sent = 0, send_failures = 0, received = 0, bytes_sent = 0;
    std::array<std::uint64_t, decode_error_count> dropped{};
  };

  ClusterNode(EventLoop& in, Logger& log_to, Config with, std::uint64_t seed);

  // What is left to spend of a budget now, and the spending itself, by the clock at that very moment; without
  // that budget there is no bound.
  double available(std::string_view budget);
  bool try_acquire(std::string_view budget);
  void record_demand(std::string_view budget);  // and not had
  nlohmann::json budgets_as_json();             // for staff

  void leave();                    // says so; nothing is said or heard after it
  nlohmann::json as_json() const;  // for staff
  const Counters& counters() const { return counters_; }

 private:
  void open_socket();
  void on_datagram(std::string_view bytes);
  void run_due_work();
  void send(const std::string& to, Envelope e);
  void run_leader_lease();
  void request_quota();
  QuotaGrant answer_quota_request(const QuotaRequest& a);
  std::optional<std::size_t> budget_index(std::string_view budget) const;
  void log_changes();
  double now_ms() const;  // ms since the machine's start, its sleep included

  EventLoop& event_loop_;
  Logger& logger_;
  Config config_;
  Membership membership_;
  std::knuth_b random_;
  std::optional<LeaderLease> leader_lease_;
  std::optional<QuotaAllocator> quota_allocator_;  // while this one has the right
  std::optional<QuotaClient> quota_client_;
  double next_quota_request_at_ = 0;
  std::string allocator_name_;         // to ask, "": any voter
  int unanswered_quota_requests_ = 0;  // questions since the last answer
  bool may_follow_redirect_ = false;
  bool logged_quota_refused_ = false;
  ReplayFilter replay_filter_;
  std::unique_ptr<DatagramSocket> socket_;
  EventLoop::Timer work_timer_;
  std::uint64_t last_sequence_number_ = 0;
  bool has_left_ = false;
  std::map<std::string, Member::State> logged_states_;
  bool logged_displaced_ = false;
  std::string logged_leader_;
  Counters counters_;
};

}  // namespace indigorill
