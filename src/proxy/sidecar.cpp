#include "proxy/sidecar.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace indigorill {
namespace {

// The name, in the config of the cluster, of the quota of retries that all sidecars of a fleet share.
constexpr const char* retry_quota_name = "further_picks";

// Descriptors that are in no budget. Throws ConfigError if they would take half or more of the allowed ones.
std::size_t checked_reserved_descriptors(const SidecarConfig& config) {
  // Standard input, output and error, epoll, signals, the listener, and a reserve.
  constexpr std::size_t own_descriptors = 16;
  constexpr std::size_t cluster_descriptors = 1;
  const std::size_t reserved = own_descriptors +
                               (config.admin_address ? AdminServer::reserved_descriptors : 0) +
                               (config.cluster ? cluster_descriptors : 0);
  if (config.max_descriptors <= 2 * reserved)
    throw ConfigError(
        {.file = {},
         .field = "config.limits",
         .cause = "has a sockets value that is too low: too few descriptors would be left for connections"});
  return reserved;
}

std::unique_ptr<HotRestart> make_hot_restart(const SidecarConfig& config, EventLoop& event_loop,
                                             Logger& logger) {
  if (!config.admin_address && !config.inherited_listener_fd) return nullptr;
  return std::make_unique<HotRestart>(event_loop, logger, config.shared_directory, config.name);
}

double limit_fraction(const HotRestart* hot_restart) {
  return hot_restart ? hot_restart->policy().limit_fraction() : 1;
}

// The longest time that a client waits, according to the config.
double longest_client_wait_ms(const LoadBalancerConfig& config) {
  double longest_ms = 0;
  for (const MethodConfig& method : config.methods)
    longest_ms = std::max({longest_ms, method.deadline_ms, method.latency_objective_ms});
  return longest_ms > 0 ? longest_ms : HttpServer::Limits{}.max_client_wait_ms;
}

}  // namespace

Sidecar::Sidecar(const SidecarConfig& config, ReloadConfig reload_config, Logger& logger)
    : config_(config),
      reload_config_(std::move(reload_config)),
      logger_(logger),
      reserved_descriptors_(checked_reserved_descriptors(config_)),
      inherited_listener_(config_.inherited_listener_fd ? adopt_listener_fd(*config_.inherited_listener_fd)
                                                        : FileDescriptor()),
      hot_restart_(make_hot_restart(config_, event_loop_, logger_)),
      descriptor_budget_{descriptor_limit()},
      upstream_pool_(event_loop_, descriptor_budget_, counters_, logger_, config_.upstream,
                     [this] { return http_server_.close_idle_connection(); }),
      dispatcher_(event_loop_, upstream_pool_, counters_, logger_, config_.load_balancer, config_.seed),
      http_server_(event_loop_, descriptor_budget_, counters_, logger_, dispatcher_, http_server_limits(),
                   [this] { return upstream_pool_.close_idle_connection(); }),
      endpoints_(upstream_pool_, dispatcher_, ejections_, logger_),
      discovery_(
          event_loop_, descriptor_budget_, counters_, logger_, config_.discovery_address,
          config_.discovery_host, config_.seed + 1, config_.upstream.drain_grace_ms,
          [this](const EndpointListUpdate& update) {
            endpoints_.apply(update, EndpointRegistry::Source::poll_response);
          },
          [this](double poll_duration_ms) { dispatcher_.endpoint_poll_failed(poll_duration_ms); }),
      admin_server_(event_loop_, counters_,
                    [this](const AdminRequest& request, const AdminServer::ResponseCallback& respond) {
                      handle_admin_request(request, respond);
                    }) {
  EndpointListUpdate initial = config_.initial_endpoints;
  initial.complete = true;
  endpoints_.apply(initial, EndpointRegistry::Source::restored);
  if (config_.cluster && config_.cluster->quota) use_fleet_retry_quota();
  signal_watch_ = signal_watcher_.watch(event_loop_, [this](int signal_number) { on_signal(signal_number); });
  schedule_counters_log();
}

