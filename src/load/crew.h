// Sidecars as real processes that talk over the stand-in wire: started, stopped, killed and asked by their
// number.
#pragma once

#include <nlohmann/json.hpp>

#include "load/process.h"
#include "load/wire.h"

namespace indigorill::loading {

// How they talk; absent: they don't, and no options file is written.
struct GossipOptions {
  std::string cluster_name = "crew";
  double probe_interval_ms = 1000, probe_timeout_ms = 300;  // ms
  int seed_count = 2;                                       // the first so many are told to all
  DatagramProxy::NetworkConditions conditions = {};
  int voter_count = 0;  // the first so many
  double lease_ms = 10000;
  double quota_refresh_ms = 2000, registration_lease_ms = 60000;  // ms
  double retries_per_second = 0, guaranteed_minimum = 0;          // a second, over all; 0: no budget
  int max_quota_holders = 100;
};

void write_file(const std::filesystem::path& where, const std::string& text);

class SidecarProcesses {
 public:
  // config: of one sidecar, given where it listens.
  SidecarProcesses(EventLoop& in, std::string command, std::vector<sockaddr_in> places,
                   const std::function<nlohmann::json(std::size_t)>& config,
                   const std::optional<GossipOptions>& how, std::uint64_t seed);

  std::size_t size() const { return addresses_.size(); }
  const sockaddr_in& address(std::size_t i) const { return addresses_[i]; }
  SidecarProcess& process(std::size_t i) { return *processes_[i]; }
  void start(std::size_t i) { processes_[i]->start(); }
  bool wait_until_ready(std::size_t i, double within);  // until it serves
  // What it says on its second address, as JSON; null where it says nothing within a second.
  nlohmann::json admin_query(std::size_t i, const std::string& path);
  // Goes on until this holds, so many ms at most; asks every 50 ms.
  bool wait_until(const std::function<bool()>& holds, double within);
  void run_for(double ms);
  DatagramProxy& datagram_proxy() { return *datagram_proxy_; }
  // How sidecar i sees another: "alive", "suspect", "dead", "left"; "" if it doesn't know it.
  std::string membership_view(std::size_t i, std::size_t other);

 private:
  EventLoop& loop_;
  TemporaryDirectory directory_;
  std::vector<sockaddr_in> addresses_, admin_addresses_;
  std::vector<std::unique_ptr<SidecarProcess>> processes_;
  std::unique_ptr<DatagramProxy> datagram_proxy_;
};

}  // namespace indigorill::loading
