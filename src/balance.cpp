// All decisions of indigorill. A host (include/indigorill/balance.h) tells one balancer what happened, then
// calls next() until it has no more to decide. The ordinary path is the design's weighted draw: see draw().
// Beside it: load, lateness, cold servers, further picks, push-back and place (docs/design.md).
#include "indigorill/balance.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "peers/hearsay.h"

namespace indigorill {
namespace {

constexpr double never = -1e18;
constexpr std::uint64_t beat_wake = 1, due_wake = 2;

struct rpc;
struct server;

struct kind {  // of machine
  double pace = 0, answers = 0;
};

struct pick {
  server* to;
  rpc* of;
  int number;
  double sent, ahead;
  bool out = true, may_have_run = true, further = false, eased = false;
};

struct mark {  // the outcome of a send
  double at;
  bool failed;
};

struct server {
  bool ready = false, barred = false, listed = false, out = false;  // out: by hand, whatever the list says
  int cell = 0;
  std::size_t zone = 0;                                         // its place among the zones met
  double started = never, last_send = never, returned = never;  // returned: put back by hand
  double others = 0, reported = never;   // what others had in hand there, and when we heard it
  double pace = 0, paced = never;        // time for each RPC in hand, and when it was last seen
  double probed = never, full = never;   // an unanswered probe, and when it last turned a pick away
  double in_flight = 0;                  // our picks
  std::size_t resting = 0;               // connections of ours, as far as the host tells
  std::vector<mark> window;              // the last sends that count, oldest first
  double budget = 1, budget_at = never;  // RPCs that a cold server may be sent, and when that was counted
  double untold = 0, last_told = 0;      // failures of ours not told yet, and the work told last
  kind* of = nullptr;
  std::uint64_t id_hash = 14695981039346656037ULL;  // for the homes of keys
  std::uint32_t named() const { return id_hash % news::marks; }
  std::string id;
};

struct rpc {
  std::string id;
  const method* how;
  std::size_t order;  // of arrival; due times that are equal fall in this order
  double dl, target;
  std::optional<std::uint64_t> key;
  double share = 1;  // of its method's utility: what a tenant sends beyond its allowance is worth less
  std::deque<pick> picks;
  std::vector<server*> to_ask, asked;  // servers to be probed for it, and the first of them, that were
  double paid = never;                 // how many of them it is worth
  double ask_until = never, due = never;
  bool concluded = false, streaming = false, queued = false;
  int outstanding() const {
    return static_cast<int>(std::count_if(picks.begin(), picks.end(), [](const pick& p) { return p.out; }));
  }
  int withdrawn = 0;  // picks that the host took back unsent
  int tried() const { return static_cast<int>(picks.size()) - withdrawn; }
  const pick* first_that_may_have_run() const {
    for (const pick& p : picks)
      if (p.out || p.may_have_run) return &p;
    return nullptr;
  }
};

std::uint64_t mix(std::uint64_t h) {
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

}  // namespace

struct balancer::state {
  terrain land;
  std::knuth_b chance;
  double now;
  double most_utility = 0;
  method unnamed;  // for an RPC of no known method: must not run twice, the longest latency target
  std::map<std::string, std::unique_ptr<server>, std::less<>> servers;
  std::vector<server*> met, fleet;  // all in order of meeting, and those of them that are ready
  std::vector<std::string> zones;
  std::map<std::string, kind> kinds;
  hearsay others;  // what other sidecars told
  double tell_at = never, told_whole = never, told_every = 100, purse = 1, unpaid = 0, beats = 0;
  bool told_some = false;
  std::uint32_t serial = 0;
  std::size_t home;
  std::unordered_map<std::string, std::unique_ptr<rpc>> rpcs;
  std::vector<double> asking_now, asks;                 // RPCs by tenant since the beat, and a second
  std::map<const method*, std::deque<double>> budgets;  // of the last RPCs, for those whose deadline is told
  std::deque<rpc*> undecided;
  std::deque<pick*> to_cancel;
  std::deque<server*> to_probe;
  std::vector<rpc*> asking;  // RPCs that wait for probes
  std::set<std::pair<std::pair<double, std::size_t>, rpc*>> due;
  double armed = never;  // the due wake-up under way
  bool beat_due = true;
  std::size_t arrivals = 0;
  double mean_others = 0, cold_others = 0, cold_pace = 1, mean_value = 1, usual_pace = 0, answers = 0,
         send_rate = 0, arrival_rate = 0, sends_since_beat = 0, arrivals_since_beat = 0, beat_at = never;
  double last_send = never, warm_servers = 1;
  double spare = 5, further_success = 0.5, granted = 1e18;  // granted: by all sidecars together
  bool subscribed = false, call_out = false;
  double ask_at = never, failed_calls = 0;

