// All decisions of indigorill. A host (include/indigorill/balance.h) tells one balancer what happened, then
// calls next() until it has no more to decide. The ordinary path is the design's weighted draw: see draw().
// Beside it: load, lateness, cold servers, further picks, push-back and place (docs/design.md).
#include "indigorill/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "load_gossip/peer_load_table.h"

namespace indigorill {
namespace {

constexpr double never = -1e18;
constexpr std::uint64_t maintenance_timer_id = 1, due_timer_id = 2;

struct TrackedRpc;
struct TrackedEndpoint;

struct MachineTypeStats {  // of machine
  double service_time_ms = 0, response_count = 0;
};

struct Attempt {
  TrackedEndpoint* endpoint;
  TrackedRpc* rpc;
  int index;
  double sent_at_ms, queue_depth_when_sent;
  bool is_outstanding = true, may_have_run = true, is_retry = false, is_released = false;
};

struct OutcomeSample {  // the outcome of a send
  double at_ms;
  bool has_failed;
};

struct TrackedEndpoint {
  bool is_ready = false, connection_limited = false, is_listed = false,
       ejected_manually = false;  // out: by hand, whatever the list says
  int cell = 0;
  std::size_t zone_index = 0;  // its place among the zones met
  double started_at_ms = never, last_sent_at_ms = never,
         reinstated_at_ms = never;                      // returned: put back by hand
  double others_in_flight = 0, reported_at_ms = never;  // what others had in hand there, and when we heard it
  double service_time_ms = 0,
         service_time_at_ms = never;  // time for each RPC in hand, and when it was last seen
  double probe_sent_at_ms = never,
         rejected_at_ms = never;               // an unanswered probe, and when it last turned a pick away
  double in_flight = 0;                        // our picks
  std::size_t idle_connections = 0;            // connections of ours, as far as the host tells
  std::vector<OutcomeSample> recent_outcomes;  // the last sends that count, oldest first
  double slow_start_tokens = 1,
         slow_start_tokens_at_ms = never;  // RPCs that a cold server may be sent, and when that was counted
  double failures_to_gossip = 0,
         last_gossiped_in_flight = 0;  // failures of ours not told yet, and the work told last
  MachineTypeStats* machine_type = nullptr;
  std::uint64_t id_hash = 14695981039346656037ULL;  // for the homes of keys
  std::uint32_t gossip_tag() const { return id_hash % LoadGossip::endpoint_tag_count; }
  std::string id;
};

struct TrackedRpc {
  std::string id;
  const MethodConfig* method;
  std::size_t arrival_index;  // of arrival; due times that are equal fall in this order
  double deadline_ms, objective_at_ms;
  std::optional<std::uint64_t> routing_key;
  double quota_factor = 1;  // of its method's utility: what a tenant sends beyond its allowance is worth less
  std::deque<Attempt> attempts;
  std::vector<TrackedEndpoint*> probe_targets,
      probed_endpoints;        // servers to be probed for it, and the first of them, that were
  double probe_count = never;  // how many of them it is worth
  double probe_wait_until_ms = never, due_at_ms = never;
  bool is_concluded = false, is_streaming = false, is_queued = false;
  int outstanding_count() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& p) { return p.is_outstanding; }));
  }
  int withdrawn_count = 0;  // picks that the host took back unsent
  int attempt_count() const { return static_cast<int>(attempts.size()) - withdrawn_count; }
  const Attempt* first_possibly_executed() const {
    for (const Attempt& p : attempts)
      if (p.is_outstanding || p.may_have_run) return &p;
    return nullptr;
  }
};

std::uint64_t splitmix64_finalize(std::uint64_t h) {
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

}  // namespace

struct LoadBalancer::Implementation {
  LoadBalancerConfig config;
  std::knuth_b random_engine;
  double now_ms;
  double max_priority_weight = 0;
  MethodConfig
      unknown_method;  // for an RPC of no known method: must not run twice, the longest latency target
  std::map<std::string, std::unique_ptr<TrackedEndpoint>, std::less<>> endpoints_by_id;
  std::vector<TrackedEndpoint*> known_endpoints,
      ready_endpoints;  // all in order of meeting, and those of them that are ready
  std::vector<std::string> zone_names;
  std::map<std::string, MachineTypeStats> machine_types;
  PeerLoadTable peer_loads;  // what other sidecars told
  double gossip_at_ms = never, complete_gossip_at_ms = never, mean_gossip_interval_ms = 100,
         gossip_budget = 1, arrivals_since_gossip = 0, maintenance_count = 0;
  bool last_gossip_had_content = false;
  std::uint32_t gossip_sequence = 0;
  std::size_t local_zone_index;
  std::unordered_map<std::string, std::unique_ptr<TrackedRpc>> rpcs_by_id;
  std::vector<double> tenant_arrivals_since_maintenance,
      tenant_arrivals_per_s;  // RPCs by tenant since the beat, and a second
  std::map<const MethodConfig*, std::deque<double>>
      recent_time_budgets;  // of the last RPCs, for those whose deadline is told
  std::deque<TrackedRpc*> pending_rpcs;
  std::deque<Attempt*> pending_cancellations;
  std::deque<TrackedEndpoint*> pending_probes;
  std::vector<TrackedRpc*> rpcs_awaiting_probes;  // RPCs that wait for probes
  std::set<std::pair<std::pair<double, std::size_t>, TrackedRpc*>> due_rpcs;
  double due_timer_at_ms = never;  // the due wake-up under way
  bool maintenance_timer_wanted = true;
  std::size_t arrival_count = 0;
  double mean_others_in_flight = 0, slow_start_others_in_flight = 0, slow_start_service_time_factor = 1,
         mean_priority = 1, usual_service_time_ms = 0, response_count = 0, sends_per_ms = 0,
         arrivals_per_ms = 0, sends_since_maintenance = 0, arrivals_since_maintenance = 0,
         maintenance_at_ms = never;
  double last_sent_at_ms = never, total_slow_start_weight = 1;
  double retry_budget = 5, retry_success_rate = 0.5,
         fleet_retry_quota = 1e18;  // granted: by all sidecars together
  bool is_subscribed = false, poll_in_flight = false;
  double poll_at_ms = never, failed_polls = 0;

