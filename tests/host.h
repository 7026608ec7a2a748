// A host of one balancer for the tests: two methods, a small fleet, and the decisions it drew.
#pragma once

#include <string>
#include <vector>

#include "indigorill/balance.h"

namespace host {

using namespace indigorill;
using verb = decision::verb;

inline terrain ground(repeatable repeats = repeatable::idempotent, group drops = group::everywhere) {
  terrain t;
  t.methods = {{"read", 100, 1, 0, repeats, drops, 200}, {"vital", 100, 10, 0, repeats, drops, 200}};
  t.zone = "here";
  t.most_picks = 4;
  t.cancelling = true;
  t.longest_retry_after = 1000;
  t.cold_from = 0.2;
  t.cold_for = 20000;
  t.cold_multiple = 3;
  t.cold_span = 1000;
  return t;
}

inline endpoint at(std::string id, double started = 0, standing state = standing::ready,
                   std::string zone = "here", int cell = 0) {
  return {std::move(id), std::move(zone), cell, started, state};
}

// Warm servers named by the letters from first to last.
inline std::vector<endpoint> letters(char first, char last, const std::string& zone = "here") {
  std::vector<endpoint> all;
  for (char c = first; c <= last; ++c) all.push_back(at(std::string(1, c), 0, standing::ready, zone));
  return all;
}

struct one {
  balancer b;
  double now = 1000;
  int rpcs = 0;

  explicit one(terrain t = ground(), std::uint64_t seed = 1) : b(std::move(t), seed, 0) {}

  void list(const std::vector<endpoint>& entries) { b.listed(now, true, false, entries); }

  // All decisions now; wake-ups left out.
  std::vector<decision> pull() {
    std::vector<decision> all;
    while (auto d = b.next())
      if (d->what != verb::wake) all.push_back(*d);
    return all;
  }
  void beats(double until) {
    while (now < until) {
      now += 100;
      b.woken(now, 1);
      b.woken(now, 2);
      pull();
    }
  }
  decision only() {
    const auto all = pull();
    return all.size() == 1 ? all.front() : decision{verb::wake, "", "none, or several", 0, 0, 0};
  }
  std::string arrive(const char* method = "read", std::optional<double> work = {}, double patience = 300) {
    std::string id = std::to_string(rpcs++);
    b.rpc_arrived(now, {id, method, now + patience, {}, work});
    return id;
  }
  // One RPC at the time that only this server is ready, ended like this after so long; 25 is the pace
  // guessed.
  void history(const std::string& server, ending how, double took = 25) {
    list({at(server)});
    const std::string id = arrive();
    const auto all = pull();
    if (all.empty() || all.front().what != verb::pick) return;
    b.pick_ended(now, id, 0, how, took, true, {});
    pull();
  }
};

}  // namespace host