  state(terrain where, std::uint64_t seed, double at)
      : land(std::move(where)), chance(static_cast<std::knuth_b::result_type>(mix(seed) | 1)), now(at) {
    for (const method& m : land.methods) {
      most_utility = std::max(most_utility, m.utility);
      unnamed.latency_target = std::max(unnamed.latency_target, m.latency_target);
    }
    asking_now.resize(land.tenants.size());
    asks.resize(land.tenants.size());
    home = zone_at_the_door(land.zone);
    usual_pace = guess * unnamed.latency_target;
    constexpr double in_hand = 0.5;  // at each server, until there are reports
    if (land.probes_report) mean_others = cold_others = in_hand;
    ask_at = at + share_of(mix(seed)) * ask_spread();  // beside the draw's own chance
    tell_at = at + share_of(mix(seed)) * 50;
    serial = static_cast<std::uint32_t>(mix(seed) % news::serials);
  }

  double random() { return std::uniform_real_distribution<double>(0, 1)(chance); }

  void queue(rpc& r) {
    if (r.queued || r.concluded) return;
    r.queued = true;
    undecided.push_back(&r);
  }

  // How long ago a client first sent what it sends again: a budget like no other is what is left of the
  // deadline.
  double asked_before(const method& how, double budget) {
    constexpr double alike = 0.01;  // of the deadline: what a busy process may lose of a budget
    constexpr std::size_t kept = 32, enough = 16;
    constexpr int several = 3;
    std::deque<double>& last = budgets[&how];
    const auto near = [&](double other) { return std::abs(other - budget) <= alike * how.deadline; };
    const bool usual = last.size() < enough || std::count_if(last.begin(), last.end(), near) >= several;
    last.push_back(budget);
    if (last.size() > kept) last.pop_front();
    return usual ? 0 : std::max(how.deadline - budget, 0.0);
  }

  void ease(pick& p) {  // it keeps nobody waiting there any more
    if (!std::exchange(p.eased, true)) p.to->in_flight -= 1;
  }

  void set_due(rpc& r, double at) {
    if (r.due != never) due.erase({{r.due, r.order}, &r});
    r.due = at;
    if (at != never) due.insert({{at, r.order}, &r});
  }

  void conclude(rpc& r) {
    r.concluded = true;
    set_due(r, never);
    std::erase(asking, &r);
    // Work for an answer that nobody waits for any more crowds out work that can still be of use.
    if (land.cancelling && !r.streaming)
      for (pick& p : r.picks)
        if (p.out) to_cancel.push_back(&p);
  }

  void forget_if_over(const std::string& id) {
    const auto it = rpcs.find(id);
    rpc& r = *it->second;
    if (!r.concluded || r.outstanding() > 0) return;
    std::erase(undecided, &r);
    std::erase_if(to_cancel, [&](const pick* p) { return p->of == &r; });
    rpcs.erase(it);
  }

  std::size_t zone_at_the_door(const std::string& name) {
    auto it = std::find(zones.begin(), zones.end(), name);
    if (it == zones.end()) it = zones.insert(it, name);
    return static_cast<std::size_t>(it - zones.begin());
  }

  void muster() {
    fleet.clear();
    for (server* s : met) s->ready = s->listed && !s->out;
    std::copy_if(met.begin(), met.end(), std::back_inserter(fleet), [](const server* s) { return s->ready; });
    warm_servers = 0;
    for (const server* s : fleet) warm_servers += warmth(*s);
  }

  void forget_gone() {
    std::set<const server*> named;
    for (const auto& [id, r] : rpcs) {
      for (const pick& p : r->picks) named.insert(p.to);
      named.insert(r->to_ask.begin(), r->to_ask.end());
    }
    std::erase_if(met, [&](const server* s) {
      return !s->ready && !s->out && now - s->last_send > memory() && !named.count(s) &&
             servers.erase(std::string(s->id));
    });
  }

  server& meet(const std::string& id) {
    auto& known = servers[id];
    if (!known) {
      met.push_back((known = std::make_unique<server>()).get());
      known->id = id;
      for (unsigned char c : id) known->id_hash = (known->id_hash ^ c) * 1099511628211ULL;
      known->of = &kinds[{}];
    }
    return *known;
  }

  void learn_endpoint(const endpoint& e) {
    server& s = meet(e.id);
    s.zone = zone_at_the_door(e.zone);
    s.cell = e.cell;
    s.of = &kinds[e.kind];
    learn_start(s, std::max(e.started > 0 ? e.started : never, s.returned));
    s.listed = e.state == standing::ready;
  }

  void learn_start(server& s, double started) {
    if (s.started != started && s.last_send != never) {
      // A process that restarted under the same id is another one: what the old one did says nothing of it.
      s.window.clear();
      s.last_send = s.reported = s.paced = s.full = s.probed = never;
      s.budget = 1;
    }
    s.started = started;
  }

  void learn_report(server& s, const load& report, bool with_answer) {
    if (!report.held || !std::isfinite(*report.held) || *report.held < 0 || *report.held > 1e6) return;
    // A report is a moment old: it still counts the RPC whose answer carries it.
    s.others = std::max(0.0, *report.held - s.in_flight - (with_answer ? 1 : 0));
    s.reported = now;
    constexpr double weight = 0.05;  // of one report in the mean: some twenty reports are remembered
    double& mean = warmth(s) < 1 ? cold_others : mean_others;
    mean += weight * (s.others - mean);
  }