void Sidecar::run() {
  started_at_ms_ = event_loop_.now();
  open_listeners();
  if (hot_restart_)
    start_hot_restart();
  else
    start_serving();
  event_loop_.run();
  log_counters();
}

std::size_t Sidecar::descriptor_limit() const {
  // The reserved descriptors are part of this process's fraction.
  constexpr std::size_t min_descriptors = 4;  // for the connection to discovery and a few others
  const auto allowed = static_cast<std::size_t>(limit_fraction(hot_restart_.get()) *
                                                static_cast<double>(config_.max_descriptors));
  return allowed > reserved_descriptors_ + min_descriptors ? allowed - reserved_descriptors_
                                                           : min_descriptors;
}

HttpServer::Limits Sidecar::http_server_limits() const {
  // Client connections may use two thirds of the descriptors, and those without an RPC a sixth. At least a
  // third is left for other connections, since each RPC in flight needs one descriptor for its attempt. A
  // third of the memory is for messages that client connections buffer, which leaves a third for responses
  // and a third for the overhead of the allocator.
  const std::size_t descriptors = descriptor_budget_.limit;
  const double memory_bytes =
      limit_fraction(hot_restart_.get()) * static_cast<double>(config_.max_memory_bytes);
  return {.max_connections = descriptors - descriptors / 3,
          .max_idle_connections = descriptors / 6,
          .max_buffered_bytes = static_cast<std::size_t>(memory_bytes / 3),
          .max_client_wait_ms = longest_client_wait_ms(config_.load_balancer)};
}

void Sidecar::reduce_to_limits() {
  descriptor_budget_.limit = descriptor_limit();
  http_server_.set_limits(http_server_limits());
  // Connections to endpoints first: the close of a client's connection may cross its next request.
  while (descriptor_budget_.open_count > descriptor_budget_.limit)
    if (!upstream_pool_.close_idle_connection() && !http_server_.close_idle_connection()) return;
}

void Sidecar::open_listeners() {
  if (config_.admin_address) admin_server_.listen(*config_.admin_address);
  http_server_.set_accepting(false);
  if (inherited_listener_)
    http_server_.use_listener(std::move(inherited_listener_));
  else
    http_server_.listen(config_.listen_address);
}

void Sidecar::start_hot_restart() {
  if (auto locks = hot_restart_->open_call_id_locks()) dispatcher_.share_call_ids(std::move(*locks));
  const EjectionRecord& record = hot_restart_->ejections();
  apply_ejections(record);
  // These endpoints were restored before this process started.
  for (const auto& [id, restored_at_ms] : record.restored_at_ms)
    dispatcher_.set_ejected_manually(id, false, restored_at_ms);
  hot_restart_->start([this] { on_hot_restart_change(); },
                      [this](const EjectionRecord& changed) { apply_ejections(changed); });
}

void Sidecar::start_serving() {
  serving_ = true;
  join_cluster();
  start_polling_endpoints();
  if (hot_restart_) hot_restart_->start_serving();
  http_server_.set_accepting(true);
  logger_.info() << config_.name << " serves, " << endpoints_.size() << " endpoints known";
}

void Sidecar::start_polling_endpoints() {
  // If many sidecars start at once and all poll for the complete list, the service that has it is busy with
  // these polls for longer than the starts last. So a sidecar that has a list polls only for changes to it.
  if (endpoints_.size() > 0) discovery_.set_known_version(endpoints_.version());
  if (config_.load_balancer.must_poll_endpoints) {
    dispatcher_.on_endpoint_poll([this] { discovery_.poll(); });
  } else {
    discovery_.enable_continuous_polling();
    discovery_.poll();
  }
}