  Implementation(LoadBalancerConfig where, std::uint64_t seed, double at)
      : config(std::move(where)),
        random_engine(static_cast<std::knuth_b::result_type>(splitmix64_finalize(seed) | 1)),
        now_ms(at) {
    for (const MethodConfig& m : config.methods) {
      max_priority_weight = std::max(max_priority_weight, m.priority_weight);
      unknown_method.latency_objective_ms =
          std::max(unknown_method.latency_objective_ms, m.latency_objective_ms);
    }
    tenant_arrivals_since_maintenance.resize(config.tenants.size());
    tenant_arrivals_per_s.resize(config.tenants.size());
    local_zone_index = find_or_add_zone(config.zone);
    usual_service_time_ms = initial_service_time_fraction * unknown_method.latency_objective_ms;
    constexpr double in_hand = 0.5;  // at each server, until there are reports
    if (config.probes_report_load) mean_others_in_flight = slow_start_others_in_flight = in_hand;
    poll_at_ms =
        at + unit_fraction(splitmix64_finalize(seed)) * poll_spread_ms();  // beside the draw's own chance
    gossip_at_ms = at + unit_fraction(splitmix64_finalize(seed)) * 50;
    gossip_sequence = static_cast<std::uint32_t>(splitmix64_finalize(seed) % LoadGossip::sequence_modulus);
  }

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_engine); }

  void enqueue(TrackedRpc& r) {
    if (r.is_queued || r.is_concluded) return;
    r.is_queued = true;
    pending_rpcs.push_back(&r);
  }

  // How long ago a client first sent what it sends again: a budget like no other is what is left of the
  // deadline.
  double estimate_client_elapsed_ms(const MethodConfig& how, double budget) {
    constexpr double alike = 0.01;  // of the deadline: what a busy process may lose of a budget
    constexpr std::size_t kept = 32, enough = 16;
    constexpr int several = 3;
    std::deque<double>& last = recent_time_budgets[&how];
    const auto near = [&](double other) { return std::abs(other - budget) <= alike * how.deadline_ms; };
    const bool usual = last.size() < enough || std::count_if(last.begin(), last.end(), near) >= several;
    last.push_back(budget);
    if (last.size() > kept) last.pop_front();
    return usual ? 0 : std::max(how.deadline_ms - budget, 0.0);
  }

  void release_in_flight(Attempt& p) {  // it keeps nobody waiting there any more
    if (!std::exchange(p.is_released, true)) p.endpoint->in_flight -= 1;
  }

  void set_due_time(TrackedRpc& r, double at) {
    if (r.due_at_ms != never) due_rpcs.erase({{r.due_at_ms, r.arrival_index}, &r});
    r.due_at_ms = at;
    if (at != never) due_rpcs.insert({{at, r.arrival_index}, &r});
  }

  void conclude(TrackedRpc& r) {
    r.is_concluded = true;
    set_due_time(r, never);
    std::erase(rpcs_awaiting_probes, &r);
    // Work for an answer that nobody waits for any more crowds out work that can still be of use.
    if (config.cancellation_enabled && !r.is_streaming)
      for (Attempt& p : r.attempts)
        if (p.is_outstanding) pending_cancellations.push_back(&p);
  }

  void erase_if_finished(const std::string& id) {
    const auto it = rpcs_by_id.find(id);
    TrackedRpc& r = *it->second;
    if (!r.is_concluded || r.outstanding_count() > 0) return;
    std::erase(pending_rpcs, &r);
    std::erase_if(pending_cancellations, [&](const Attempt* p) { return p->rpc == &r; });
    rpcs_by_id.erase(it);
  }

  std::size_t find_or_add_zone(const std::string& name) {
    auto it = std::find(zone_names.begin(), zone_names.end(), name);
    if (it == zone_names.end()) it = zone_names.insert(it, name);
    return static_cast<std::size_t>(it - zone_names.begin());
  }

  void refresh_ready_endpoints() {
    ready_endpoints.clear();
    for (TrackedEndpoint* s : known_endpoints) s->is_ready = s->is_listed && !s->ejected_manually;
    std::copy_if(known_endpoints.begin(), known_endpoints.end(), std::back_inserter(ready_endpoints),
                 [](const TrackedEndpoint* s) { return s->is_ready; });
    total_slow_start_weight = 0;
    for (const TrackedEndpoint* s : ready_endpoints) total_slow_start_weight += slow_start_weight(*s);
  }

  void evict_departed_endpoints() {
    std::set<const TrackedEndpoint*> named;
    for (const auto& [id, r] : rpcs_by_id) {
      for (const Attempt& p : r->attempts) named.insert(p.endpoint);
      named.insert(r->probe_targets.begin(), r->probe_targets.end());
    }
    std::erase_if(known_endpoints, [&](const TrackedEndpoint* s) {
      return !s->is_ready && !s->ejected_manually && now_ms - s->last_sent_at_ms > outcome_retention_ms() &&
             !named.count(s) && endpoints_by_id.erase(std::string(s->id));
    });
  }

  TrackedEndpoint& find_or_add_endpoint(const std::string& id) {
    auto& known = endpoints_by_id[id];
    if (!known) {
      known_endpoints.push_back((known = std::make_unique<TrackedEndpoint>()).get());
      known->id = id;
      for (unsigned char c : id) known->id_hash = (known->id_hash ^ c) * 1099511628211ULL;
      known->machine_type = &machine_types[{}];
    }
    return *known;
  }

  void update_endpoint(const Endpoint& e) {
    TrackedEndpoint& s = find_or_add_endpoint(e.id);
    s.zone_index = find_or_add_zone(e.zone);
    s.cell = e.cell;
    s.machine_type = &machine_types[e.machine_type];
    update_start_time(s, std::max(e.started_at_ms > 0 ? e.started_at_ms : never, s.reinstated_at_ms));
    s.is_listed = e.state == EndpointState::ready;
  }

  void update_start_time(TrackedEndpoint& s, double started) {
    if (s.started_at_ms != started && s.last_sent_at_ms != never) {
      // A process that restarted under the same id is another one: what the old one did says nothing of it.
      s.recent_outcomes.clear();
      s.last_sent_at_ms = s.reported_at_ms = s.service_time_at_ms = s.rejected_at_ms = s.probe_sent_at_ms =
          never;
      s.slow_start_tokens = 1;
    }
    s.started_at_ms = started;
  }

  void record_load_report(TrackedEndpoint& s, const LoadReport& report, bool with_answer) {
    if (!report.in_flight || !std::isfinite(*report.in_flight) || *report.in_flight < 0 ||
        *report.in_flight > 1e6)
      return;
    // A report is a moment old: it still counts the RPC whose answer carries it.
    s.others_in_flight = std::max(0.0, *report.in_flight - s.in_flight - (with_answer ? 1 : 0));
    s.reported_at_ms = now_ms;
    constexpr double weight = 0.05;  // of one report in the mean: some twenty reports are remembered
    double& mean = slow_start_weight(s) < 1 ? slow_start_others_in_flight : mean_others_in_flight;
    mean += weight * (s.others_in_flight - mean);
  }

  void record_service_time(TrackedEndpoint& s, double took, double work, bool answered) {
    const double seen = took / work;
    constexpr double weight = 0.1;  // of one answer: an RPC differs from the next more than servers do
    s.service_time_ms =
        s.service_time_at_ms == never ? seen : s.service_time_ms + weight * (seen - s.service_time_ms);
    s.service_time_at_ms = now_ms;
    // What a jam taught must not outlast it, nor may a long first answer make a sidecar give up all that
    // comes.
    constexpr double slow = 0.02;
    if (answered && slow_start_weight(s) < 1)
      slow_start_service_time_factor +=
          weight *
          (seen * std::sqrt(slow_start_weight(s)) / usual_service_time_ms - slow_start_service_time_factor);
    if (answered && slow_start_weight(s) >= 1) {
      usual_service_time_ms += std::max(slow, 1 / (initial_service_time_samples + ++response_count)) *
                               (seen - usual_service_time_ms);
      s.machine_type->service_time_ms +=
          std::max(slow, 1 / ++s.machine_type->response_count) * (seen - s.machine_type->service_time_ms);
    }
  }

  static constexpr double initial_service_time_fraction = 0.25,
                          initial_service_time_samples =
                              5;  // of the latency target; answers that it counts for

  void record_outcome(std::vector<OutcomeSample>& window, bool failed) {
    constexpr std::size_t window_length = 16;  // the design's
    window.push_back({now_ms, failed});
    if (window.size() > window_length) window.erase(window.begin());
  }

  static constexpr double slow_start_overload_share = 0.5;  // of the multiple: an overloaded mean leaves room

  double slow_start_weight(const TrackedEndpoint& s) const {
    if (s.started_at_ms == never || now_ms - s.started_at_ms >= config.slow_start_duration_ms) return 1;
    return config.slow_start_initial_weight +
           (1 - config.slow_start_initial_weight) *
               std::max(0.0, (now_ms - s.started_at_ms) / config.slow_start_duration_ms);
  }

  static constexpr double max_half_lives = 16;  // half-lives, after which nothing is left of what was seen

  double report_confidence(const TrackedEndpoint& s) const {
    constexpr double half_life = 200;  // then it is half way back to their mean; 100 and 400 are alike
    const double age = (now_ms - s.reported_at_ms) / half_life;
    return age > max_half_lives ? 0 : std::exp2(-age);
  }

  bool has_recent_gossip() const { return peer_loads.has_recent_gossip(now_ms); }

  double over_quota_fraction(std::size_t of) const {
    constexpr double a_second = 1000;
    const double all = tenant_arrivals_per_s[of] + peer_loads.arrivals_per_s(of);
    return all > 0 ? std::max(0.0, 1 - config.tenants[of].allowance_per_ms * a_second / all) : 0;
  }

  // What we alone know: changes since the last message, and each second all of it, for what was lost.
  std::optional<LoadGossip> make_gossip() {
    LoadGossip n;
    n.is_complete = now_ms - complete_gossip_at_ms >= maintenance_interval_ms;
    if (n.is_complete) complete_gossip_at_ms = now_ms, n.arrivals_per_s = tenant_arrivals_per_s;
    for (TrackedEndpoint* s : known_endpoints) {
      const double in_hand = s->in_flight;
      if (n.is_complete ? in_hand > 0 || s->failures_to_gossip > 0
                        : in_hand != s->last_gossiped_in_flight || s->failures_to_gossip > 0)
        n.endpoint_loads.push_back({s->gossip_tag(), in_hand, std::exchange(s->failures_to_gossip, 0)});
      s->last_gossiped_in_flight = in_hand;
    }
    // A message is priced for each receiver: telling may cost this share of what we take, at the start on
    // credit.
    constexpr double worth = 0.01, least = 50, full = 256, head = 4, of_one = 3, owed = 1;
    const double size = head + of_one * static_cast<double>(n.endpoint_loads.size());
    gossip_budget = std::min(gossip_budget + worth * std::exchange(arrivals_since_gossip, 0), owed) -
                    config.gossip_message_cost * size / full * (config.sidecar_count - 1);
    const double every =
        std::clamp(-gossip_budget / (worth * std::max(arrivals_per_ms, 1 / maintenance_interval_ms)), least,
                   maintenance_interval_ms);
    mean_gossip_interval_ms += 0.1 * (every - mean_gossip_interval_ms);
    gossip_at_ms = now_ms + every;
    if (n.endpoint_loads.empty() && !(n.is_complete && last_gossip_had_content)) return {};
    last_gossip_had_content = !n.endpoint_loads.empty() || !n.is_complete;
    n.sequence = gossip_sequence = (gossip_sequence + 1) % LoadGossip::sequence_modulus;
    return n;
  }

  double queue_depth_estimate(const TrackedEndpoint& s) const {
    if (has_recent_gossip()) return s.in_flight + peer_loads.in_flight(s.gossip_tag());
    const double mean = slow_start_weight(s) < 1 ? slow_start_others_in_flight : mean_others_in_flight;
    return s.in_flight + mean + (s.others_in_flight - mean) * report_confidence(s);
  }

  double expected_service_time_ms(const TrackedEndpoint& s) const {
    constexpr double half_life = 2000;  // a pace seen is believed for some seconds, then the usual one counts
    const double age = (now_ms - s.service_time_at_ms) / half_life;
    const double usual =
        (s.machine_type->response_count >= initial_service_time_samples ? s.machine_type->service_time_ms
                                                                        : usual_service_time_ms);
    const double expected = slow_start_weight(s) < 1
                                ? slow_start_service_time_factor * usual / std::sqrt(slow_start_weight(s))
                                : usual;
    return expected + (age > max_half_lives ? 0 : (s.service_time_ms - expected) * std::exp2(-age));
  }

  bool has_fresh_report(const TrackedEndpoint& s) const {
    return now_ms - s.reported_at_ms <= 10;
  }  // ms; 3 to 40 are alike

  bool has_unanswered_probe(const TrackedEndpoint& s) const {
    return s.probe_sent_at_ms != never && now_ms - s.probe_sent_at_ms < 1000;
  }

  double mean_send_interval_ms() const {
    return sends_per_ms > 0 ? static_cast<double>(ready_endpoints.size()) / sends_per_ms : 0;
  }

  double outcome_retention_ms() const {
    constexpr double least = 5000, most = 20000, turns = 4;
    return std::clamp(turns * mean_send_interval_ms(), least, most);
  }

  std::pair<double, double> count_recent_outcomes(const std::vector<OutcomeSample>& window) const {
    std::pair<double, double> n;
    const double since = now_ms - outcome_retention_ms();
    for (const OutcomeSample& m : window)
      if (m.at_ms > since) ++n.first, n.second += m.has_failed;
    return n;
  }

  // Where fewer than 16 sends are remembered, their failures stand for the rest: what fails at once looks
  // idle.
  double log2_reputation(const TrackedEndpoint& s) const {
    constexpr double assumed = 2;  // good sends: one chance failure says less than it seems
    const auto [known, failed] = count_recent_outcomes(s.recent_outcomes);
    return -failed * std::max(1.0, 16 / (known + assumed)) - peer_loads.failures(s.gossip_tag(), now_ms);
  }

  double log2_recency(const TrackedEndpoint& s) const {
    constexpr double least = 1000, cap = 6;  // ms (3 and 10 s are no better); doublings, against overflow
    return std::min((now_ms - s.last_sent_at_ms) / std::max(least, mean_send_interval_ms()), cap);
  }

  bool may_send_to(const TrackedRpc& r, TrackedEndpoint& s) {
    if (!s.is_ready || (s.connection_limited && s.idle_connections == 0)) return false;
    if (slow_start_weight(s) < 1) {
      refill_slow_start_tokens(s);
      if (s.slow_start_tokens < 1) return false;
    }
    const Attempt* first = r.first_possibly_executed();
    if (!first || r.method->retry_safety != RetrySafety::idempotency_key) return true;
    if (r.method->deduplication_scope == DeduplicationScope::zone)
      return s.zone_index == first->endpoint->zone_index;
    return r.method->deduplication_scope != DeduplicationScope::cell || s.cell == first->endpoint->cell;
  }

  std::vector<std::uint64_t> best_affinity_scores(const TrackedRpc& r) const {
    if (!config.key_affinity || !r.routing_key) return {};
    std::vector<std::uint64_t> best(zone_names.size());
    for (const TrackedEndpoint* s : ready_endpoints)
      best[s->zone_index] = std::max(best[s->zone_index], rendezvous_score(*r.routing_key, *s));
    return best;
  }

  static double unit_fraction(std::uint64_t key) {
    return static_cast<double>(splitmix64_finalize(key)) * 0x1p-64;
  }  // 0 to 1

  static std::uint64_t rendezvous_score(std::uint64_t key, const TrackedEndpoint& s) {
    return splitmix64_finalize(s.id_hash ^ splitmix64_finalize(key));
  }

  struct CandidateSet {
    std::vector<TrackedEndpoint*> endpoints;
    std::vector<double> weights;
    std::vector<char> meets_objective;          // would answer in time
    double in_flight = 0, report_coverage = 0;  // known: how far the last reports still tell, 0 to 1
    bool is_trial_admitted = false;             // though no server may be timely
    bool meets_deadline() const {
      for (std::size_t i = 0; i < endpoints.size(); ++i)
        if (meets_objective[i] && weights[i] > 0) return true;
      return is_trial_admitted;
    }
  };

  // What others sent since their last word, to the few idle servers that all of them see: taken for sent
  // there.
  double unreported_sends(double rate) const {
    constexpr double on_the_way = 25;  // ms; messages take 2 to 25
    return has_recent_gossip()
               ? (config.sidecar_count - 1) * rate * (mean_gossip_interval_ms / 2 + on_the_way)
               : 0;
  }
  static constexpr double failing_log2_reputation =
      -3;  // a reputation under which a server's room is not counted on
  double fill_level_ms(const std::vector<TrackedEndpoint*>& those) const {
    std::vector<std::pair<double, double>> waits;  // and paces
    for (const TrackedEndpoint* s : those)
      if (log2_reputation(*s) > failing_log2_reputation)
        waits.emplace_back(expected_service_time_ms(*s) * queue_depth_estimate(*s),
                           expected_service_time_ms(*s));
    std::sort(waits.begin(), waits.end());
    double left = unreported_sends(sends_per_ms), room = 0;  // RPCs for each ms of the level
    for (std::size_t i = 0; i < waits.size(); ++i) {
      room += 1 / waits[i].second;
      const double next = i + 1 < waits.size() ? waits[i + 1].first : -never;
      if (left <= room * (next - waits[i].first)) return waits[i].first + left / room;
      left -= room * (next - waits[i].first);
    }
    return 0;
  }

  CandidateSet score_candidates(const TrackedRpc& r) {
    constexpr double least = 0.4, for_utility = 0.6;  // of its time, that an RPC may wait by its utility
    const double on_time = std::min(r.objective_at_ms, final_answer_by_ms(r)) - now_ms;
    const bool late = usual_service_time_ms > on_time;
    const double left = late ? useful_until_ms(r) - now_ms : on_time;
    const double worth =
        r.quota_factor * r.method->priority_weight * (late ? r.method->late_weight : 1) / max_priority_weight;
    const double patience = least + for_utility * worth;
    // A server that holds far more than it works on slows down for many seconds: its waiting room is kept
    // short.
    constexpr double waiting = 4;
    const double most_ahead =
        has_recent_gossip() ? waiting * patience * (r.quota_factor < 1 ? 0.5 : 1) : -never;

    // Quiet sidecars guess for long: taken at its word, the guess turns away what idle servers could serve.
    constexpr double doubtful = 0.4;  // 0.2 is alike, 0.7 turns away three times as many
    const bool guessing =
        response_count < initial_service_time_samples &&
        usual_service_time_ms <= initial_service_time_fraction * unknown_method.latency_objective_ms;
    CandidateSet b;
    b.endpoints.reserve(ready_endpoints.size());
    b.weights.reserve(ready_endpoints.size());
    const double log_size = std::log2(static_cast<double>(ready_endpoints.size()));
    double reputation = 0, recency = 0, sent = 0;
    const std::vector<std::uint64_t> best_homes = best_affinity_scores(r);
    for (TrackedEndpoint* s : ready_endpoints) {
      if (!may_send_to(r, *s)) continue;
      b.endpoints.push_back(s);
      b.in_flight += s->in_flight;
      if (s->last_sent_at_ms == never) continue;
      reputation += std::exp2(log2_reputation(*s));
      recency += std::exp2(log2_recency(*s));
      ++sent;
    }
    if (b.endpoints.empty()) return b;
    // Giving up on what was seen long ago would never see anything again; a thousand sidecars that ask are a
    // load.
    constexpr double silence = 1000, chance_through = 0.1;
    b.is_trial_admitted =
        now_ms - last_sent_at_ms > silence && b.in_flight == 0 && random_fraction() < chance_through;
    const double filled = has_recent_gossip() ? fill_level_ms(b.endpoints) : 0;
    double room = 0;
    const double unsent = sent > 0 ? std::log2(reputation / sent) + std::log2(recency / sent) : 0;
    for (TrackedEndpoint* s : b.endpoints) {
      const double reputed = log2_reputation(*s), one = expected_service_time_ms(*s),
                   held = queue_depth_estimate(*s), free = filled - one * held;
      double w = s->last_sent_at_ms == never ? unsent - peer_loads.failures(s->gossip_tag(), now_ms)
                                             : reputed + log2_recency(*s);
      // What turned a pick away looks idle, but its queue is as long as it gets: of the latency target.
      constexpr double jam = 0.4, fades = 2;
      const double since = (now_ms - s->rejected_at_ms) / (fades * r.method->latency_objective_ms);
      const double waits =
          one * held + std::max(free, 0.0) +
          (since > max_half_lives ? 0 : jam * r.method->latency_objective_ms * std::exp2(-since));
      if (free > 0) w += std::log2(std::min(free / one, 1.0));
      if (reputed > failing_log2_reputation) room += std::max(0.0, most_ahead - held);
      constexpr double heavy = 1.6;  // mean RPCs: it may be a long one, and a wait must leave room for that
      const double hopeless = report_confidence(*s) > 0.5 && held < 1.5 ? 17 : 3;
      const double hoped = guessing && s->service_time_at_ms == never ? doubtful * one : one,
                   alone = hoped * heavy;
      b.meets_objective.push_back(count_recent_outcomes(s->recent_outcomes).second < hopeless &&
                                  alone <= left && held <= most_ahead &&
                                  waits - (one - hoped) * held <= patience * (left - alone));
      constexpr double halvings = 30;  // for a latency target; an RPC in hand takes 4 to 9 of them
      w -= halvings * (waits + one) / r.method->latency_objective_ms;
      if (slow_start_weight(*s) < 1) w += std::log2(slow_start_weight(*s));  // not for each of many warm ones
      constexpr double for_price = 40;  // halvings for a crossing that costs everything
      if (s->zone_index != local_zone_index) w -= for_price * config.cross_zone_cost;
      constexpr double for_handshake = 100;
      if (s->idle_connections == 0 && (s->last_sent_at_ms != never || slow_start_weight(*s) >= 1))
        w -= for_handshake * config.handshake_cost;
      constexpr double crowded = 20;  // halvings: more than a key's home is worth
      if (held > most_ahead) w -= crowded;
      constexpr double silent = 8, unheard = 3;  // halvings; a dead server answers no probe
      if (has_unanswered_probe(*s)) w -= silent;
      const double known_there = report_confidence(*s);
      if (!r.probed_endpoints.empty()) w -= (1 - known_there) * (unheard + log_size);
      b.report_coverage += known_there / static_cast<double>(b.endpoints.size());
      for (const Attempt& p : r.attempts)
        if (p.endpoint == s) w -= 4;  // another server is the better bet for a further pick
      // Halvings that the key's home is ahead of the rest: a long queue there still sends it elsewhere.
      constexpr double home_first = 20;
      const bool at_home =
          !best_homes.empty() && rendezvous_score(*r.routing_key, *s) == best_homes[s->zone_index];
      b.weights.push_back(w + (at_home ? home_first : 0));
    }
    // All sidecars see the same room: what is scarce is shared by chance.
    if (has_recent_gossip() &&
        random_fraction() * unreported_sends(arrivals_per_ms) > room + unreported_sends(sends_per_ms))
      return {};
    const double top = *std::max_element(b.weights.begin(), b.weights.end());
    for (double& w : b.weights) w = std::exp2(w - top);
    return b;
  }

  static double total_weight(const std::vector<double>& w) {
    return std::accumulate(w.begin(), w.end(), 0.0);
  }

  std::size_t draw_by_weight(const CandidateSet& b) {
    double x = random_fraction() * total_weight(b.weights);
    std::size_t at = 0;
    while (at + 1 < b.weights.size() && (x -= b.weights[at]) >= 0) ++at;
    return at;
  }

  // A thousand sidecars that each save up one RPC for a cold server would push it over: chance is bounded.
  std::size_t draw_with_slow_start_limit(const TrackedRpc& r, CandidateSet& b) {
    struct Claim {
      std::size_t at;
      double chance, most;
    };
    std::vector<Claim> cold;
    const double all = total_weight(b.weights);
    double best_other = 0, left = 0, room = 0;
    for (std::size_t i = 0; i < b.endpoints.size(); ++i) {
      const TrackedEndpoint* s = b.endpoints[i];
      if (slow_start_weight(*s) >= 1 ||
          std::find(r.probed_endpoints.begin(), r.probed_endpoints.end(), s) != r.probed_endpoints.end()) {
        best_other = std::max(best_other, b.weights[i]);
        continue;
      }
      const double share = b.weights[i] / all;
      const double most = slow_start_overload_share * config.slow_start_overload_factor *
                          slow_start_weight(*s) / total_slow_start_weight / std::max(r.probe_count, 1.0);
      left += std::max(share - most, 0.0);
      cold.push_back({i, std::min(share, most), most});
    }
    if (cold.empty() || cold.size() == b.endpoints.size()) return draw_by_weight(b);
    constexpr double near = 0x1p-6;  // of the best warm one: a failure alone takes more
    const auto open_to = [&](const Claim& c) {
      return b.weights[c.at] > near * best_other ? c.most - c.chance : 0;
    };
    for (const Claim& c : cold) room += open_to(c);
    const double part = left > 0 ? left / std::max(room, left) : 0;
    double x = random_fraction();
    for (const Claim& c : cold)
      if ((x -= c.chance + part * open_to(c)) < 0) return c.at;
    for (const Claim& c : cold) b.weights[c.at] = 0;
    return draw_by_weight(b);
  }

  TrackedEndpoint* select_endpoint(const TrackedRpc& r, CandidateSet b) {
    const double crowd = 1 + 2 * b.in_flight / static_cast<double>(b.endpoints.size());
    std::size_t at = draw_with_slow_start_limit(r, b);
    if (b.endpoints[at]->in_flight > crowd) at = draw_with_slow_start_limit(r, b);
    return b.meets_deadline() ? b.endpoints[at] : nullptr;
  }

  double final_answer_by_ms(const TrackedRpc& r) const { return r.deadline_ms - config.tick_ms; }

  double useful_until_ms(const TrackedRpc& r) const {
    return r.method->late_weight > 0 ? final_answer_by_ms(r)
                                     : std::min(r.objective_at_ms, final_answer_by_ms(r));
  }

  // A push-back says that a retry is harmless. What may have run and must not run twice is aborted.
  bool may_reject(const TrackedRpc& r) const {
    if (r.method->retry_safety == RetrySafety::idempotent || !r.first_possibly_executed()) return true;
    return r.method->retry_safety == RetrySafety::idempotency_key &&
           r.method->deduplication_scope == DeduplicationScope::global;
  }

  // A repeat that is on its way for longer, as its connection came up late, could run for the second time.
  double retry_deadline_ms(const TrackedRpc& r) const {
    constexpr double margin = 0.9;  // of the group's memory: it still has to travel
    const Attempt* first = r.first_possibly_executed();
    return first && r.method->retry_safety == RetrySafety::idempotency_key
               ? first->sent_at_ms + margin * r.method->deduplication_window_ms
               : -never;
  }

  bool may_attempt(const TrackedRpc& r) const {
    const bool once = r.method->retry_safety == RetrySafety::non_idempotent && r.first_possibly_executed();
    return r.attempt_count() < config.max_attempts && !once && now_ms < retry_deadline_ms(r);
  }

  Decision reject_or_fail(TrackedRpc& r) {
    Decision d{may_reject(r) ? Decision::Action::reject : Decision::Action::fail, r.id, {}, 0, 0, 0};
    const double soon = r.method->late_weight > 0 ? (r.objective_at_ms - now_ms) / 4 : 0, least = 100;
    if (d.action == Decision::Action::reject)
      d.delay_ms = soon > least ? std::min(soon, config.max_retry_after_ms) : config.max_retry_after_ms;
    conclude(r);
    return d;
  }

  std::optional<Decision> decide(TrackedRpc& r) {
    if (r.is_concluded || (r.is_streaming && r.outstanding_count() > 0)) return {};
    set_due_time(r, never);
    if (r.is_streaming || now_ms >= final_answer_by_ms(r)) return reject_or_fail(r);
    if (r.outstanding_count() > 0) return set_due_time(r, final_answer_by_ms(r)), std::nullopt;
    if (now_ms >= useful_until_ms(r)) return reject_or_fail(r);
    const bool further = r.attempt_count() > 0;
    CandidateSet b;
    if (probe_candidates(r, b)) return {};
    if (!may_attempt(r) || (further && std::min(retry_budget, fleet_retry_quota) < 1))
      return reject_or_fail(r);
    if (b.endpoints.empty() || !r.probed_endpoints.empty()) b = score_candidates(r);
    TrackedEndpoint* to =
        b.endpoints.empty() || !b.meets_deadline() ? nullptr : select_endpoint(r, std::move(b));
    return to ? send_attempt(r, *to, further, useful_until_ms(r) - now_ms) : reject_or_fail(r);
  }

  Decision send_attempt(TrackedRpc& r, TrackedEndpoint& s, bool further, double left) {
    const double by = retry_deadline_ms(r);
    r.attempts.push_back(
        {&s, &r, static_cast<int>(r.attempts.size()), now_ms, queue_depth_estimate(s), true, true, further});
    s.in_flight += 1;
    s.last_sent_at_ms = last_sent_at_ms = now_ms;
    if (slow_start_weight(s) < 1) --s.slow_start_tokens;
    ++sends_since_maintenance;
    fleet_retry_quota -= further;
    retry_budget = further ? retry_budget - 1 : std::min(retry_budget + retry_success_rate * 0.5, 10.0);
    set_due_time(r, now_ms + std::max(left, 0.0));
    return {Decision::Action::send_attempt, r.id, s.id, r.attempts.back().index,
            std::max(left, 0.001),          0,    {},   by};
  }

  double affordable_probe_count(const TrackedRpc& r, const CandidateSet& b) {
    constexpr double saved = 0.2, most = 9;
    if (config.probe_cost <= 0) return most;
    const double unknown = (1 - b.report_coverage) * (1 - b.report_coverage);
    const double risk = std::min(usual_service_time_ms / (useful_until_ms(r) - now_ms), 1.0);
    const double busy = mean_others_in_flight / (1 + mean_others_in_flight);
    const double gain =
        saved * risk * busy * unknown * r.quota_factor * r.method->priority_weight / mean_priority;
    return std::min(std::floor(gain / (config.probe_cost + config.handshake_cost) + random_fraction()), most);
  }

  bool probe_candidates(TrackedRpc& r, CandidateSet& b) {
    if (!config.probing_enabled || !config.probes_report_load || !r.attempts.empty() || has_recent_gossip())
      return false;
    if (r.probe_wait_until_ms == never) {
      b = score_candidates(r);
      r.probe_count = affordable_probe_count(r, b);
      // The servers of shortest expected wait are the same ones at all sidecars, which would crowd them.
      CandidateSet left = r.probe_count > 0 ? b : CandidateSet();
      while (static_cast<double>(r.probe_targets.size()) < r.probe_count &&
             r.probe_targets.size() < left.endpoints.size()) {
        const std::size_t at = draw_with_slow_start_limit(r, left);
        if (left.weights[at] <= 0) break;
        left.weights[at] = 0;
        r.probe_targets.push_back(left.endpoints[at]);
      }
    } else {
      const bool answered = std::all_of(r.probed_endpoints.begin(), r.probed_endpoints.end(),
                                        [](TrackedEndpoint* s) { return s->probe_sent_at_ms == never; });
      if (!answered && now_ms < r.probe_wait_until_ms) {
        set_due_time(r, r.probe_wait_until_ms);
        return true;
      }
      std::erase(rpcs_awaiting_probes, &r);
      for (const TrackedEndpoint* s : r.probed_endpoints)
        if (has_fresh_report(*s) && queue_depth_estimate(*s) < 0.5) return false;
    }
    constexpr double patience = 4;  // a few round trips
    r.probe_wait_until_ms = now_ms + patience;
    constexpr std::size_t at_once = 3;
    for (std::size_t asked = 0; asked < at_once && r.probed_endpoints.size() < r.probe_targets.size();
         ++asked) {
      TrackedEndpoint* s = r.probe_targets[r.probed_endpoints.size()];
      r.probed_endpoints.push_back(s);
      if (has_unanswered_probe(*s) || has_fresh_report(*s) || !s->is_ready) continue;
      s->probe_sent_at_ms = now_ms;
      pending_probes.push_back(s);
    }
    if (pending_probes.empty()) return false;
    rpcs_awaiting_probes.push_back(&r);
    set_due_time(r, r.probe_wait_until_ms);
    return true;
  }

  static constexpr double maintenance_interval_ms = 1000;

  void run_maintenance() {
    maintenance_timer_wanted = true;
    const double span = maintenance_at_ms == never ? maintenance_interval_ms : now_ms - maintenance_at_ms;
    maintenance_at_ms = now_ms;
    for (std::size_t i = 0; i < tenant_arrivals_per_s.size(); ++i)
      tenant_arrivals_per_s[i] +=
          0.3 *
          (std::exchange(tenant_arrivals_since_maintenance[i], 0) / span * 1000 - tenant_arrivals_per_s[i]);
    constexpr double remembered = 3000;  // our own rate is that of the last seconds
    const double weight = std::max(1 - std::exp(-span / remembered), 1 / ++maintenance_count);
    sends_per_ms += weight * (sends_since_maintenance / span - sends_per_ms);
    arrivals_per_ms += weight * (arrivals_since_maintenance / span - arrivals_per_ms);
    sends_since_maintenance = arrivals_since_maintenance = 0;
    peer_loads.expire_silent_peers(now_ms);
    evict_departed_endpoints();
    refresh_ready_endpoints();
  }

  // Each sidecar gives a cold server no more than its own mean times a part of the multiple; little is saved
  // up.
  void refill_slow_start_tokens(TrackedEndpoint& s) {
    constexpr double trickle = 0.3;
    const double share =
        std::max(sends_per_ms, trickle * arrivals_per_ms) / std::max(total_slow_start_weight, 1.0);
    const double span = s.slow_start_tokens_at_ms == never ? 0 : now_ms - s.slow_start_tokens_at_ms;
    s.slow_start_tokens_at_ms = now_ms;
    s.slow_start_tokens =
        std::min(s.slow_start_tokens + span * slow_start_overload_share * config.slow_start_overload_factor *
                                           slow_start_weight(s) * share,
                 std::max(1.0, share * config.slow_start_burst_ms));
  }

  double poll_spread_ms() const {
    constexpr double of_one = 50;  // ms for each other sidecar: 20 calls a second for one service
    return std::min(of_one * (config.sidecar_count - 1), config.max_poll_silence_ms / 2);
  }

  bool sends_gossip() const { return config.gossip_enabled && config.sidecar_count > 1; }
  bool needs_endpoint_poll() const { return config.must_poll_endpoints && !is_subscribed && !poll_in_flight; }

  std::optional<Decision> next_decision() {
    while (!pending_cancellations.empty()) {
      Attempt* p = pending_cancellations.front();
      pending_cancellations.pop_front();
      if (p->is_outstanding)
        return Decision{Decision::Action::cancel_attempt, p->rpc->id, p->endpoint->id, p->index, 0, 0};
    }
    if (needs_endpoint_poll() && now_ms >= poll_at_ms) {
      poll_in_flight = true;
      return Decision{Decision::Action::poll_endpoints, {}, {}, 0, 0, 0};
    }
    if (sends_gossip() && now_ms >= gossip_at_ms)
      if (auto n = make_gossip())
        return Decision{Decision::Action::send_gossip, {}, {}, 0, 0, 0, std::move(*n)};
    while (!due_rpcs.empty() && due_rpcs.begin()->first.first <= now_ms) {
      TrackedRpc& r = *due_rpcs.begin()->second;
      set_due_time(r, never);
      enqueue(r);
    }
    if (!pending_probes.empty()) {
      TrackedEndpoint* s = pending_probes.front();
      pending_probes.pop_front();
      return Decision{Decision::Action::health_check, {}, s->id, 0, 0, 0};
    }
    while (!pending_rpcs.empty()) {
      TrackedRpc& r = *pending_rpcs.front();
      pending_rpcs.pop_front();
      r.is_queued = false;
      const auto d = decide(r);
      if (d) {
        erase_if_finished(d->rpc_id);
        return d;
      }
      if (!pending_probes.empty()) return next_decision();
    }
    if (maintenance_timer_wanted) {
      maintenance_timer_wanted = false;
      return Decision{Decision::Action::set_timer, {}, {}, 0, maintenance_interval_ms, maintenance_timer_id};
    }
    double soonest = due_rpcs.empty() ? -never : due_rpcs.begin()->first.first;
    if (needs_endpoint_poll()) soonest = std::min(soonest, poll_at_ms);
    if (sends_gossip()) soonest = std::min(soonest, gossip_at_ms);
    if (soonest < -never && (due_timer_at_ms == never || soonest < due_timer_at_ms)) {
      due_timer_at_ms = soonest;
      return Decision{Decision::Action::set_timer, {}, {}, 0, due_timer_at_ms - now_ms, due_timer_id};
    }
    return {};
  }
};

