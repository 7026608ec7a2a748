#include "relay.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

// A whole answer says how it ended, and may carry a report.
load understand(pool::result& ended, bool of_probe) {
  if (ended.how != ending::ok) return {};
  ended.how = ending_of(ended.answer);
  return load_of(ended.answer, of_probe);
}

// Messages between sidecars are not carried here: what is never heard must not be told either.
terrain alone(terrain where, logger& lines) {
  if (std::exchange(where.telling, false))
    lines.info() << "the settings allow messages between sidecars; none are sent or heard";
  return where;
}

}  // namespace

bool relay::rpc::idle() const {
  return std::none_of(picks.begin(), picks.end(), [](const pick& p) { return p.out; });
}

relay::relay(loop& in, pool& to, counters& counts, logger& log_to, const terrain& where, std::uint64_t seed)
    : runs(in),
      endpoints(to),
      counted(counts),
      lines(log_to),
      reports(where.probes_report),
      longest_advice(where.longest_retry_after),
      decides(alone(where, log_to), seed, in.now()) {
  for (const method& m : where.methods) methods.insert(m.name);
  endpoints.when_resting(
      [this](const std::string& server, std::size_t connections) { decides.resting(server, connections); });
}

std::string relay::take(http::message m, double came, asker who) {
  // The answer has still to be written and to reach the client; a wake-up may be a millisecond late.
  constexpr double to_answer = 3;
  // Ids of the client's could come twice.
  const std::string id = std::to_string(++serial);
  rpc& r = rpcs[id];
  r.call = std::move(m);
  r.who = std::move(who);
  const call c = read_call(r.call);
  open_ids.insert(r.client_id = c.id);
  // A long request's time counts from its last byte, which is still to come.
  r.budget = c.budget - to_answer;
  r.deadline = came + r.budget;
  ++counted.taken;
  decides.rpc_arrived(runs.now(), {id, c.method, r.deadline, c.key, c.tenant, c.repeat});
  pull();
  return id;
}

void relay::left(const std::string& id) {
  const auto it = rpcs.find(id);
  if (it == rpcs.end() || (it->second.over && !it->second.passing)) return;
  if (!std::exchange(it->second.over, true)) {
    ++counted.left;
    decides.client_left(runs.now(), id);
    pull();
  }
  const auto still = rpcs.find(id);  // the balancer may have cancelled its last pick
  if (still == rpcs.end()) return;
  rpc& r = still->second;
  withdraw_unsent(id);
  // The balancer cancels no pick whose bytes are on their way; nobody gives or takes them any more.
  if (r.spent || r.passing) give_up_all(id);
  r.who = {};
  forget_if_over(id);
}

void relay::end_all() {
  std::vector<std::string> all;
  for (const auto& [id, r] : rpcs) all.push_back(id);
  for (const std::string& id : all) {
    const auto it = rpcs.find(id);
    if (it == rpcs.end()) continue;
    const loop::task cut = it->second.passing ? it->second.who.cut : [] {};
    if (it->second.passing) ++counted.cut;
    if (!it->second.over) {
      conclude(id, {verdict::what::aborted, {}, 0});  // an earlier pick may have run: no word on a retry
      decides.client_left(runs.now(), id);
      pull();
    }
    if (rpcs.count(id)) give_up_all(id);
    cut();
    forget_if_over(id);
  }
}

relay::pick* relay::open_pick(const std::string& id) {
  const auto it = rpcs.find(id);
  if (it == rpcs.end()) return nullptr;
  for (pick& p : it->second.picks)
    if (p.out) return &p;
  return nullptr;
}

void relay::resume(const std::string& id) {
  if (const pick* p = open_pick(id)) endpoints.resume(p->at);
}

bool relay::more(const std::string& id, std::string_view bytes, bool last, double came) {
  const pick* p = open_pick(id);
  if (!p) return false;
  rpc& r = rpcs.at(id);
  if (last) r.deadline = came + r.budget;
  return endpoints.more(p->at, piece_of(bytes, !r.call.length, last), last,
                        std::max(r.deadline - runs.now(), 1.0));
}