void Sidecar::use_fleet_retry_quota() {
  // While this process is not part of the cluster, as for a moment during a hot restart, the shared quota is
  // empty.
  dispatcher_.use_fleet_retry_quota({
      .remaining = [this] { return cluster_node_ ? cluster_node_->available(retry_quota_name) : 0; },
      .try_consume = [this] { return cluster_node_ && cluster_node_->try_acquire(retry_quota_name); },
      .on_shortage =
          [this] {
            if (cluster_node_) cluster_node_->record_demand(retry_quota_name);
          },
  });
}

// Only one of the two processes of a sidecar is part of the cluster at a time: the parent until the child
// serves.
void Sidecar::join_cluster() {
  if (!config_.cluster || cluster_node_) return;
  cluster_node_ = std::make_unique<ClusterNode>(event_loop_, logger_, *config_.cluster, config_.seed + 2);
}

void Sidecar::leave_cluster() {
  if (cluster_node_) cluster_node_->leave();
  cluster_node_.reset();
}

void Sidecar::on_signal(int signal_number) {
  switch (signal_number) {
    case SIGUSR1:
      return log_counters();
    case SIGHUP:
      return reload_discovery();
    default:
      return stop();
  }
}

// Only the address of discovery can change while the process runs.
void Sidecar::reload_discovery() {
  try {
    const SidecarConfig reloaded = reload_config_();
    if (reloaded.discovery_host != config_.discovery_host)
      discovery_.switch_agent(reloaded.discovery_address, reloaded.discovery_host);
    config_.discovery_host = reloaded.discovery_host;
    logger_.info() << "config reloaded, discovery at " << config_.discovery_host;
  } catch (const ConfigError& error) {
    logger_.warning() << error.what() << "; the old config stays in force";
  }
}

void Sidecar::stop() {
  stopping_ = true;
  if (hot_restart_) hot_restart_->start_draining();
  leave_cluster();
  logger_.info() << "shutdown requested, " << dispatcher_.in_flight() << " RPCs in flight";
  http_server_.drain([this] { event_loop_.stop(); });
}

void Sidecar::log_counters() {
  std::stringstream text;
  text << counters_;
  std::string one_line = text.str();
  std::replace(one_line.begin(), one_line.end(), '\n', ' ');
  Logger::Line line = logger_.info();
  line << "counters: " << one_line;
  std::string name;
  for (std::int64_t value = 0; text >> name >> value;) line.field(name, value);
}

void Sidecar::schedule_counters_log() {
  if (config_.counters_interval_ms <= 0) return;
  counters_timer_ = event_loop_.schedule_at(event_loop_.now() + config_.counters_interval_ms, [this] {
    log_counters();
    schedule_counters_log();
  });
}

void Sidecar::handle_admin_request(const AdminRequest& request,
                                   const AdminServer::ResponseCallback& respond) {
  switch (request.command) {
    case AdminRequest::Command::status:
      return respond(serving_ && !stopping_ ? 200 : 503, {});
    case AdminRequest::Command::membership:
    case AdminRequest::Command::quotas:
      return respond_with_cluster_state(request, respond);
    case AdminRequest::Command::eject:
    case AdminRequest::Command::restore:
      return change_ejection(request, respond);
  }
}

void Sidecar::respond_with_cluster_state(const AdminRequest& request,
                                         const AdminServer::ResponseCallback& respond) {
  if (!cluster_node_) return respond(config_.cluster ? 503 : 404, {});
  const nlohmann::json state = request.command == AdminRequest::Command::quotas
                                   ? cluster_node_->budgets_as_json()
                                   : cluster_node_->as_json();
  respond(200, state.dump(1) + "\n");
}

void Sidecar::change_ejection(const AdminRequest& request, const AdminServer::ResponseCallback& respond) {
  if (!ejections_.is_known(request.endpoint_id)) return respond(404, {});
  const bool ejects = request.command == AdminRequest::Command::eject;
  hot_restart_->change_ejections(
      [this, id = request.endpoint_id, ejects](EjectionRecord& record) {
        if (ejects)
          eject_endpoint(record, id);
        else
          restore_endpoint(record, id, event_loop_.now());
      },
      [respond](bool changed) { respond(changed ? 200 : 503, {}); });
}