  void learn_pace(server& s, double took, double work, bool answered) {
    const double seen = took / work;
    constexpr double weight = 0.1;  // of one answer: an RPC differs from the next more than servers do
    s.pace = s.paced == never ? seen : s.pace + weight * (seen - s.pace);
    s.paced = now;
    // What a jam taught must not outlast it, nor may a long first answer make a sidecar give up all that
    // comes.
    constexpr double slow = 0.02;
    if (answered && warmth(s) < 1)
      cold_pace += weight * (seen * std::sqrt(warmth(s)) / usual_pace - cold_pace);
    if (answered && warmth(s) >= 1) {
      usual_pace += std::max(slow, 1 / (guessed + ++answers)) * (seen - usual_pace);
      s.of->pace += std::max(slow, 1 / ++s.of->answers) * (seen - s.of->pace);
    }
  }

  static constexpr double guess = 0.25, guessed = 5;  // of the latency target; answers that it counts for

  void learn_outcome(std::vector<mark>& window, bool failed) {
    constexpr std::size_t window_length = 16;  // the design's
    window.push_back({now, failed});
    if (window.size() > window_length) window.erase(window.begin());
  }

  static constexpr double cold_part = 0.5;  // of the multiple: an overloaded mean leaves room

  double warmth(const server& s) const {
    if (s.started == never || now - s.started >= land.cold_for) return 1;
    return land.cold_from + (1 - land.cold_from) * std::max(0.0, (now - s.started) / land.cold_for);
  }

  static constexpr double forgotten = 16;  // half-lives, after which nothing is left of what was seen

  double heard(const server& s) const {
    constexpr double half_life = 200;  // then it is half way back to their mean; 100 and 400 are alike
    const double age = (now - s.reported) / half_life;
    return age > forgotten ? 0 : std::exp2(-age);
  }

  bool hears() const { return others.any(now); }

  double surplus(std::size_t of) const {
    constexpr double a_second = 1000;
    const double all = asks[of] + others.arrivals(of);
    return all > 0 ? std::max(0.0, 1 - land.tenants[of].allowance * a_second / all) : 0;
  }

  // What we alone know: changes since the last message, and each second all of it, for what was lost.
  std::optional<news> tell() {
    news n;
    n.whole = now - told_whole >= beat;
    if (n.whole) told_whole = now, n.arrivals = asks;
    for (server* s : met) {
      const double in_hand = s->in_flight;
      if (n.whole ? in_hand > 0 || s->untold > 0 : in_hand != s->last_told || s->untold > 0)
        n.stakes.push_back({s->named(), in_hand, std::exchange(s->untold, 0)});
      s->last_told = in_hand;
    }
    // A message is priced for each receiver: telling may cost this share of what we take, at the start on
    // credit.
    constexpr double worth = 0.01, least = 50, full = 256, head = 4, of_one = 3, owed = 1;
    const double size = head + of_one * static_cast<double>(n.stakes.size());
    purse = std::min(purse + worth * std::exchange(unpaid, 0), owed) -
            land.message_price * size / full * (land.sidecars - 1);
    const double every = std::clamp(-purse / (worth * std::max(arrival_rate, 1 / beat)), least, beat);
    told_every += 0.1 * (every - told_every);
    tell_at = now + every;
    if (n.stakes.empty() && !(n.whole && told_some)) return {};
    told_some = !n.stakes.empty() || !n.whole;
    n.serial = serial = (serial + 1) % news::serials;
    return n;
  }

  double ahead(const server& s) const {
    if (hears()) return s.in_flight + others.in_hand(s.named());
    const double mean = warmth(s) < 1 ? cold_others : mean_others;
    return s.in_flight + mean + (s.others - mean) * heard(s);
  }

  double pace(const server& s) const {
    constexpr double half_life = 2000;  // a pace seen is believed for some seconds, then the usual one counts
    const double age = (now - s.paced) / half_life;
    const double usual = (s.of->answers >= guessed ? s.of->pace : usual_pace);
    const double expected = warmth(s) < 1 ? cold_pace * usual / std::sqrt(warmth(s)) : usual;
    return expected + (age > forgotten ? 0 : (s.pace - expected) * std::exp2(-age));
  }

  bool fresh(const server& s) const { return now - s.reported <= 10; }  // ms; 3 to 40 are alike

  bool unanswered(const server& s) const { return s.probed != never && now - s.probed < 1000; }

  double turn() const { return send_rate > 0 ? static_cast<double>(fleet.size()) / send_rate : 0; }

  double memory() const {
    constexpr double least = 5000, most = 20000, turns = 4;
    return std::clamp(turns * turn(), least, most);
  }

  std::pair<double, double> count(const std::vector<mark>& window) const {
    std::pair<double, double> n;
    const double since = now - memory();
    for (const mark& m : window)
      if (m.at > since) ++n.first, n.second += m.failed;
    return n;
  }

