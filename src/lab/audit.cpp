#include "audit.h"

#include <algorithm>
#include <sstream>

namespace indigorill::lab {

std::string describe(const breach& b) {
  std::ostringstream s;
  s << "rule " << b.rule << " at " << b.at << " ms: ";
  if (b.rpc) s << "RPC " << b.rpc << ", ";
  s << "server s" << b.server << ", sidecar " << b.sidecar << ": " << b.text;
  return s.str();
}

void auditor::found_breach(int rule, const entry& e, std::string text) {
  ++counts[static_cast<std::size_t>(rule) - 1];
  constexpr std::size_t kept = 1000;  // more of them tell no more
  if (found.size() < kept) found.push_back({rule, e.at, e.rpc, e.server, e.sidecar, std::move(text)});
}

void auditor::saw(const entry& e) {
  using what = entry::what;
  switch (e.is) {
    case what::server_is: {
      server& s = servers[e.server];
      s = {e.capacity, e.started, e.cold_from, e.cold_for, e.zone, e.cell, {}, 0, false};
      return;
    }
    case what::told: {
      const auto both = std::pair(e.sidecar, e.server);
      if (e.state == standing::ready)
        told_to_stop.erase(both);
      else
        told_to_stop.emplace(both, e.at);  // the first word counts
      if (e.started > 0) told_of_start[both] = e.started;
      return;
    }
    case what::rpc_taken:
      return taken(e);
    case what::pick_decided:
      return decided(e);
    case what::pick_written:
    case what::probe_written:
      return written(e);
    case what::pick_came:
      return came(e);
    case what::pick_began:
      return began(e);
    case what::pick_over:
      return pick_over(e);
    case what::answered:
      return answered(e);
    case what::client_left:
      if (rpc* r = open(e, "its client left")) {
        r->over = true;
        drop_if_done(e.rpc);
      }
      return;
    case what::sidecar_died:
      return died(e);
    case what::end:
      return at_end(e);
  }
}

auditor::rpc* auditor::open(const entry& e, const char* doing) {
  const auto it = rpcs.find(e.rpc);
  if (it != rpcs.end()) return &it->second;
  found_breach(
      1, e,
      std::string(doing) + (done.count(e.rpc) ? " after it was over" : ", though nobody took this RPC"));
  return nullptr;
}

void auditor::taken(const entry& e) {
  if (rpcs.count(e.rpc) || done.count(e.rpc)) return found_breach(1, e, "was taken twice");
  rpcs.emplace(e.rpc, rpc{e.sidecar, e.repeats, e.drops, e.remembers, e.deadline, false, false, 0, {}});
}

const auditor::pick* auditor::first_that_may_have_run(const rpc& r, int before) {
  for (const auto& [number, p] : r.picks)
    if (number < before && (p.out || p.may_have_run)) return &p;
  return nullptr;
}

void auditor::decided(const entry& e) {
  rpc* r = open(e, "a pick was made");
  if (!r) return;
  if (r->over) found_breach(1, e, "a pick was made after its final answer");
  const pick* first = first_that_may_have_run(*r, e.pick);
  if (first && r->repeats == repeatable::non_idempotent)
    found_breach(2, e, "a non-idempotent RPC got another pick, though one may have run");
  if (first && r->repeats == repeatable::deduplicated) {
    const server &a = servers[first->server], &b = servers[e.server];
    if ((r->drops == group::zone && a.zone != b.zone) || (r->drops == group::cell && a.cell != b.cell))
      found_breach(2, e, "a deduplicated RPC got another pick outside its group");
    if (e.at > first->decided + r->remembers)
      found_breach(2, e, "a deduplicated RPC got another pick after its window");
  }
  if (!r->picks.emplace(e.pick, pick{e.server, e.at}).second) found_breach(1, e, "a pick was made twice");
}

void auditor::written(const entry& e) {
  const auto told = told_to_stop.find({e.sidecar, e.server});
  if (told != told_to_stop.end() && e.at > told->second + within.grace)
    found_breach(3, e,
                 "something new was sent " + std::to_string(static_cast<int>(e.at - told->second)) +
                     " ms after it was told that the server drains or is gone");
  if (e.is == entry::what::probe_written) return;
  rpc* r = open(e, "a pick was sent");
  if (!r) return;
  if (r->over) found_breach(1, e, "a pick was sent after its final answer");
  if (e.at > r->deadline) found_breach(1, e, "a pick was sent after its deadline");
}

void auditor::came(const entry& e) {
  const auto it = servers.find(e.server);
  if (it == servers.end()) return;
  server& s = it->second;
  if (s.started <= 0 || s.cold_for <= 0 || e.at >= s.started + s.cold_for) return;
  const auto told = told_of_start.find({e.sidecar, e.server});
  if (told == told_of_start.end() || told->second != s.started) return;
  s.sent.push_back({e.at, e.work});
  s.sent_work += e.work;
  while (s.sent.front().at <= e.at - within.cold_span) {
    s.sent_work -= s.sent.front().work;
    s.sent.pop_front();
  }
  const double warmth = s.cold_from + (1 - s.cold_from) * (e.at - s.started) / s.cold_for;
  const double can = s.capacity * warmth * within.cold_span;
  const double share = s.sent_work / can;
  worst = std::max(worst, share / within.cold_multiple);
  if (share <= within.cold_multiple || s.broken) return;
  s.broken = true;
  std::ostringstream text;
  text << "a cold server got " << share << " times what it can do, over " << within.cold_span << " ms";
  found_breach(4, e, text.str());
}

void auditor::began(const entry& e) {
  const auto it = rpcs.find(e.rpc);
  if (it == rpcs.end()) return;  // its sidecar died, or gave it up and forgot: the server may still work
  rpc& r = it->second;
  const auto p = r.picks.find(e.pick);
  if (p == r.picks.end()) return found_breach(1, e, "a server works on a pick that nobody made");
  if (!p->second.out && !p->second.may_have_run)
    found_breach(2, e, "a server works on a pick that was held never to run");
  p->second.began = true;
  if (++r.runs > 1 && r.repeats == repeatable::non_idempotent)
    found_breach(2, e, "a non-idempotent RPC ran twice");
}

void auditor::pick_over(const entry& e) {
  const auto it = rpcs.find(e.rpc);
  if (it == rpcs.end()) return;
  const auto p = it->second.picks.find(e.pick);
  if (p == it->second.picks.end()) return found_breach(1, e, "a pick ended that nobody made");
  p->second.out = false;
  p->second.served = e.how == ending::ok;
  p->second.may_have_run = e.how != ending::connect_failed && e.how != ending::full && e.how != ending::moot;
  if (p->second.began && !p->second.may_have_run)
    found_breach(2, e, "a pick that ran is held never to have run");
  drop_if_done(e.rpc);
}

void auditor::answered(const entry& e) {
  rpc* r = open(e, "a final answer was given");
  if (!r) return;
  if (r->answered) return found_breach(1, e, "a second final answer was given");
  if (r->over) found_breach(1, e, "a final answer was given after its client left");
  if (e.at > r->deadline) found_breach(1, e, "the final answer came after the deadline");
  r->over = r->answered = true;
  const auto served = [](const auto& p) { return p.second.served; };
  if (e.final == answer::ok && std::none_of(r->picks.begin(), r->picks.end(), served))
    found_breach(1, e, "was answered ok, though no pick was");
  const pick* ran = first_that_may_have_run(*r, static_cast<int>(r->picks.size()));
  if (e.final == answer::pushed_back && ran) {
    if (r->repeats == repeatable::non_idempotent)
      found_breach(2, e, "a non-idempotent RPC was pushed back, though a pick may have run");
    if (r->repeats == repeatable::deduplicated && r->drops != group::everywhere)
      found_breach(2, e, "a deduplicated RPC was pushed back, though its repeat may leave the group");
  }
  drop_if_done(e.rpc);
}

// What is answered and has no pick out is kept by its id alone.
void auditor::drop_if_done(std::uint64_t id) {
  const auto it = rpcs.find(id);
  const auto out = [](const auto& p) { return p.second.out; };
  if (it == rpcs.end() || !it->second.over) return;
  if (std::any_of(it->second.picks.begin(), it->second.picks.end(), out)) return;
  // What must not run twice is watched until the end: a cancelled pick may begin late.
  if (it->second.repeats == repeatable::non_idempotent && it->second.picks.size() > 1) return;
  done.insert(id);
  rpcs.erase(it);
}

void auditor::died(const entry& e) {
  for (auto it = rpcs.begin(); it != rpcs.end();) {
    if (it->second.sidecar != e.sidecar) {
      ++it;
      continue;
    }
    done.insert(it->first);
    it = rpcs.erase(it);
  }
  std::erase_if(told_to_stop, [&](const auto& t) { return t.first.first == e.sidecar; });
  std::erase_if(told_of_start, [&](const auto& t) { return t.first.first == e.sidecar; });
}

void auditor::at_end(const entry& e) {
  std::vector<std::pair<std::uint64_t, const rpc*>> left;
  for (const auto& [id, r] : rpcs)
    if (!r.over && r.deadline < e.at) left.emplace_back(id, &r);
  std::sort(left.begin(), left.end());
  for (const auto& [id, r] : left) {
    entry of = e;
    of.rpc = id;
    of.sidecar = r->sidecar;
    of.server = r->picks.empty() ? 0 : r->picks.rbegin()->second.server;
    found_breach(1, of, "got no final answer before its deadline");
  }
}

}  // namespace indigorill::lab
