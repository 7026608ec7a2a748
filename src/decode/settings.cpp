#include "settings.h"

namespace indigorill {

using nlohmann::json;

terrain decode_settings(const fields& f) {
  terrain t;
  for (const json& j : f.list("methods")) {
    const fields m = f.entry("methods", j);
    method to;
    to.name = m.text("name");
    to.utility = m.number("utility", 1);
    to.late_utility = m.number("overdueUtility", 0);
    to.repeats = m.word<repeatable>("effect", {{"retryable", repeatable::idempotent},
                                               {"dedup", repeatable::deduplicated},
                                               {"fragile", repeatable::non_idempotent}});
    // Without either no RPC could ever be in time.
    to.deadline = m.find("deadline") ? m.some_span("deadline", 0) : 0;
    to.latency_target = m.some_span("latencyTarget", to.deadline);
    if (m.find("group"))
      to.drops_repeats =
          m.word<group>("group", {{"all", group::everywhere}, {"zone", group::zone}, {"cell", group::cell}});
    to.remembers = m.span("dedupWindow");
    t.methods.push_back(to);
  }
  if (t.methods.empty()) f.fault("names no methods");
  t.zone = f.text("zone", "");
  t.tick = f.span("round", 1);
  t.sidecars = f.number("balancers", 1);
  t.must_ask = f.text("discovery", "automatic") == "subscribe";
  t.warm_keys = f.inner("familyInfo").mark("warmKeys");
  const fields bounds = f.inner("bounds");
  t.most_picks = bounds.small("maxPicks", 1);
  if (t.most_picks == 0) bounds.fault("field maxPicks is 0, so that nothing may be sent");
  t.cancelling = bounds.mark("cancelling");
  t.probing = bounds.mark("probes");
  t.longest_retry_after = bounds.mark("retryAfter") ? bounds.span("maxRetryAfter") : 0;
  const fields reporting = f.inner("reporting");
  for (const json& j : reporting.list("fields")) t.probes_report |= j == held_word;
  t.probes_report &= reporting.text("how", "none") != "none";
  const fields charges = f.inner("charges");
  t.cross_zone_price = charges.number("crossZone", 0);
  t.probe_price = charges.number("probe", 0);
  t.handshake_price = charges.number("handshake", 0);
  const fields rules = f.inner("rules");
  t.ask_within = rules.span("askWithin", 10000);
  t.cold_from = rules.number("coldFrom", 1);
  t.cold_for = rules.span("cold");
  t.cold_multiple = rules.number("overloadFactor", 1);
  t.cold_span = rules.span("fall");
  for (const json& j : f.list("parties")) {
    const fields p = f.entry("parties", j);
    constexpr double a_second = 1000;
    t.tenants.push_back({p.text("name"), p.number("allowancePerS", 0) / a_second});
    if (!(t.tenants.back().allowance >= 0)) p.fault("field allowancePerS is below 0");
  }
  t.surplus_utility = f.number("surplusUtility", 1);
  if (!(t.surplus_utility >= 0 && t.surplus_utility <= 1)) f.fault("field surplusUtility is not 0 to 1");
  t.marks_repeats = f.inner("callers").mark("marksRetry");
  t.telling = bounds.mark("mayTell");
  t.message_price = charges.number("peer", 0);
  if (!(t.message_price >= 0)) f.fault("field charges.peer is below 0");
  return t;
}

links decode_links(const fields& f) {
  const fields bounds = f.inner("bounds");
  links l;
  l.idle = bounds.span("keepalive", l.idle);
  l.connect = bounds.some_span("connectTimeout", l.connect);
  l.grace = f.inner("rules").span("drainGrace", l.grace);
  return l;
}

}  // namespace indigorill