  // Where fewer than 16 sends are remembered, their failures stand for the rest: what fails at once looks
  // idle.
  double log_reputation(const server& s) const {
    constexpr double assumed = 2;  // good sends: one chance failure says less than it seems
    const auto [known, failed] = count(s.window);
    return -failed * std::max(1.0, 16 / (known + assumed)) - others.failures(s.named(), now);
  }

  double log_recency(const server& s) const {
    constexpr double least = 1000, cap = 6;  // ms (3 and 10 s are no better); doublings, against overflow
    return std::min((now - s.last_send) / std::max(least, turn()), cap);
  }

  bool allowed(const rpc& r, server& s) {
    if (!s.ready || (s.barred && s.resting == 0)) return false;
    if (warmth(s) < 1) {
      count_budget(s);
      if (s.budget < 1) return false;
    }
    const pick* first = r.first_that_may_have_run();
    if (!first || r.how->repeats != repeatable::deduplicated) return true;
    if (r.how->drops_repeats == group::zone) return s.zone == first->to->zone;
    return r.how->drops_repeats != group::cell || s.cell == first->to->cell;
  }

  std::vector<std::uint64_t> homes_of(const rpc& r) const {
    if (!land.warm_keys || !r.key) return {};
    std::vector<std::uint64_t> best(zones.size());
    for (const server* s : fleet) best[s->zone] = std::max(best[s->zone], score(*r.key, *s));
    return best;
  }

  static double share_of(std::uint64_t key) { return static_cast<double>(mix(key)) * 0x1p-64; }  // 0 to 1

  static std::uint64_t score(std::uint64_t key, const server& s) { return mix(s.id_hash ^ mix(key)); }

  struct ballot {
    std::vector<server*> those;
    std::vector<double> weights;
    std::vector<char> timely;         // would answer in time
    double in_flight = 0, known = 0;  // known: how far the last reports still tell, 0 to 1
    bool let_through = false;         // though no server may be timely
    bool in_time() const {
      for (std::size_t i = 0; i < those.size(); ++i)
        if (timely[i] && weights[i] > 0) return true;
      return let_through;
    }
  };

  // What others sent since their last word, to the few idle servers that all of them see: taken for sent
  // there.
  double unseen(double rate) const {
    constexpr double on_the_way = 25;  // ms; messages take 2 to 25
    return hears() ? (land.sidecars - 1) * rate * (told_every / 2 + on_the_way) : 0;
  }
  static constexpr double failing = -3;  // a reputation under which a server's room is not counted on
  double level(const std::vector<server*>& those) const {
    std::vector<std::pair<double, double>> waits;  // and paces
    for (const server* s : those)
      if (log_reputation(*s) > failing) waits.emplace_back(pace(*s) * ahead(*s), pace(*s));
    std::sort(waits.begin(), waits.end());
    double left = unseen(send_rate), room = 0;  // RPCs for each ms of the level
    for (std::size_t i = 0; i < waits.size(); ++i) {
      room += 1 / waits[i].second;
      const double next = i + 1 < waits.size() ? waits[i + 1].first : -never;
      if (left <= room * (next - waits[i].first)) return waits[i].first + left / room;
      left -= room * (next - waits[i].first);
    }
    return 0;
  }

