#include "config/load_balancer_config.h"

namespace indigorill {
namespace {

using Json = nlohmann::json;

MethodConfig decode_method(const JsonFields& fields) {
  MethodConfig method;
  method.name = fields.string("name");
  method.priority_weight = fields.number("utility", 1);
  method.late_weight = fields.number("overdueUtility", 0);
  method.retry_safety = fields.enum_value<RetrySafety>("effect", {{"retryable", RetrySafety::idempotent},
                                                                  {"dedup", RetrySafety::idempotency_key},
                                                                  {"fragile", RetrySafety::non_idempotent}});
  // One of deadline and latencyTarget is required; without both, no RPC could be on time.
  method.deadline_ms = fields.find("deadline") ? fields.positive_duration_ms("deadline", 0) : 0;
  method.latency_objective_ms = fields.positive_duration_ms("latencyTarget", method.deadline_ms);
  if (fields.find("group"))
    method.deduplication_scope =
        fields.enum_value<DeduplicationScope>("group", {{"all", DeduplicationScope::global},
                                                        {"zone", DeduplicationScope::zone},
                                                        {"cell", DeduplicationScope::cell}});
  method.deduplication_window_ms = fields.duration_ms("dedupWindow");
  return method;
}

TenantConfig decode_tenant(const JsonFields& fields) {
  constexpr double ms_per_s = 1000;
  TenantConfig tenant{fields.string("name"), fields.number("allowancePerS", 0) / ms_per_s};
  if (!(tenant.allowance_per_ms >= 0)) fields.fail_field("allowancePerS", "is below 0");
  return tenant;
}

bool decode_probes_report_load(const JsonFields& reporting) {
  bool reports_in_flight = false;
  for (const Json& field : reporting.array("fields")) reports_in_flight |= field == in_flight_key;
  const bool sends_reports = reporting.string("how", "none") != "none";
  return reports_in_flight && sends_reports;
}

void decode_bounds(const JsonFields& bounds, LoadBalancerConfig& config) {
  config.max_attempts = bounds.integer("maxPicks", 1);
  if (config.max_attempts == 0) bounds.fail_field("maxPicks", "is 0, which allows no attempts");
  config.cancellation_enabled = bounds.boolean("cancelling");
  config.probing_enabled = bounds.boolean("probes");
  config.max_retry_after_ms = bounds.boolean("retryAfter") ? bounds.duration_ms("maxRetryAfter") : 0;
}

void decode_charges(const JsonFields& charges, LoadBalancerConfig& config) {
  config.cross_zone_cost = charges.number("crossZone", 0);
  config.probe_cost = charges.number("probe", 0);
  config.handshake_cost = charges.number("handshake", 0);
}

void decode_rules(const JsonFields& rules, LoadBalancerConfig& config) {
  constexpr double default_max_poll_silence_ms = 10000;
  config.max_poll_silence_ms = rules.duration_ms("askWithin", default_max_poll_silence_ms);
  config.slow_start_initial_weight = rules.number("coldFrom", 1);
  config.slow_start_duration_ms = rules.duration_ms("cold");
  config.slow_start_overload_factor = rules.number("overloadFactor", 1);
  config.slow_start_burst_ms = rules.duration_ms("fall");
}

}  // namespace

LoadBalancerConfig decode_load_balancer_config(const JsonFields& settings) {
  LoadBalancerConfig config;
  for (const Json& method : settings.array("methods"))
    config.methods.push_back(decode_method(settings.element("methods", method)));
  if (config.methods.empty()) settings.fail("lists no methods");
  config.zone = settings.string("zone", "");
  config.tick_ms = settings.duration_ms("round", 1);
  config.sidecar_count = settings.number("balancers", 1);
  config.must_poll_endpoints = settings.string("discovery", "automatic") == "subscribe";
  config.key_affinity = settings.object("familyInfo").boolean("warmKeys");
  const JsonFields bounds = settings.object("bounds");
  decode_bounds(bounds, config);
  config.probes_report_load = decode_probes_report_load(settings.object("reporting"));
  const JsonFields charges = settings.object("charges");
  decode_charges(charges, config);
  decode_rules(settings.object("rules"), config);
  for (const Json& tenant : settings.array("parties"))
    config.tenants.push_back(decode_tenant(settings.element("parties", tenant)));
  config.over_quota_weight = settings.number("surplusUtility", 1);
  if (!(config.over_quota_weight >= 0 && config.over_quota_weight <= 1))
    settings.fail_field("surplusUtility", "is not in the range 0 to 1");
  config.clients_mark_retries = settings.object("callers").boolean("marksRetry");
  config.gossip_enabled = bounds.boolean("mayTell");
  config.gossip_message_cost = charges.number("peer", 0);
  if (!(config.gossip_message_cost >= 0)) settings.fail_field("charges.peer", "is below 0");
  return config;
}

ConnectionConfig decode_connection_config(const JsonFields& settings) {
  const JsonFields bounds = settings.object("bounds");
  ConnectionConfig config;
  config.idle_timeout_ms = bounds.duration_ms("keepalive", config.idle_timeout_ms);
  config.connect_timeout_ms = bounds.positive_duration_ms("connectTimeout", config.connect_timeout_ms);
  config.drain_grace_ms = settings.object("rules").duration_ms("drainGrace", config.drain_grace_ms);
  return config;
}

}  // namespace indigorill