// The endpoint took what was here of a long request: from now on it can be sent nowhere else.
void relay::wants(const std::string& id, int number) {
  rpc& r = rpcs.at(id);
  if (!std::exchange(r.spent, true)) {
    ++counted.long_requests;
    decides.answer_began(runs.now(), id, number, true);
  }
  const loop::task next = r.who.wants;
  next();
}

// True if what follows is wanted.
bool relay::began(const std::string& id, int number, const http::message& answer) {
  rpc& r = rpcs.at(id);
  if (r.over || ending_of(answer) != ending::ok) return false;
  ++counted.long_answers;
  r.passing = true;
  r.report = load_of(answer, false);
  decides.answer_began(runs.now(), id, number, true);
  conclude(id, {verdict::what::ok, answer, 0});
  return true;
}

void relay::listed(bool whole, bool asked, const std::vector<endpoint>& entries) {
  decides.listed(runs.now(), whole, asked, entries);
  endpoints.let_go();
  pull();
}

void relay::withheld(const std::string& server, bool is, double since) {
  decides.withheld(runs.now(), server, is, since);
  endpoints.withheld(server, is);
  endpoints.let_go();
  pull();
}

void relay::list_failed() {
  decides.list_failed(runs.now());
  pull();
}

void relay::when_list_wanted(loop::task what) {
  follow = std::move(what);
  if (std::exchange(list_wanted, false)) follow();
}

void relay::pull() {
  // What is carried out may tell the balancer something at once; its decisions then follow in this round.
  if (pulling) return;
  pulling = true;
  for (;;) {
    if (further) decides.may_spend(further->left());
    const auto d = decides.next();
    if (!d) break;
    carry_out(*d);
  }
  pulling = false;
}

void relay::carry_out(const decision& d) {
  using verb = decision::verb;
  switch (d.what) {
    case verb::pick:
      return send(d);
    case verb::push_back:
      note_want(d.rpc);
      conclude(d.rpc, {verdict::what::pushed_back, {}, d.after});
      return forget_if_over(d.rpc);
    case verb::abort:
      note_want(d.rpc);
      conclude(d.rpc, {verdict::what::aborted, {}, 0});
      return forget_if_over(d.rpc);
    case verb::cancel:
      return cancel(d);
    case verb::probe:
      return probe(d.server);
    case verb::follow_list:
      // The balancer asks once and waits: a wish that is dropped leaves the sidecar with its first list.
      list_wanted = !follow;
      if (follow) follow();
      return;
    case verb::tell:
      return;
    case verb::wake: {
      const std::uint64_t name = ++serial;
      wakes[name] = runs.at(runs.now() + d.after, [this, name, wake = d.wake] {
        wakes.erase(name);
        decides.woken(runs.now(), wake);
        pull();
      });
    }
  }
}

// Given up after a pick with nothing left to spend: one more was wanted, as far as can be seen from here.
void relay::note_want(const std::string& id) {
  if (further && !rpcs.at(id).picks.empty() && further->left() < 1) further->wanted();
}

void relay::send(const decision& d) {
  rpc& r = rpcs.at(d.rpc);
  const double now = runs.now(), patience = std::min(d.after, r.deadline - now);
  r.picks.push_back({0, d.server, now, true});
  // Its time ended while this round went on, or the share ended since it was asked about, as this process may
  // have stood still: nothing was sent.
  if (patience <= 0 || now >= d.begin_by || (d.pick > 0 && further && !further->take())) {
    pool::result none{};
    none.how = ending::withdrawn;
    return pick_ended(d.rpc, d.pick, std::move(none));
  }
  pool::exchange with;
  with.then = [this, id = d.rpc, n = d.pick](pool::result ended) { pick_ended(id, n, std::move(ended)); };
  with.began = [this, id = d.rpc, n = d.pick](const http::message& answer) { return began(id, n, answer); };
  with.piece = [this, id = d.rpc](std::string_view bytes, bool last) {
    const auto pass = rpcs.at(id).who.piece;
    return pass(bytes, last);
  };
  with.wants = [this, id = d.rpc, n = d.pick] { wants(id, n); };
  with.told_late = [this, id = d.rpc](double left) { return pick_of(rpcs.at(id).call, left); };
  with.head_alone = asks_head(r.call);
  with.more_to_come = r.call.partial;
  with.whole_by = d.begin_by;
  r.picks.back().at = endpoints.send(d.server, pick_of(r.call, patience), patience, std::move(with));
}