  ballot weigh(const rpc& r) {
    constexpr double least = 0.4, for_utility = 0.6;  // of its time, that an RPC may wait by its utility
    const double on_time = std::min(r.target, settle_by(r)) - now;
    const bool late = usual_pace > on_time;
    const double left = late ? useful_until(r) - now : on_time;
    const double worth = r.share * r.how->utility * (late ? r.how->late_utility : 1) / most_utility;
    const double patience = least + for_utility * worth;
    // A server that holds far more than it works on slows down for many seconds: its waiting room is kept
    // short.
    constexpr double waiting = 4;
    const double most_ahead = hears() ? waiting * patience * (r.share < 1 ? 0.5 : 1) : -never;

    // Quiet sidecars guess for long: taken at its word, the guess turns away what idle servers could serve.
    constexpr double doubtful = 0.4;  // 0.2 is alike, 0.7 turns away three times as many
    const bool guessing = answers < guessed && usual_pace <= guess * unnamed.latency_target;
    ballot b;
    b.those.reserve(fleet.size());
    b.weights.reserve(fleet.size());
    const double log_size = std::log2(static_cast<double>(fleet.size()));
    double reputation = 0, recency = 0, sent = 0;
    const std::vector<std::uint64_t> best_homes = homes_of(r);
    for (server* s : fleet) {
      if (!allowed(r, *s)) continue;
      b.those.push_back(s);
      b.in_flight += s->in_flight;
      if (s->last_send == never) continue;
      reputation += std::exp2(log_reputation(*s));
      recency += std::exp2(log_recency(*s));
      ++sent;
    }
    if (b.those.empty()) return b;
    // Giving up on what was seen long ago would never see anything again; a thousand sidecars that ask are a
    // load.
    constexpr double silence = 1000, chance_through = 0.1;
    b.let_through = now - last_send > silence && b.in_flight == 0 && random() < chance_through;
    const double filled = hears() ? level(b.those) : 0;
    double room = 0;
    const double unsent = sent > 0 ? std::log2(reputation / sent) + std::log2(recency / sent) : 0;
    for (server* s : b.those) {
      const double reputed = log_reputation(*s), one = pace(*s), held = ahead(*s), free = filled - one * held;
      double w =
          s->last_send == never ? unsent - others.failures(s->named(), now) : reputed + log_recency(*s);
      // What turned a pick away looks idle, but its queue is as long as it gets: of the latency target.
      constexpr double jam = 0.4, fades = 2;
      const double since = (now - s->full) / (fades * r.how->latency_target);
      const double waits = one * held + std::max(free, 0.0) +
                           (since > forgotten ? 0 : jam * r.how->latency_target * std::exp2(-since));
      if (free > 0) w += std::log2(std::min(free / one, 1.0));
      if (reputed > failing) room += std::max(0.0, most_ahead - held);
      constexpr double heavy = 1.6;  // mean RPCs: it may be a long one, and a wait must leave room for that
      const double hopeless = heard(*s) > 0.5 && held < 1.5 ? 17 : 3;
      const double hoped = guessing && s->paced == never ? doubtful * one : one, alone = hoped * heavy;
      b.timely.push_back(count(s->window).second < hopeless && alone <= left && held <= most_ahead &&
                         waits - (one - hoped) * held <= patience * (left - alone));
      constexpr double halvings = 30;  // for a latency target; an RPC in hand takes 4 to 9 of them
      w -= halvings * (waits + one) / r.how->latency_target;
      if (warmth(*s) < 1) w += std::log2(warmth(*s));  // not for each of many warm ones
      constexpr double for_price = 40;                 // halvings for a crossing that costs everything
      if (s->zone != home) w -= for_price * land.cross_zone_price;
      constexpr double for_handshake = 100;
      if (s->resting == 0 && (s->last_send != never || warmth(*s) >= 1))
        w -= for_handshake * land.handshake_price;
      constexpr double crowded = 20;  // halvings: more than a key's home is worth
      if (held > most_ahead) w -= crowded;
      constexpr double silent = 8, unheard = 3;  // halvings; a dead server answers no probe
      if (unanswered(*s)) w -= silent;
      const double known_there = heard(*s);
      if (!r.asked.empty()) w -= (1 - known_there) * (unheard + log_size);
      b.known += known_there / static_cast<double>(b.those.size());
      for (const pick& p : r.picks)
        if (p.to == s) w -= 4;  // another server is the better bet for a further pick
      // Halvings that the key's home is ahead of the rest: a long queue there still sends it elsewhere.
      constexpr double home_first = 20;
      const bool at_home = !best_homes.empty() && score(*r.key, *s) == best_homes[s->zone];
      b.weights.push_back(w + (at_home ? home_first : 0));
    }
    // All sidecars see the same room: what is scarce is shared by chance.
    if (hears() && random() * unseen(arrival_rate) > room + unseen(send_rate)) return {};
    const double top = *std::max_element(b.weights.begin(), b.weights.end());
    for (double& w : b.weights) w = std::exp2(w - top);
    return b;
  }

  static double sum(const std::vector<double>& w) { return std::accumulate(w.begin(), w.end(), 0.0); }

  std::size_t by_weight(const ballot& b) {
    double x = random() * sum(b.weights);
    std::size_t at = 0;
    while (at + 1 < b.weights.size() && (x -= b.weights[at]) >= 0) ++at;
    return at;
  }

  // A thousand sidecars that each save up one RPC for a cold server would push it over: chance is bounded.
  std::size_t by_bounded_weight(const rpc& r, ballot& b) {
    struct claim {
      std::size_t at;
      double chance, most;
    };
    std::vector<claim> cold;
    const double all = sum(b.weights);
    double best_other = 0, left = 0, room = 0;
    for (std::size_t i = 0; i < b.those.size(); ++i) {
      const server* s = b.those[i];
      if (warmth(*s) >= 1 || std::find(r.asked.begin(), r.asked.end(), s) != r.asked.end()) {
        best_other = std::max(best_other, b.weights[i]);
        continue;
      }
      const double share = b.weights[i] / all;
      const double most = cold_part * land.cold_multiple * warmth(*s) / warm_servers / std::max(r.paid, 1.0);
      left += std::max(share - most, 0.0);
      cold.push_back({i, std::min(share, most), most});
    }
    if (cold.empty() || cold.size() == b.those.size()) return by_weight(b);
    constexpr double near = 0x1p-6;  // of the best warm one: a failure alone takes more
    const auto open_to = [&](const claim& c) {
      return b.weights[c.at] > near * best_other ? c.most - c.chance : 0;
    };
    for (const claim& c : cold) room += open_to(c);
    const double part = left > 0 ? left / std::max(room, left) : 0;
    double x = random();
    for (const claim& c : cold)
      if ((x -= c.chance + part * open_to(c)) < 0) return c.at;
    for (const claim& c : cold) b.weights[c.at] = 0;
    return by_weight(b);
  }

