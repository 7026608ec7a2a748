// For the tests: a host of one balancer with two methods and a small fleet, and stand-ins on loopback for
// what a sidecar talks to. Stand-ins live in the sidecar's own loop, so that no test waits or races.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../src/net/socket.h"
#include "../src/net/words.h"
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
  std::string arrive(const char* method = "read", double patience = 300) {
    std::string id = std::to_string(rpcs++);
    b.rpc_arrived(now, {id, method, now + patience, {}});
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

inline http::message parsed(http::reader::kind kind, const std::string& bytes) {
  http::reader r(kind);
  for (const char c : bytes) {
    r.room()[0] = c;
    r.fed(1);
  }
  return r.now() == http::reader::state::whole ? r.take() : http::message{};
}

// Turns the loop until something is so, for two seconds at most.
inline bool until(loop& runs, const std::function<bool()>& so) {
  for (const double end = runs.now() + 2000; !so();) {
    if (runs.now() > end) return false;
    runs.round(5);
  }
  return true;
}
inline void pass(loop& runs, double ms) {
  for (const double end = runs.now() + ms; runs.now() < end;) runs.round(1);
}

// What goes out over a socket.
inline std::string written(outgoing what) {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) < 0) return "no socketpair";
  loop runs;
  descriptor_budget budget{10};
  const descriptor other(ends[1]);
  stream to(runs, budget, descriptor(ends[0]), [](std::uint32_t) {});
  if (!to.write(what) || !what.done()) return "not written whole";
  std::string text(4096, 0);
  text.resize(
      static_cast<std::size_t>(std::max<ssize_t>(::recv(other.get(), text.data(), text.size(), 0), 0)));
  return text;
}

inline sockaddr_in address_of(const descriptor& fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
  return a;
}
inline std::string text_of(const sockaddr_in& a) { return "127.0.0.1:" + std::to_string(ntohs(a.sin_port)); }
inline sockaddr_in any_loopback() {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
inline descriptor loopback() { return listen_on(any_loopback()); }
// It refuses connects until it is made to listen, and no other socket is given its place meanwhile.
inline descriptor loopback_unheard() {
  const sockaddr_in a = any_loopback();
  descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a);
  return fd;
}

// One end of a connection: what came over it, and whether it ended.
struct side {
  loop& runs;
  descriptor_budget& budget;
  std::unique_ptr<stream> wire;
  http::reader reader;
  std::vector<http::message> came;
  bool ended = false;
  std::function<void(side&)> then = [](side&) {};

  side(loop& in, descriptor_budget& count, descriptor fd, http::reader::kind kind)
      : runs(in), budget(count), reader(kind) {
    wire = std::make_unique<stream>(in, count, std::move(fd), [this](std::uint32_t) { read(); });
  }
  void read() {
    while (wire && !ended) {
      std::size_t n = 0;
      const stream::got got = wire->read(reader.room(), n);
      if (got == stream::got::nothing) return;
      if (got == stream::got::some)
        reader.fed(n);
      else
        reader.ended(), ended = true;
      while (reader.now() == http::reader::state::whole) {
        came.push_back(reader.take());
        then(*this);
      }
    }
  }
  void say(const std::string& bytes) {
    outgoing out;
    out.own(bytes);
    if (wire) wire->write(out);
  }
  void hang_up() { wire.reset(); }
};

inline std::string answer_text(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves on loopback by a script of answers; past its end it is silent. "close" hangs up, "silent" says
// nothing.
struct stand_in {
  loop& runs;
  descriptor_budget budget{100};
  descriptor door;
  sockaddr_in where = address_of(door);
  std::vector<std::string> script;
  std::vector<std::string> asked;  // targets
  std::vector<std::unique_ptr<side>> sides;
  loop::watch at_door;
  double slow = 0;  // ms, until each answer
  std::vector<loop::timer> later;

  stand_in(loop& in, std::vector<std::string> answers, descriptor at = loopback())
      : runs(in), door(std::move(at)), script(std::move(answers)) {
    open();
  }
  void open() {
    at_door.drop();
    at_door = runs.on(door.get(), [this](std::uint32_t) {
      for (;;) {
        descriptor fd(::accept4(door.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!fd) return;
        sides.push_back(std::make_unique<side>(runs, budget, std::move(fd), http::reader::kind::request));
        sides.back()->then = [this](side& s) { answer(s); };
        sides.back()->read();
      }
    });
  }
  void answer(side& s) {
    const std::size_t turn = asked.size();
    asked.emplace_back(s.came.back().text(s.came.back().target));
    const std::string text = turn < script.size() ? script[turn] : "silent";
    if (text == "close") return s.hang_up();
    if (text == "silent") return;
    if (slow > 0)
      later.push_back(runs.at(runs.now() + slow, [&s, text] { s.say(text); }));
    else
      s.say(text);
  }
};

}  // namespace host