LoadBalancer::LoadBalancer(LoadBalancerConfig where, std::uint64_t seed, double now)
    : implementation_(std::make_unique<Implementation>(std::move(where), seed, now)) {}
LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::update_endpoints(double now, bool whole, bool asked,
                                    const std::vector<Endpoint>& entries) {
  implementation_->now_ms = now;
  if (whole)
    for (const auto& [id, s] : implementation_->endpoints_by_id) s->is_listed = false;
  for (const Endpoint& e : entries) implementation_->update_endpoint(e);
  implementation_->refresh_ready_endpoints();
  if (asked && implementation_->poll_in_flight) {
    implementation_->poll_in_flight = false;
    implementation_->is_subscribed = true;
    implementation_->failed_polls = 0;
  }
}

void LoadBalancer::endpoint_poll_failed(double now) {
  implementation_->now_ms = now;
  implementation_->poll_in_flight = implementation_->is_subscribed = false;
  // What the list's one service gave up on still fills its queue: all asking at once would keep it down.
  constexpr double least = 250;
  const double backoff =
      std::min(std::max(implementation_->poll_spread_ms(), least) * std::exp2(implementation_->failed_polls),
               std::max(implementation_->config.max_poll_silence_ms, least));
  implementation_->poll_at_ms = now + backoff * (0.5 + implementation_->random_fraction());
  ++implementation_->failed_polls;
}