  server* draw(const rpc& r, ballot b) {
    const double crowd = 1 + 2 * b.in_flight / static_cast<double>(b.those.size());
    std::size_t at = by_bounded_weight(r, b);
    if (b.those[at]->in_flight > crowd) at = by_bounded_weight(r, b);
    return b.in_time() ? b.those[at] : nullptr;
  }

  double settle_by(const rpc& r) const { return r.dl - land.tick; }

  double useful_until(const rpc& r) const {
    return r.how->late_utility > 0 ? settle_by(r) : std::min(r.target, settle_by(r));
  }

  // A push-back says that a retry is harmless. What may have run and must not run twice is aborted.
  bool may_push_back(const rpc& r) const {
    if (r.how->repeats == repeatable::idempotent || !r.first_that_may_have_run()) return true;
    return r.how->repeats == repeatable::deduplicated && r.how->drops_repeats == group::everywhere;
  }

  // A repeat that is on its way for longer, as its connection came up late, could run for the second time.
  double repeat_by(const rpc& r) const {
    constexpr double margin = 0.9;  // of the group's memory: it still has to travel
    const pick* first = r.first_that_may_have_run();
    return first && r.how->repeats == repeatable::deduplicated ? first->sent + margin * r.how->remembers
                                                               : -never;
  }

  bool may_pick(const rpc& r) const {
    const bool once = r.how->repeats == repeatable::non_idempotent && r.first_that_may_have_run();
    return r.tried() < land.most_picks && !once && now < repeat_by(r);
  }

  decision give_up(rpc& r) {
    decision d{may_push_back(r) ? decision::verb::push_back : decision::verb::abort, r.id, {}, 0, 0, 0};
    const double soon = r.how->late_utility > 0 ? (r.target - now) / 4 : 0, least = 100;
    if (d.what == decision::verb::push_back)
      d.after = soon > least ? std::min(soon, land.longest_retry_after) : land.longest_retry_after;
    conclude(r);
    return d;
  }

  std::optional<decision> decide(rpc& r) {
    if (r.concluded || (r.streaming && r.outstanding() > 0)) return {};
    set_due(r, never);
    if (r.streaming || now >= settle_by(r)) return give_up(r);
    if (r.outstanding() > 0) return set_due(r, settle_by(r)), std::nullopt;
    if (now >= useful_until(r)) return give_up(r);
    const bool further = r.tried() > 0;
    ballot b;
    if (ask_around(r, b)) return {};
    if (!may_pick(r) || (further && std::min(spare, granted) < 1)) return give_up(r);
    if (b.those.empty() || !r.asked.empty()) b = weigh(r);
    server* to = b.those.empty() || !b.in_time() ? nullptr : draw(r, std::move(b));
    return to ? send(r, *to, further, useful_until(r) - now) : give_up(r);
  }

  decision send(rpc& r, server& s, bool further, double left) {
    const double by = repeat_by(r);
    r.picks.push_back({&s, &r, static_cast<int>(r.picks.size()), now, ahead(s), true, true, further});
    s.in_flight += 1;
    s.last_send = last_send = now;
    if (warmth(s) < 1) --s.budget;
    ++sends_since_beat;
    granted -= further;
    spare = further ? spare - 1 : std::min(spare + further_success * 0.5, 10.0);
    set_due(r, now + std::max(left, 0.0));
    return {decision::verb::pick, r.id, s.id, r.picks.back().number, std::max(left, 0.001), 0, {}, by};
  }

  double worth_asking(const rpc& r, const ballot& b) {
    constexpr double saved = 0.2, most = 9;
    if (land.probe_price <= 0) return most;
    const double unknown = (1 - b.known) * (1 - b.known);
    const double risk = std::min(usual_pace / (useful_until(r) - now), 1.0);
    const double busy = mean_others / (1 + mean_others);
    const double gain = saved * risk * busy * unknown * r.share * r.how->utility / mean_value;
    return std::min(std::floor(gain / (land.probe_price + land.handshake_price) + random()), most);
  }

  bool ask_around(rpc& r, ballot& b) {
    if (!land.probing || !land.probes_report || !r.picks.empty() || hears()) return false;
    if (r.ask_until == never) {
      b = weigh(r);
      r.paid = worth_asking(r, b);
      // The servers of shortest expected wait are the same ones at all sidecars, which would crowd them.
      ballot left = r.paid > 0 ? b : ballot();
      while (static_cast<double>(r.to_ask.size()) < r.paid && r.to_ask.size() < left.those.size()) {
        const std::size_t at = by_bounded_weight(r, left);
        if (left.weights[at] <= 0) break;
        left.weights[at] = 0;
        r.to_ask.push_back(left.those[at]);
      }
    } else {
      const bool answered =
          std::all_of(r.asked.begin(), r.asked.end(), [](server* s) { return s->probed == never; });
      if (!answered && now < r.ask_until) {
        set_due(r, r.ask_until);
        return true;
      }
      std::erase(asking, &r);
      for (const server* s : r.asked)
        if (fresh(*s) && ahead(*s) < 0.5) return false;
    }
    constexpr double patience = 4;  // a few round trips
    r.ask_until = now + patience;
    constexpr std::size_t at_once = 3;
    for (std::size_t asked = 0; asked < at_once && r.asked.size() < r.to_ask.size(); ++asked) {
      server* s = r.to_ask[r.asked.size()];
      r.asked.push_back(s);
      if (unanswered(*s) || fresh(*s) || !s->ready) continue;
      s->probed = now;
      to_probe.push_back(s);
    }
    if (to_probe.empty()) return false;
    asking.push_back(&r);
    set_due(r, r.ask_until);
    return true;
  }

