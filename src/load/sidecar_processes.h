/// \file
/// A group of sidecars as real processes that reach each other through a DatagramProxy.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "load/datagram_proxy.h"
#include "load/sidecar_process.h"

namespace indigorill::load_generator {

/// Gossip of the sidecars: the contents of their options files, and the conditions of the network between
/// them.
struct GossipOptions {
  std::string cluster_name = "crew";
  double probe_interval_ms = 1000;
  double probe_timeout_ms = 300;
  int seed_count = 2;  ///< this many of the first sidecars are the seeds of all
  DatagramProxy::NetworkConditions conditions = {};
  int voter_count = 0;  ///< this many of the first sidecars are the voters
  double lease_ms = 10000;
  double quota_refresh_ms = 2000;
  double registration_lease_ms = 60000;
  double retries_per_second = 0;  ///< retry quota of all sidecars together; 0: no quota
  double guaranteed_minimum = 0;  ///< guaranteed retries per second of each sidecar
  int max_quota_holders = 100;
};

/// Throws std::runtime_error if the file can't be written.
void write_file(const std::filesystem::path& path, const std::string& text);

/// Sidecars are numbered from 0 and named n0, n1, ...; the destructor kills all of them.
class SidecarProcesses {
 public:
  using ConfigFactory = std::function<nlohmann::json(std::size_t sidecar)>;

  /// `addresses`: the addresses that the sidecars listen on. Without gossip options, the sidecars have no
  /// options file and don't gossip.
  SidecarProcesses(EventLoop& loop, const std::string& command, std::vector<sockaddr_in> addresses,
                   const ConfigFactory& make_config, const std::optional<GossipOptions>& gossip,
                   std::uint64_t seed);

  std::size_t size() const { return addresses_.size(); }
  const sockaddr_in& address(std::size_t sidecar) const { return addresses_[sidecar]; }
  SidecarProcess& process(std::size_t sidecar) { return *processes_[sidecar]; }
  void start(std::size_t sidecar) { processes_[sidecar]->start(); }
  /// Replaces the sidecar's config file; the new file takes effect at the next SIGHUP or start. Only without
  /// gossip options.
  void replace_config(std::size_t sidecar, const nlohmann::json& config) const;
  bool wait_until_ready(std::size_t sidecar, double timeout_ms);

  /// The answer of the sidecar's admin address as JSON; null if no valid answer with status 200 comes within
  /// 1 s.
  nlohmann::json admin_query(std::size_t sidecar, const std::string& path);
  /// The state of `other` in the view of `sidecar`: "alive", "suspect", "dead", "left"; "" if unknown.
  std::string membership_view(std::size_t sidecar, std::size_t other);

  /// Runs the event loop until the condition holds, which is checked every 50 ms; false after the timeout.
  bool wait_until(const std::function<bool()>& condition, double timeout_ms);
  void run_for(double duration_ms);
  /// Exists only with gossip options.
  DatagramProxy& datagram_proxy() { return *datagram_proxy_; }

 private:
  SidecarProcess::Environment write_files(std::size_t sidecar, nlohmann::json config,
                                          const std::optional<GossipOptions>& gossip,
                                          const std::vector<sockaddr_in>& datagram_addresses);

  EventLoop& loop_;
  TemporaryDirectory directory_;
  std::vector<sockaddr_in> addresses_;
  std::vector<sockaddr_in> admin_addresses_;
  std::vector<std::unique_ptr<SidecarProcess>> processes_;
  std::unique_ptr<DatagramProxy> datagram_proxy_;
};

}  // namespace indigorill::load_generator
