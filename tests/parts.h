// For the tests: a sidecar's parts on loopback, stepped by hand, and endpoints that hold a connect back.
#pragma once

#include <array>
#include <sstream>

#include "../src/net/discovery.h"
#include "../src/net/front.h"
#include "host.h"

namespace host {

constexpr auto request = http::reader::kind::request, answer = http::reader::kind::answer;

struct here {
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::debug};
  counters counts;
  descriptor_budget budget;
  pool endpoints;
  relay rpcs;
  front clients;
  sockaddr_in where;
  descriptor_budget of_clients{100};
  std::vector<std::unique_ptr<side>> sides;

  explicit here(repeatable repeats = repeatable::idempotent, std::size_t descriptors = 100,
                links with = {5000, 60}, std::size_t bytes = 64 << 20)
      : here(ground(repeats), with, descriptors, bytes) {}
  here(const terrain& where_it_stands, links with, std::size_t descriptors = 100,
       std::size_t bytes = 64 << 20, double deadline = 3000)
      : budget{descriptors},
        endpoints(runs, budget, counts, lines, with, [this] { return clients.close_idle(); }),
        rpcs(runs, endpoints, counts, lines, where_it_stands, 1),
        clients(runs, budget, counts, lines, rpcs,
                {descriptors - descriptors / 8, descriptors / 2, bytes, deadline},
                [this] { return endpoints.close_idle(); }) {
    descriptor door = loopback();
    where = address_of(door);
    clients.adopt(std::move(door));
  }
  void list(const std::string& address, standing state = standing::ready) {
    endpoints.listed("a", address);
    rpcs.listed(true, false, {at("a", 0, state)});
  }
  side& client() {
    sides.push_back(std::make_unique<side>(runs, of_clients, connect_to(where), answer));
    until(runs, [&] { return sides.back()->wire->pending_error() == 0; });
    return *sides.back();
  }
  int ask(side& from, const std::string& text) {
    const std::size_t before = from.came.size();
    from.say(text);
    until(runs, [&] { return from.came.size() > before || from.ended; });
    return from.came.size() > before ? from.came.back().status : 0;
  }
};

inline std::string rpc(const std::string& method = "read", int budget = 300, int id = 0) {
  static int ids = 0;  // each has one of its own, unless told
  return "GET /" + method + " HTTP/1.1\r\nX-Call-Id: " + std::to_string(id ? id : --ids) +
         "\r\nX-Call-Class: " + method + "\r\nX-Budget: " + std::to_string(budget) + "m\r\n\r\n";
}

inline const std::string served = answer_text(200, "served");

inline std::string entry(const std::string& id, const std::string& state = "up") {
  return R"({"instanceId":")" + id + R"(","hostPort":"127.0.0.1:1","zone":"z","cell":3,"lifecycle":")" +
         state + R"(","weight":1.0,"startedAtMs":5})";
}
inline std::string list_text(int version, bool whole, const std::string& entries) {
  return answer_text(200, R"({"generation":)" + std::to_string(version) + R"(,"reset":)" +
                              (whole ? "true" : "false") + R"(,"instances":[)" + entries + "]}");
}

struct follower {
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::info};
  counters counts;
  descriptor_budget budget{10};
  std::string heard;
  int failed = 0;
  double grace = 500;
  std::unique_ptr<discovery> lists;
  void follow(const sockaddr_in& agent, bool by_itself, std::optional<std::uint64_t> had = {}) {
    lists = std::make_unique<discovery>(
        runs, budget, counts, lines, agent, "agent", 1, grace,
        [this](const roster& r) {
          heard += (r.whole ? "=" : "+") + std::to_string(r.version);
          for (const auto& e : r.entries) heard += e.is.id;
        },
        [this] { ++failed; });
    if (by_itself) lists->keep_asking();
    if (had) lists->knows(*had);
    lists->begin();
  }
};

// An endpoint whose queue is full: connects to it hang until it is let up, and come up with the next try of
// their kernel, a second after the first. It says what came over any connection, and nothing.
struct late_door {
  descriptor door = loopback();
  sockaddr_in where = address_of(door);
  std::vector<descriptor> filling, taken;
  std::string heard;

  late_door() {
    ::listen(door.get(), 0);
    for (int i = 0; i < 8; ++i) filling.push_back(connect_to(where));
  }
  void let_up() {
    filling.clear();
    ::listen(door.get(), 100);
  }
  void hear() {
    for (;;) {
      descriptor fd(::accept4(door.get(), nullptr, nullptr, SOCK_NONBLOCK));
      if (!fd) break;
      taken.push_back(std::move(fd));
    }
    std::array<char, 4096> some;
    for (const descriptor& fd : taken)
      for (ssize_t n; (n = ::recv(fd.get(), some.data(), some.size(), 0)) > 0;)
        heard.append(some.data(), static_cast<std::size_t>(n));
  }
  std::size_t requests() const {
    std::size_t n = 0;
    for (std::size_t at = 0; (at = heard.find("X-Call-Id", at)) != std::string::npos; ++at) ++n;
    return n;
  }
};

inline std::size_t ended(const here& h, ending how) { return h.counts.picks[static_cast<std::size_t>(how)]; }

inline bool each_had_one_answer(const here& h) {
  return h.rpcs.held() == 0 &&
         h.counts.taken == h.counts.ok + h.counts.pushed_back + h.counts.aborted + h.counts.left;
}

// Settings unlike one another in what bears on endings: the long one leaves a connect the second that a lost
// SYN costs.
inline terrain customer(bool longer, bool cancels, repeatable repeats, group drops = group::everywhere) {
  terrain t = ground(repeats, drops);
  for (method& m : t.methods) {
    m.latency_target = m.deadline = longer ? 4000 : 150;
    m.remembers = 10000;
  }
  t.cancelling = cancels;
  t.probing = cancels;
  t.most_picks = cancels ? 4 : 2;
  t.longest_retry_after = cancels ? 1000 : 0;
  return t;
}
inline constexpr links slow_links{5000, 3000, 300};

// A burst of rounds, in which nothing has to wait for time.
inline void some_rounds(loop& runs, int n = 20) {
  for (int i = 0; i < n; ++i) runs.round(0);
}

// Until so, for so long at most; how long it took, or -1.
inline double took(loop& runs, double longest, const std::function<bool()>& so) {
  const double began = runs.now();
  while (!so()) {
    if (runs.now() > began + longest) return -1;
    runs.round(2);
  }
  return runs.now() - began;
}

inline const std::string list9 = list_text(9, true, entry("a") + "," + entry("b")),
                         drain10 = list_text(10, false, entry("b", "draining"));

// Nobody accepts at this door any more, and its queue is full: a connect hangs.
inline std::vector<descriptor> fill(const descriptor& door) {
  ::listen(door.get(), 0);
  std::vector<descriptor> all;
  for (int i = 0; i < 8; ++i) all.push_back(connect_to(address_of(door)));
  return all;
}

}  // namespace host