void Sidecar::apply_ejections(const EjectionRecord& record) {
  const std::vector<std::string> restored = ids_missing_from(record.ejected, ejections_.ejected());
  const std::vector<std::string> ejected = ids_missing_from(ejections_.ejected(), record.ejected);
  ejections_.replace_ejected(record.ejected);
  counters_.manually_ejected_endpoints = ejections_.ejected().size();
  for (const std::string& id : ejected) dispatcher_.set_ejected_manually(id, true, event_loop_.now());
  for (const std::string& id : restored) {
    const auto restored_at = record.restored_at_ms.find(id);
    const bool has_time = restored_at != record.restored_at_ms.end();
    dispatcher_.set_ejected_manually(id, false, has_time ? restored_at->second : event_loop_.now());
  }
  for (const std::string& id : ejected) logger_.info() << "endpoint " << id << " ejected by an operator";
  for (const std::string& id : restored)
    logger_.info() << "endpoint " << id << " restored by an operator, slow start begins";
}

void Sidecar::on_hot_restart_change() {
  // A parent process that is suspended must not keep the child from serving.
  constexpr double longest_wait_ms = 500;
  const HotRestartPolicy& policy = hot_restart_->policy();
  reduce_to_limits();
  const bool limits_reduced = policy.is_parent() && descriptor_budget_.open_count <= descriptor_budget_.limit;
  if (limits_reduced && !policy.own_record().limits_reduced) {
    hot_restart_->write_endpoint_list(encode_endpoint_list(endpoints_.snapshot()));
    ::malloc_trim(0);  // the child can use freed memory only once the kernel has it back
  }
  hot_restart_->set_limits_reduced(limits_reduced);
  if (!serving_ && (policy.can_start_serving() || event_loop_.now() > started_at_ms_ + longest_wait_ms)) {
    if (policy.is_child() && policy.can_start_serving()) restore_parent_endpoint_list();
    start_serving();
  }
  http_server_.set_force_closing(policy.is_force_closing());
  if (policy.is_force_closing())
    leave_cluster();
  else if (serving_ && !stopping_)
    join_cluster();
  http_server_.set_accepting(policy.is_accepting());
  log_hot_restart_change();
}

void Sidecar::restore_parent_endpoint_list() {
  const auto text = hot_restart_->read_endpoint_list();
  if (!text) return;
  try {
    endpoints_.apply(parse_endpoint_list(*text), EndpointRegistry::Source::restored);
  } catch (const ParseError& error) {
    logger_.warning()
        << "the parent process left no valid endpoint list; the one of this process stays in force: "
        << error.what();
  }
}

void Sidecar::log_hot_restart_change() {
  const HotRestartPolicy& policy = hot_restart_->policy();
  if (std::exchange(was_paired_, policy.is_paired()) != policy.is_paired()) {
    if (policy.is_parent())
      logger_.info() << "a child process of this sidecar is running; it may use up to half of the limits";
    else if (policy.is_child())
      logger_.info()
          << "a parent process of this sidecar is running; this process may use up to half of the limits";
    else
      logger_.info() << "the other process has ended; this process may use all of the limits";
  }
  if (std::exchange(was_force_closing_, policy.is_force_closing()) != policy.is_force_closing()) {
    if (policy.is_force_closing())
      logger_.info() << "the child process serves; each response closes its client connection, so that "
                        "clients move to the child";
    else
      logger_.info() << "the child process no longer serves; this process accepts client connections again";
  }
}

void run_sidecar(const SidecarConfig& config, const Sidecar::ReloadConfig& reload_config, Logger& logger) {
  Sidecar sidecar(config, reload_config, logger);
  sidecar.run();
}

}  // namespace indigorill
