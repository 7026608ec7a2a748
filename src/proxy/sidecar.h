/// @file
/// One sidecar process: owns its parts, built in the order of their dependencies, and connects them.
#pragma once

#include <functional>
#include <memory>

#include "admin/admin_server.h"
#include "cluster/cluster_node.h"
#include "config/sidecar_config.h"
#include "discovery/discovery_client.h"
#include "ejection/manual_ejection.h"
#include "event/event_loop.h"
#include "hot_restart/hot_restart.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/endpoint_registry.h"
#include "proxy/http_server.h"
#include "proxy/request_dispatcher.h"
#include "proxy/signal_watcher.h"
#include "proxy/upstream_pool.h"

namespace indigorill {

class Sidecar {
 public:
  /// Reads the config again after SIGHUP. Throws ConfigError if it is not valid.
  using ReloadConfig = std::function<SidecarConfig()>;

  /// Builds all parts and restores the config's endpoint list. Throws ConfigError if the limits allow too few
  /// descriptors, and std::system_error if the kernel refuses a resource. `logger` must outlive the sidecar.
  Sidecar(const SidecarConfig& config, ReloadConfig reload_config, Logger& logger);

  /// Opens the listeners and serves until SIGTERM or SIGINT is received and all client connections are
  /// drained. To be called once.
  void run();

 private:
  // Limits. During a hot restart each of the two processes keeps to its fraction.
  std::size_t descriptor_limit() const;
  HttpServer::Limits http_server_limits() const;
  void reduce_to_limits();

  // Start.
  void open_listeners();
  void start_hot_restart();
  void start_serving();
  void start_polling_endpoints();

  // The cluster of sidecars.
  void use_fleet_retry_quota();
  void join_cluster();
  void leave_cluster();

  // Signals.
  void on_signal(int signal_number);
  void reload_discovery();
  void stop();
  void log_counters();
  void schedule_counters_log();

  // Requests on the admin address.
  void handle_admin_request(const AdminRequest& request, const AdminServer::ResponseCallback& respond);
  void respond_with_cluster_state(const AdminRequest& request, const AdminServer::ResponseCallback& respond);
  void change_ejection(const AdminRequest& request, const AdminServer::ResponseCallback& respond);
  void apply_ejections(const EjectionRecord& record);

  // The other process during a hot restart.
  void on_hot_restart_change();
  void restore_parent_endpoint_list();
  void log_hot_restart_change();

  SidecarConfig config_;
  ReloadConfig reload_config_;
  Logger& logger_;
  std::size_t reserved_descriptors_;
  // Before the parts that take time to build, because an unblocked SIGHUP ends the process.
  SignalWatcher signal_watcher_;
  FileDescriptor inherited_listener_;
  EventLoop event_loop_;
  Counters counters_;
  std::unique_ptr<HotRestart> hot_restart_;  // null without an admin address and an inherited listener
  FileDescriptorBudget descriptor_budget_;
  UpstreamPool upstream_pool_;
  RequestDispatcher dispatcher_;
  HttpServer http_server_;
  ManualEjections ejections_;
  EndpointRegistry endpoints_;
  DiscoveryClient discovery_;
  std::unique_ptr<ClusterNode> cluster_node_;  // null while this process is not part of the cluster
  EventLoop::Watch signal_watch_;
  EventLoop::Timer counters_timer_;
  AdminServer admin_server_;
  double started_at_ms_ = 0;
  bool serving_ = false;
  bool stopping_ = false;
  bool was_paired_ = false;         // as last logged
  bool was_force_closing_ = false;  // as last logged
};

/// Builds a sidecar and runs it; throws what its constructor throws.
void run_sidecar(const SidecarConfig& config, const Sidecar::ReloadConfig& reload_config, Logger& logger);

}  // namespace indigorill
