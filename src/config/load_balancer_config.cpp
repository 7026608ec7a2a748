#include "config/load_balancer_config.h"

namespace indigorill {

using nlohmann::json;

LoadBalancerConfig decode_load_balancer_config(const JsonFields& f) {
  LoadBalancerConfig t;
  for (const json& j : f.array("methods")) {
    const JsonFields m = f.element("methods", j);
    MethodConfig to;
    to.name = m.string("name");
    to.priority_weight = m.number("utility", 1);
    to.late_weight = m.number("overdueUtility", 0);
    to.retry_safety = m.enum_value<RetrySafety>("effect", {{"retryable", RetrySafety::idempotent},
                                                           {"dedup", RetrySafety::idempotency_key},
                                                           {"fragile", RetrySafety::non_idempotent}});
    // Without either no RPC could ever be in time.
    to.deadline_ms = m.find("deadline") ? m.positive_duration_ms("deadline", 0) : 0;
    to.latency_objective_ms = m.positive_duration_ms("latencyTarget", to.deadline_ms);
    if (m.find("group"))
      to.deduplication_scope =
          m.enum_value<DeduplicationScope>("group", {{"all", DeduplicationScope::global},
                                                     {"zone", DeduplicationScope::zone},
                                                     {"cell", DeduplicationScope::cell}});
    to.deduplication_window_ms = m.duration_ms("dedupWindow");
    t.methods.push_back(to);
  }
  if (t.methods.empty()) f.fail("names no methods");
  t.zone = f.string("zone", "");
  t.tick_ms = f.duration_ms("round", 1);
  t.sidecar_count = f.number("balancers", 1);
  t.must_poll_endpoints = f.string("discovery", "automatic") == "subscribe";
  t.key_affinity = f.object("familyInfo").boolean("warmKeys");
  const JsonFields bounds = f.object("bounds");
  t.max_attempts = bounds.integer("maxPicks", 1);
  if (t.max_attempts == 0) bounds.fail_field("maxPicks", "is 0, so that nothing may be sent");
  t.cancellation_enabled = bounds.boolean("cancelling");
  t.probing_enabled = bounds.boolean("probes");
  t.max_retry_after_ms = bounds.boolean("retryAfter") ? bounds.duration_ms("maxRetryAfter") : 0;
  const JsonFields reporting = f.object("reporting");
  for (const json& j : reporting.array("fields")) t.probes_report_load |= j == in_flight_key;
  t.probes_report_load &= reporting.string("how", "none") != "none";
  const JsonFields charges = f.object("charges");
  t.cross_zone_cost = charges.number("crossZone", 0);
  t.probe_cost = charges.number("probe", 0);
  t.handshake_cost = charges.number("handshake", 0);
  const JsonFields rules = f.object("rules");
  t.max_poll_silence_ms = rules.duration_ms("askWithin", 10000);
  t.slow_start_initial_weight = rules.number("coldFrom", 1);
  t.slow_start_duration_ms = rules.duration_ms("cold");
  t.slow_start_overload_factor = rules.number("overloadFactor", 1);
  t.slow_start_burst_ms = rules.duration_ms("fall");
  for (const json& j : f.array("parties")) {
    const JsonFields p = f.element("parties", j);
    constexpr double a_second = 1000;
    t.tenants.push_back({p.string("name"), p.number("allowancePerS", 0) / a_second});
    if (!(t.tenants.back().allowance_per_ms >= 0)) p.fail_field("allowancePerS", "is below 0");
  }
  t.over_quota_weight = f.number("surplusUtility", 1);
  if (!(t.over_quota_weight >= 0 && t.over_quota_weight <= 1))
    f.fail_field("surplusUtility", "is not 0 to 1");
  t.clients_mark_retries = f.object("callers").boolean("marksRetry");
  t.gossip_enabled = bounds.boolean("mayTell");
  t.gossip_message_cost = charges.number("peer", 0);
  if (!(t.gossip_message_cost >= 0)) f.fail_field("charges.peer", "is below 0");
  return t;
}

ConnectionConfig decode_connection_config(const JsonFields& f) {
  const JsonFields bounds = f.object("bounds");
  ConnectionConfig l;
  l.idle_timeout_ms = bounds.duration_ms("keepalive", l.idle_timeout_ms);
  l.connect_timeout_ms = bounds.positive_duration_ms("connectTimeout", l.connect_timeout_ms);
  l.drain_grace_ms = f.object("rules").duration_ms("drainGrace", l.drain_grace_ms);
  return l;
}

}  // namespace indigorill