void relay::pick_ended(const std::string& id, int number, pool::result ended) {
  rpc& r = rpcs.at(id);
  r.picks[number].out = false;
  const load report = r.passing ? r.report : understand(ended, false);
  counters::add(counted.picks, ended.how);
  lines.debug() << "rpc " << id << " pick " << number << " at " << r.picks[number].server << ": "
                << name_of(ended.how) << " after " << ended.took << " ms, holds " << report.held.value_or(-1);
  const bool broke = r.passing && ended.how != ending::ok;
  const loop::task cut = broke ? r.who.cut : [] {};
  if (broke) ++counted.cut;
  if (ended.how == ending::ok && !r.over) conclude(id, {verdict::what::ok, std::move(ended.answer), 0});
  // A bad client must not cost endpoints their reputation, nor be tried at one after the other.
  // Without an answer it is us who had no room; the balancer says how it goes on.
  if (ended.how == ending::moot && ended.answer.status != 0 && !r.over)
    conclude(id, {verdict::what::aborted, std::move(ended.answer), 0});
  decides.pick_ended(runs.now(), id, number, ended.how, ended.took, r.over, report);
  pull();
  forget_if_over(id);
  cut();
}

void relay::cancel(const decision& d) {
  rpc& r = rpcs.at(d.rpc);
  pick& p = r.picks.at(d.pick);
  if (!p.out) return;
  give_up(d.rpc, d.pick);
  forget_if_over(d.rpc);
}

void relay::give_up(const std::string& id, int number, ending how) {
  rpc& r = rpcs.at(id);
  pick& p = r.picks.at(static_cast<std::size_t>(number));
  endpoints.give_up(p.at);
  p.out = false;
  counters::add(counted.picks, how);
  decides.pick_ended(runs.now(), id, number, how, runs.now() - p.sent, r.over, {});
}

void relay::give_up_all(const std::string& id) {
  const std::vector<pick>& picks = rpcs.at(id).picks;
  for (std::size_t n = 0; n < picks.size(); ++n)
    if (picks[n].out) give_up(id, static_cast<int>(n));
}

// A connection that comes up late would else bring to an endpoint what has had its final answer, or what
// nobody waits for any more. Also where the settings allow no cancelling: nothing was asked of it yet.
void relay::withdraw_unsent(const std::string& id) {
  rpc& r = rpcs.at(id);
  if (r.passing) return;  // answered before its last byte was out
  for (std::size_t n = 0; n < r.picks.size(); ++n)
    if (r.picks[n].out && endpoints.unsent(r.picks[n].at))
      give_up(id, static_cast<int>(n), ending::withdrawn);
}

void relay::probe(const std::string& server) {
  // An answer that comes later than this tells nothing of the load any more.
  constexpr double patience = 250;
  pool::exchange with;
  with.then = [this, server](pool::result ended) {
    const load report = understand(ended, true);
    if (ended.how == ending::withdrawn) ended.how = ending::moot;  // it was not asked at all
    counters::add(counted.probes, ended.how);
    lines.debug() << "probe of " << server << ": " << name_of(ended.how) << " after " << ended.took
                  << " ms, holds " << report.held.value_or(-1);
    decides.probe_ended(runs.now(), server, ended.how, report);
    pull();
  };
  endpoints.send(server, probe_of(reports), patience, std::move(with));
}

void relay::conclude(const std::string& id, verdict v) {
  rpc& r = rpcs.at(id);
  if (r.over) return;
  r.over = true;
  withdraw_unsent(id);
  ++(v.how == verdict::what::ok            ? counted.ok
     : v.how == verdict::what::pushed_back ? counted.pushed_back
                                           : counted.aborted);
  const auto then = std::move(r.who.then);
  then(std::move(v));
}

void relay::forget_if_over(const std::string& id) {
  const auto it = rpcs.find(id);
  if (it == rpcs.end() || !it->second.over || !it->second.idle()) return;
  open_ids.erase(it->second.client_id);
  rpcs.erase(it);
}

}  // namespace indigorill