void LoadBalancer::on_rpc_arrived(double now, const RpcArrival& what) {
  Implementation& b = *implementation_;
  b.now_ms = now;
  auto r = std::make_unique<TrackedRpc>();
  r->id = what.id;
  r->method = &b.unknown_method;
  for (const MethodConfig& m : b.config.methods)
    if (m.name == what.method) r->method = &m;
  r->arrival_index = b.arrival_count++;
  ++b.arrivals_since_maintenance, ++b.arrivals_since_gossip;
  r->deadline_ms = what.deadline_ms;
  r->objective_at_ms = now + r->method->latency_objective_ms;
  if (r->method->deadline_ms > 0 && (what.is_retry || !b.config.clients_mark_retries))
    r->objective_at_ms -= b.estimate_client_elapsed_ms(*r->method, r->deadline_ms - now);
  r->routing_key = what.routing_key;
  for (std::size_t i = 0; i < b.config.tenants.size(); ++i)
    if (b.config.tenants[i].name == what.tenant) {
      ++b.tenant_arrivals_since_maintenance[i];
      if (b.has_recent_gossip() && b.random_fraction() < b.over_quota_fraction(i))
        r->quota_factor = b.config.over_quota_weight;
    }
  const double value = r->quota_factor * r->method->priority_weight;
  constexpr double of_one = 0.02;  // some fifty RPCs are remembered
  b.mean_priority += (r->arrival_index > 0 ? of_one : 1) * (value - b.mean_priority);
  b.enqueue(*(b.rpcs_by_id[std::string(what.id)] = std::move(r)));
}