  static constexpr double beat = 1000;

  void keep_beat() {
    beat_due = true;
    const double span = beat_at == never ? beat : now - beat_at;
    beat_at = now;
    for (std::size_t i = 0; i < asks.size(); ++i)
      asks[i] += 0.3 * (std::exchange(asking_now[i], 0) / span * 1000 - asks[i]);
    constexpr double remembered = 3000;  // our own rate is that of the last seconds
    const double weight = std::max(1 - std::exp(-span / remembered), 1 / ++beats);
    send_rate += weight * (sends_since_beat / span - send_rate);
    arrival_rate += weight * (arrivals_since_beat / span - arrival_rate);
    sends_since_beat = arrivals_since_beat = 0;
    others.forget_silent(now);
    forget_gone();
    muster();
  }

  // Each sidecar gives a cold server no more than its own mean times a part of the multiple; little is saved
  // up.
  void count_budget(server& s) {
    constexpr double trickle = 0.3;
    const double share = std::max(send_rate, trickle * arrival_rate) / std::max(warm_servers, 1.0);
    const double span = s.budget_at == never ? 0 : now - s.budget_at;
    s.budget_at = now;
    s.budget = std::min(s.budget + span * cold_part * land.cold_multiple * warmth(s) * share,
                        std::max(1.0, share * land.cold_span));
  }

  double ask_spread() const {
    constexpr double of_one = 50;  // ms for each other sidecar: 20 calls a second for one service
    return std::min(of_one * (land.sidecars - 1), land.ask_within / 2);
  }

  bool tells() const { return land.telling && land.sidecars > 1; }
  bool needs_list() const { return land.must_ask && !subscribed && !call_out; }

