#include "pool.h"

#include <algorithm>
#include <cerrno>

#include "words.h"

namespace indigorill {
namespace {

bool same(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

// A connection's name is the ticket of its exchange; it gets a new one with each.
struct pool::connection {
  enum class stage { connecting, writing, awaiting, idle } in = stage::connecting;
  bool unsent() const { return in == stage::connecting || in == stage::writing; }
  ticket name;
  std::string server;
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::answer};
  outgoing out;
  exchange with;
  std::uint64_t process = 0;                       // that it leads to, by the pool's count
  double began = 0, idle_since = 0, answered = 0;  // answered: when a long answer began
  double until = 0;                                // the time for the exchange is over
  bool passing = false, paused = false, more_to_come = false;
  loop::timer patience, connecting, retiring, too_late;
};

pool::pool(loop& in, descriptor_budget& budget, counters& counts, logger& log_to, links with,
           std::function<bool()> closes_idle)
    : runs(in),
      room(budget),
      counted(counts),
      lines(log_to),
      known(std::move(with)),
      connects(known.connect),
      make_room(std::move(closes_idle)) {}

pool::~pool() = default;

void pool::listed(const std::string& server, const std::string& address, standing state, double started) {
  const auto parsed = parse_address(address);
  if (!parsed) {
    // Its old address may be another's by now.
    lines.warning() << "list names an address that is none: " << address;
    return gone(server);
  }
  place& p = places[server];
  // Long ago is no new start, it is how an old one is told some day.
  if (p.process == 0 || !same(p.address, *parsed) || started > p.started) {
    close_idle_at(p);  // what is idle there leads to the old address, or to the process before
    p.process = ++processes;
  }
  p.address = *parsed;
  p.started = started;
  p.ready = state == standing::ready;
  if (!p.ready) close_idle_at(p);
}

void pool::gone(const std::string& server) {
  const auto it = places.find(server);
  if (it == places.end()) return;
  close_idle_at(it->second);
  places.erase(it);  // ids are ever new: those that are gone would pile up
}

void pool::withheld(const std::string& server, bool is) {
  const auto it = places.find(server);
  if (it == places.end()) return;
  it->second.withheld = is;
  if (is) close_idle_at(it->second);
}

// Where it leads to is still to be had.
bool pool::open_still(const connection& c) const {
  const auto at = places.find(c.server);
  return at != places.end() && at->second.open_to(c.process);
}

void pool::let_go() {
  std::vector<ticket> unbegun;
  for (const auto& [name, c] : connections)
    if (c->unsent() && !c->out.begun() && !open_still(*c)) unbegun.push_back(name);
  for (const ticket name : unbegun)
    if (const auto c = connections.find(name); c != connections.end()) miss(*c->second);
}

void pool::close_idle_at(place& at) {
  while (!at.idle.empty()) close(at.idle.back());
}

void pool::keep_only(const std::vector<endpoint>& whole_list) {
  std::set<std::string_view> named;
  for (const endpoint& e : whole_list) named.insert(e.id);
  std::vector<std::string> left;
  for (const auto& [server, at] : places)
    if (!named.count(server)) left.push_back(server);
  for (const std::string& server : left) gone(server);
}

pool::ticket pool::send(const std::string& server, outgoing what, double patience, exchange with) {
  const auto at = places.find(server);
  const ticket name = ++tickets;
  const connection* again = at != places.end() ? reuse(at->second) : nullptr;
  if (again) {
    const ticket before = again->name;
    auto node = connections.extract(before);
    std::erase(at->second.idle, before);
    resting(server, at->second.idle.size());
    idle.erase({node.mapped()->idle_since, before});
    node.key() = name;
    connections.insert(std::move(node));
    ++counted.reused;
  } else {
    connections.emplace(name, std::make_unique<connection>());
  }
  connection& c = *connections[name];
  c.name = name;
  c.server = server;
  c.out = std::move(what);
  c.with = std::move(with);
  c.began = runs.now();
  c.answered = 0;
  c.process = at != places.end() ? at->second.process : 0;
  c.passing = c.paused = false;
  c.more_to_come = c.with.more_to_come;
  if (c.with.head_alone) c.reader.no_body();
  c.reader.in_pieces(static_cast<bool>(c.with.began));
  c.retiring.drop();
  await(c, patience);
  if (c.with.whole_by < c.until)
    c.too_late = runs.at(c.with.whole_by, [this, name] { miss(*connections.at(name)); });
  if (c.in == connection::stage::idle) {
    // Only written to: an answer, however quick, is read from the loop, since `then` must not be called
    // before the caller has the ticket.
    c.in = connection::stage::writing;
    if (!c.wire->write(c.out))
      break_at(c, c.began);
    else if (c.out.done())
      c.more_to_come ? c.wire->again() : written(c);
  } else {
    open(c, at != places.end() ? &at->second.address : nullptr);
  }
  return name;
}

pool::connection* pool::reuse(place& at) {
  // Some endpoints answer twice, the second time some milliseconds late: on a connection used again at once
  // that passes for the answer to the next request. Once rested for so long, what comes unasked closes it.
  // Only for a while after one was seen: for good it costs a third more connections, at endpoints that hold
  // few (0.04 of the standing test). Where requests follow one another faster, or descriptors are scarce, the
  // one that rested longest has to do: each would else be given up for a new one.
  constexpr double rests = 25, believed = 60000;
  constexpr std::size_t spared = 2;
  const double rested = runs.now() < answered_twice + believed ? rests : 0;
  const auto usable = [&](connection& c) {
    // A request on a connection that the endpoint has closed is a reset, and one that must not run twice is
    // lost by it: look once more, the event may be still to come.
    if (!c.wire->stale()) return true;
    if (c.wire->waiting()) answered_twice = runs.now();
    close(c.name);
    return false;
  };
  for (std::size_t i = at.idle.size(); i-- > 0;) {  // the last used: its idle time is the shortest
    connection& c = *connections.at(at.idle[i]);
    if (runs.now() >= c.idle_since + rested && usable(c)) return &c;
  }
  while (rested > 0 && !at.idle.empty() && (at.idle.size() >= spared || room.left() <= room.most / 2)) {
    connection& c = *connections.at(at.idle.front());
    if (usable(c)) return &c;
  }
  return nullptr;
}

void pool::open(connection& c, const sockaddr_in* address) {
  descriptor fd;
  const bool affordable = !address || room.left() > 0 || close_idle() || make_room();
  if (address && affordable) fd = connect_to(*address);
  if (!fd) {
    // What we can't afford is no fault of the endpoint's: its reputation must not pay for our descriptors.
    const bool ours = !affordable || (address && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS));
    c.connecting = runs.at(c.began, [this, ours, name = c.name] {
      finish(*connections.at(name), ours ? ending::moot : ending::connect_failed, {}, false);
    });
    return;
  }
  ++counted.opened;
  // A connect that hangs is no reason to let the time of its RPC pass: while less than half of that is over,
  // another server may have it, or the client hear that it is to return.
  constexpr double part = 0.4, least = 20;
  const double usual = connects.now(), most = std::max(part * (c.until - c.began), least);
  c.connecting = runs.at(c.began + std::min(usual, most), [this, name = c.name, slow = usual <= most] {
    if (slow) connects.not_up();  // else it says less of connects than of the RPC
    broke(*connections.at(name), ending::reset);
  });
  c.wire = std::make_unique<stream>(runs, room, std::move(fd),
                                    [this, at_name = &c](std::uint32_t e) { ready(at_name->name, e); });
}

void pool::ready(ticket which, std::uint32_t events) {
  connection& c = *connections.at(which);
  if (c.in == connection::stage::idle) {
    if (c.wire->waiting()) answered_twice = runs.now();
    close(which);  // the endpoint closed it, or wrote what nobody asked for
    return;
  }
  if (c.in == connection::stage::connecting) {
    if (events & (EPOLLERR | EPOLLHUP) || c.wire->pending_error() != 0) return broke(c, ending::reset);
    if (!(events & EPOLLOUT)) return;
    c.connecting.drop();
    connects.up(runs.now() - c.began);
    // The loop may come to this late: what is over by now must not be sent any more.
    if (runs.now() >= c.until) return broke(c, ending::reset);
    if (runs.now() >= c.with.whole_by) return miss(c);
    if (c.with.told_late) c.out = c.with.told_late(c.until - runs.now());
    c.in = connection::stage::writing;
  }
  if (c.in == connection::stage::writing) {
    if (!c.wire->write(c.out)) return broke(c, ending::reset);
    if (c.out.done()) written(c);
    if (!connections.count(which)) return;  // who gives more may have given it up
  }
  if (!c.paused) read(c);
}

// All that was given is out: the answer is next, or more of the request.
void pool::written(connection& c) {
  if (!c.more_to_come) {
    c.in = connection::stage::awaiting;
    c.too_late.drop();
  } else {
    await_progress(c);
    c.with.wants();
  }
}

void pool::miss(connection& c) { finish(c, ending::withdrawn, {}, false); }

// A transfer that goes on may take its time; one that stands still is over.
void pool::await_progress(connection& c) {
  constexpr double longest = 5000;  // ms; honest ends pause for less than 2 s
  await(c, longest);
}

void pool::await(connection& c, double longest) {
  c.until = runs.now() + longest;
  c.patience = runs.at(c.until, [this, name = c.name] { broke(*connections.at(name), ending::timed_out); });
}

bool pool::more(ticket which, std::string bytes, bool last, double patience) {
  const auto it = connections.find(which);
  if (it == connections.end()) return false;
  connection& c = *it->second;
  c.out = {};
  c.out.own(std::move(bytes));
  c.more_to_come = !last;
  if (last) {
    // The endpoint begins with the last byte: a slow client's upload must not pass for a slow server.
    c.began = runs.now();
    await(c, patience);
  } else {
    await_progress(c);
  }
  if (!c.wire->write(c.out)) {
    break_at(c, runs.now());
    return false;
  }
  if (!c.out.done()) return false;
  if (last) written(c);
  return !last;
}

void pool::resume(ticket which) {
  const auto it = connections.find(which);
  if (it == connections.end() || !std::exchange(it->second->paused, false)) return;
  await_progress(*it->second);
  it->second->wire->again();
}

void pool::read(connection& c) {
  constexpr int turns = 16;  // then others get theirs: one long answer must not hold up all
  if (c.passing && !pass_on(c, ending::error)) return;  // what came before it was asked to go on
  for (int i = 0; i < turns; ++i) {
    std::size_t n = 0;
    const stream::got got = c.wire->read(c.reader.room(), n);
    if (got == stream::got::nothing) return;
    if (got == stream::got::some) c.reader.fed(n);
    if (got == stream::got::ended) c.reader.ended();
    const bool ended = got == stream::got::ended || got == stream::got::broken;
    if (c.reader.now() == http::reader::state::begun) {
      const http::message answer = c.reader.take();
      c.answered = runs.now();
      if (!c.with.began(answer)) {
        http::message head = answer;
        head.content.length = 0;
        head.partial = false;
        return finish(c, ending::ok, std::move(head), false);
      }
      c.passing = c.paused = true;
      c.patience.drop();
      if (ended) c.wire->again();  // seen once more
      return;
    }
    if (c.passing) {
      if (!pass_on(c, ended ? ending::reset : ending::error)) return;
      if (ended) return broke(c, ending::reset);
      continue;
    }
    if (c.reader.now() == http::reader::state::whole) {
      http::message answer = c.reader.take();
      if (c.reader.begun()) answered_twice = runs.now();
      // More behind, or a report that can't be read: this answer is good, the next one here might not be.
      const bool keep = !ended && answer.keeps && c.in == connection::stage::awaiting && !c.reader.begun() &&
                        readable_report(answer);
      return finish(c, ending::ok, std::move(answer), keep);
    }
    if (ended) return broke(c, ending::reset);
    if (c.reader.now() == http::reader::state::broken) return broke(c, ending::error);
  }
  c.wire->again();
}

// False if the connection is to be left alone for now, or the answer is over.
bool pool::pass_on(connection& c, ending if_broken) {
  for (;;) {
    const bool last = c.reader.now() == http::reader::state::over;
    if (c.reader.now() == http::reader::state::broken) return broke(c, if_broken), false;
    if (c.reader.piece().empty() && !last) return true;
    await_progress(c);
    const ticket name = c.name;
    const bool goes_on = c.with.piece(c.reader.piece(), last);
    if (!connections.count(name)) return false;  // who takes it may have given it up
    if (last) {
      const bool keep = c.in == connection::stage::awaiting && c.reader.keeps();
      c.reader.take_over();
      return finish(c, ending::ok, {}, keep && !c.reader.begun()), false;
    }
    c.reader.drop_piece();
    if (goes_on) continue;
    c.paused = true;
    c.patience.drop();
    return false;
  }
}

// Before its last byte was written a request never ran; after that it may have.
void pool::broke(connection& c, ending once_written) {
  finish(c, c.in == connection::stage::awaiting ? once_written : ending::connect_failed, {}, false);
}

void pool::break_at(connection& c, double when) {
  c.connecting = runs.at(when, [this, name = c.name] { broke(*connections.at(name), ending::reset); });
}

void pool::finish(connection& c, ending how, http::message answer, bool keep) {
  const double took = (c.answered > 0 ? c.answered : runs.now()) - c.began;
  const done then = std::move(c.with.then);
  c.with = {};
  // An endpoint that has gone, moved or was started anew meanwhile: its id, or the next one's at its address,
  // must not get this.
  if (keep && open_still(c))
    rest(c);
  else
    close(c.name);
  then({how, took, std::move(answer)});
}

void pool::rest(connection& c) {
  // Well before the endpoint does: what crosses its closing is a reset. Nine tenths leave too little where a
  // process waits for its core.
  constexpr double part = 0.75;
  const ticket name = c.name;
  c.in = connection::stage::idle;
  c.out = {};
  c.patience.drop();
  c.too_late.drop();
  c.idle_since = runs.now();
  c.retiring = runs.at(c.idle_since + part * known.idle, [this, name] {
    ++counted.retired;
    close(name);
  });
  std::vector<ticket>& here = places.at(c.server).idle;
  here.push_back(name);
  resting(c.server, here.size());
  idle.insert({c.idle_since, name});
}

void pool::close(ticket which) {
  const auto it = connections.find(which);
  connection& c = *it->second;
  if (c.in == connection::stage::idle) {
    std::vector<ticket>& here = places.at(c.server).idle;
    std::erase(here, which);
    resting(c.server, here.size());
    idle.erase({c.idle_since, which});
  }
  connections.erase(it);
}

void pool::give_up(ticket which) {
  if (connections.count(which)) close(which);
}

bool pool::unsent(ticket which) const {
  const auto it = connections.find(which);
  return it != connections.end() && it->second->unsent();
}

bool pool::close_idle() {
  if (idle.empty()) return false;
  ++counted.closed_for_room;
  close(idle.begin()->second);
  return true;
}

}  // namespace indigorill