void LoadBalancer::on_response_started(double now, std::string_view id, int number, bool eases) {
  implementation_->now_ms = now;
  const auto it = implementation_->rpcs_by_id.find(std::string(id));
  if (it == implementation_->rpcs_by_id.end()) return;
  it->second->is_streaming = true;
  if (eases) implementation_->release_in_flight(it->second->attempts.at(static_cast<std::size_t>(number)));
  implementation_->set_due_time(*it->second, never);
}

void LoadBalancer::on_attempt_finished(double now, std::string_view id, int number, AttemptOutcome how,
                                       double took, bool concluded, const LoadReport& report) {
  Implementation& b = *implementation_;
  b.now_ms = now;
  const auto it = b.rpcs_by_id.find(std::string(id));
  if (it == b.rpcs_by_id.end()) return;
  TrackedRpc& r = *it->second;
  if (number < 0 || number >= static_cast<int>(r.attempts.size()) || !r.attempts[number].is_outstanding)
    return;
  Attempt& p = r.attempts[number];
  TrackedEndpoint& s = *p.endpoint;
  p.is_outstanding = false;
  const bool unsent = how == AttemptOutcome::withdrawn;
  r.withdrawn_count += unsent;
  p.may_have_run = how != AttemptOutcome::rejected && how != AttemptOutcome::connect_failed &&
                   how != AttemptOutcome::client_error && !unsent;
  b.release_in_flight(p);
  b.record_load_report(s, report, how == AttemptOutcome::ok);
  if (how == AttemptOutcome::ok || how == AttemptOutcome::timed_out)
    b.record_service_time(s, took, p.queue_depth_when_sent + 1, how == AttemptOutcome::ok);
  if (how == AttemptOutcome::rejected) s.rejected_at_ms = now;
  const bool failed = how != AttemptOutcome::ok || took > r.method->latency_objective_ms;
  if (how != AttemptOutcome::cancelled && how != AttemptOutcome::client_error &&
      how != AttemptOutcome::rejected && !unsent)
    b.record_outcome(s.recent_outcomes, failed);
  s.failures_to_gossip +=
      failed && how != AttemptOutcome::cancelled && how != AttemptOutcome::client_error && !unsent;
  if (p.is_retry && !unsent)
    b.retry_success_rate +=
        0.1 * ((how == AttemptOutcome::ok && now <= r.objective_at_ms ? 1 : 0.1) - b.retry_success_rate);
  if (concluded && !r.is_concluded) b.conclude(r);
  if (!r.is_concluded) b.enqueue(r);
  b.erase_if_finished(r.id);
}