  std::optional<decision> next() {
    while (!to_cancel.empty()) {
      pick* p = to_cancel.front();
      to_cancel.pop_front();
      if (p->out) return decision{decision::verb::cancel, p->of->id, p->to->id, p->number, 0, 0};
    }
    if (needs_list() && now >= ask_at) {
      call_out = true;
      return decision{decision::verb::follow_list, {}, {}, 0, 0, 0};
    }
    if (tells() && now >= tell_at)
      if (auto n = tell()) return decision{decision::verb::tell, {}, {}, 0, 0, 0, std::move(*n)};
    while (!due.empty() && due.begin()->first.first <= now) {
      rpc& r = *due.begin()->second;
      set_due(r, never);
      queue(r);
    }
    if (!to_probe.empty()) {
      server* s = to_probe.front();
      to_probe.pop_front();
      return decision{decision::verb::probe, {}, s->id, 0, 0, 0};
    }
    while (!undecided.empty()) {
      rpc& r = *undecided.front();
      undecided.pop_front();
      r.queued = false;
      const auto d = decide(r);
      if (d) {
        forget_if_over(d->rpc);
        return d;
      }
      if (!to_probe.empty()) return next();
    }
    if (beat_due) {
      beat_due = false;
      return decision{decision::verb::wake, {}, {}, 0, beat, beat_wake};
    }
    double soonest = due.empty() ? -never : due.begin()->first.first;
    if (needs_list()) soonest = std::min(soonest, ask_at);
    if (tells()) soonest = std::min(soonest, tell_at);
    if (soonest < -never && (armed == never || soonest < armed)) {
      armed = soonest;
      return decision{decision::verb::wake, {}, {}, 0, armed - now, due_wake};
    }
    return {};
  }
};

balancer::balancer(terrain where, std::uint64_t seed, double now)
    : self(std::make_unique<state>(std::move(where), seed, now)) {}
balancer::~balancer() = default;

void balancer::listed(double now, bool whole, bool asked, const std::vector<endpoint>& entries) {
  self->now = now;
  if (whole)
    for (const auto& [id, s] : self->servers) s->listed = false;
  for (const endpoint& e : entries) self->learn_endpoint(e);
  self->muster();
  if (asked && self->call_out) {
    self->call_out = false;
    self->subscribed = true;
    self->failed_calls = 0;
  }
}

void balancer::list_failed(double now) {
  self->now = now;
  self->call_out = self->subscribed = false;
  // What the list's one service gave up on still fills its queue: all asking at once would keep it down.
  constexpr double least = 250;
  const double backoff = std::min(std::max(self->ask_spread(), least) * std::exp2(self->failed_calls),
                                  std::max(self->land.ask_within, least));
  self->ask_at = now + backoff * (0.5 + self->random());
  ++self->failed_calls;
}

void balancer::rpc_arrived(double now, const arrival& what) {
  state& b = *self;
  b.now = now;
  auto r = std::make_unique<rpc>();
  r->id = what.id;
  r->how = &b.unnamed;
  for (const method& m : b.land.methods)
    if (m.name == what.method) r->how = &m;
  r->order = b.arrivals++;
  ++b.arrivals_since_beat, ++b.unpaid;
  r->dl = what.deadline;
  r->target = now + r->how->latency_target;
  if (r->how->deadline > 0 && (what.repeat || !b.land.marks_repeats))
    r->target -= b.asked_before(*r->how, r->dl - now);
  r->key = what.key;
  for (std::size_t i = 0; i < b.land.tenants.size(); ++i)
    if (b.land.tenants[i].name == what.tenant) {
      ++b.asking_now[i];
      if (b.hears() && b.random() < b.surplus(i)) r->share = b.land.surplus_utility;
    }
  const double value = r->share * r->how->utility;
  constexpr double of_one = 0.02;  // some fifty RPCs are remembered
  b.mean_value += (r->order > 0 ? of_one : 1) * (value - b.mean_value);
  b.queue(*(b.rpcs[std::string(what.id)] = std::move(r)));
}

void balancer::answer_began(double now, std::string_view id, int number, bool eases) {
  self->now = now;
  const auto it = self->rpcs.find(std::string(id));
  if (it == self->rpcs.end()) return;
  it->second->streaming = true;
  if (eases) self->ease(it->second->picks.at(static_cast<std::size_t>(number)));
  self->set_due(*it->second, never);
}

void balancer::pick_ended(double now, std::string_view id, int number, ending how, double took,
                          bool concluded, const load& report) {
  state& b = *self;
  b.now = now;
  const auto it = b.rpcs.find(std::string(id));
  if (it == b.rpcs.end()) return;
  rpc& r = *it->second;
  if (number < 0 || number >= static_cast<int>(r.picks.size()) || !r.picks[number].out) return;
  pick& p = r.picks[number];
  server& s = *p.to;
  p.out = false;
  const bool unsent = how == ending::withdrawn;
  r.withdrawn += unsent;
  p.may_have_run = how != ending::full && how != ending::connect_failed && how != ending::moot && !unsent;
  b.ease(p);
  b.learn_report(s, report, how == ending::ok);
  if (how == ending::ok || how == ending::timed_out) b.learn_pace(s, took, p.ahead + 1, how == ending::ok);
  if (how == ending::full) s.full = now;
  const bool failed = how != ending::ok || took > r.how->latency_target;
  if (how != ending::cancelled && how != ending::moot && how != ending::full && !unsent)
    b.learn_outcome(s.window, failed);
  s.untold += failed && how != ending::cancelled && how != ending::moot && !unsent;
  if (p.further && !unsent)
    b.further_success += 0.1 * ((how == ending::ok && now <= r.target ? 1 : 0.1) - b.further_success);
  if (concluded && !r.concluded) b.conclude(r);
  if (!r.concluded) b.queue(r);
  b.forget_if_over(r.id);
}

void balancer::probe_ended(double now, std::string_view id, ending how, const load& report) {
  self->now = now;
  const auto it = self->servers.find(id);
  if (it == self->servers.end()) return;
  if (how == ending::ok || how == ending::moot) it->second->probed = never;  // moot: it was not asked at all
  if (how == ending::ok) self->learn_report(*it->second, report, false);
  for (rpc* r : self->asking) self->queue(*r);
}

void balancer::client_left(double now, std::string_view id) {
  self->now = now;
  const auto it = self->rpcs.find(std::string(id));
  if (it == self->rpcs.end()) return;
  if (!it->second->concluded) self->conclude(*it->second);
  self->forget_if_over(it->second->id);
}

void balancer::told(double now, int sidecar, const news& what) {
  self->now = now;
  self->others.hear(now, sidecar, what);
}

void balancer::resting(std::string_view id, std::size_t connections) {
  if (const auto it = self->servers.find(id); it != self->servers.end()) it->second->resting = connections;
}

void balancer::barred(std::string_view id, bool is) {
  if (const auto it = self->servers.find(id); it != self->servers.end()) it->second->barred = is;
}

void balancer::may_spend(double further_picks) { self->granted = further_picks; }

void balancer::withheld(double now, std::string_view id, bool is, double since) {
  self->now = now;
  server& s = self->meet(std::string(id));
  // Staff restart what they take out: from the call back it is as cold as a start that the list tells.
  if (!is) self->learn_start(s, std::max(s.started, s.returned = since));
  s.out = is;
  self->muster();
}

void balancer::woken(double now, std::uint64_t wake) {
  self->now = now;
  if (wake == beat_wake) return self->keep_beat();
  self->armed = never;
}

std::optional<decision> balancer::next() { return self->next(); }

}  // namespace indigorill