void LoadBalancer::on_probe_finished(double now, std::string_view id, AttemptOutcome how,
                                     const LoadReport& report) {
  implementation_->now_ms = now;
  const auto it = implementation_->endpoints_by_id.find(id);
  if (it == implementation_->endpoints_by_id.end()) return;
  if (how == AttemptOutcome::ok || how == AttemptOutcome::client_error)
    it->second->probe_sent_at_ms = never;  // moot: it was not asked at all
  if (how == AttemptOutcome::ok) implementation_->record_load_report(*it->second, report, false);
  for (TrackedRpc* r : implementation_->rpcs_awaiting_probes) implementation_->enqueue(*r);
}

void LoadBalancer::on_client_disconnected(double now, std::string_view id) {
  implementation_->now_ms = now;
  const auto it = implementation_->rpcs_by_id.find(std::string(id));
  if (it == implementation_->rpcs_by_id.end()) return;
  if (!it->second->is_concluded) implementation_->conclude(*it->second);
  implementation_->erase_if_finished(it->second->id);
}

void LoadBalancer::on_gossip(double now, int sidecar, const LoadGossip& what) {
  implementation_->now_ms = now;
  implementation_->peer_loads.record_gossip(now, sidecar, what);
}

void LoadBalancer::set_idle_connections(std::string_view id, std::size_t connections) {
  if (const auto it = implementation_->endpoints_by_id.find(id); it != implementation_->endpoints_by_id.end())
    it->second->idle_connections = connections;
}

void LoadBalancer::set_connection_limited(std::string_view id, bool is) {
  if (const auto it = implementation_->endpoints_by_id.find(id); it != implementation_->endpoints_by_id.end())
    it->second->connection_limited = is;
}

void LoadBalancer::set_fleet_retry_quota(double further_picks) {
  implementation_->fleet_retry_quota = further_picks;
}

void LoadBalancer::set_ejected_manually(double now, std::string_view id, bool is, double since) {
  implementation_->now_ms = now;
  TrackedEndpoint& s = implementation_->find_or_add_endpoint(std::string(id));
  // Staff restart what they take out: from the call back it is as cold as a start that the list tells.
  if (!is) implementation_->update_start_time(s, std::max(s.started_at_ms, s.reinstated_at_ms = since));
  s.ejected_manually = is;
  implementation_->refresh_ready_endpoints();
}

void LoadBalancer::on_timer(double now, std::uint64_t wake) {
  implementation_->now_ms = now;
  if (wake == maintenance_timer_id) return implementation_->run_maintenance();
  implementation_->due_timer_at_ms = never;
}

std::optional<Decision> LoadBalancer::next_decision() { return implementation_->next_decision(); }

}  // namespace indigorill
