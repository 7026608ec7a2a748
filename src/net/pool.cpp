#include "pool.h"

#include <algorithm>

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
  ticket name;
  std::string server;
  sockaddr_in to{};
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::answer};
  outgoing out;
  exchange with;
  double began = 0, idle_since = 0, answered = 0;  // answered: when a long answer began
  bool passing = false, paused = false, more_to_come = false;
  loop::timer patience, connecting, retiring;
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

void pool::listed(const std::string& server, const std::string& address) {
  const auto parsed = parse_address(address);
  if (!parsed) {
    lines.warning() << "list names an address that is none: " << address;
    return;
  }
  place& p = places[server];
  if (!same(p.address, *parsed)) close_idle_at(p);  // what is idle there leads to the old address
  p.address = *parsed;
}

void pool::gone(const std::string& server) {
  const auto it = places.find(server);
  if (it == places.end()) return;
  close_idle_at(it->second);
  places.erase(it);  // ids are ever new: those that are gone would pile up
}

void pool::withheld(const std::string& server, bool is) {
  const auto it = places.find(server);
  if (it != places.end()) it->second.withheld = is;
  if (!is) return;
  if (it != places.end()) close_idle_at(it->second);
  std::vector<ticket> unsent;
  for (const auto& [name, c] : connections)
    if (c->server == server && c->in != connection::stage::awaiting && !c->out.begun())
      unsent.push_back(name);
  for (const ticket name : unsent)
    if (const auto c = connections.find(name); c != connections.end())
      finish(*c->second, ending::withdrawn, {}, false);
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
  auto fresh = at != places.end() && reuse(at->second) ? nullptr : std::make_unique<connection>();
  if (!fresh) {
    // The last used: its idle time is the shortest.
    const ticket before = at->second.idle.back();
    auto node = connections.extract(before);
    at->second.idle.pop_back();
    resting(server, at->second.idle.size());
    idle.erase({node.mapped()->idle_since, before});
    node.key() = name;
    connections.insert(std::move(node));
    ++counted.reused;
  } else {
    connections.emplace(name, std::move(fresh));
  }
  connection& c = *connections[name];
  c.name = name;
  c.server = server;
  c.out = std::move(what);
  c.with = std::move(with);
  c.began = runs.now();
  c.answered = 0;
  c.passing = c.paused = false;
  c.more_to_come = c.with.more_to_come;
  if (c.with.head_alone) c.reader.no_body();
  c.reader.in_pieces(static_cast<bool>(c.with.began));
  c.retiring.drop();
  await(c, patience);
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
  while (!at.idle.empty()) {
    connection& c = *connections.at(at.idle.back());
    // A request on a connection that the endpoint has closed is a reset, and one that must not run twice is
    // lost by it: look once more, the event may be still to come.
    if (!c.wire->stale()) return &c;
    close(c.name);
  }
  return nullptr;
}

void pool::open(connection& c, const sockaddr_in* address) {
  descriptor fd;
  if (address && (room.left() > 0 || close_idle() || make_room())) fd = connect_to(c.to = *address);
  if (!fd) {
    break_at(c, c.began);
    return;
  }
  ++counted.opened;
  c.connecting = runs.at(c.began + connects.now(), [this, name = c.name] {
    connects.not_up();
    broke(*connections.at(name), ending::reset);
  });
  c.wire = std::make_unique<stream>(runs, room, std::move(fd),
                                    [this, at_name = &c](std::uint32_t e) { ready(at_name->name, e); });
}

void pool::ready(ticket which, std::uint32_t events) {
  connection& c = *connections.at(which);
  if (c.in == connection::stage::idle) {
    close(which);  // the endpoint closed it, or wrote what nobody asked for
    return;
  }
  if (c.in == connection::stage::connecting) {
    if (events & (EPOLLERR | EPOLLHUP) || c.wire->pending_error() != 0) return broke(c, ending::reset);
    if (!(events & EPOLLOUT)) return;
    c.connecting.drop();
    connects.up(runs.now() - c.began);
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
  } else {
    await_progress(c);
    c.with.wants();
  }
}

// A transfer that goes on may take its time; one that stands still is over.
void pool::await_progress(connection& c) {
  constexpr double longest = 5000;  // ms; honest ends pause for less than 2 s
  await(c, longest);
}

void pool::await(connection& c, double longest) {
  c.patience = runs.at(runs.now() + longest,
                       [this, name = c.name] { broke(*connections.at(name), ending::timed_out); });
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
  if (last) c.in = connection::stage::awaiting;
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
  // An endpoint that has gone or moved meanwhile: its id, or the next one's at its address, must not get
  // this.
  const auto at = places.find(c.server);
  if (keep && at != places.end() && !at->second.withheld && same(at->second.address, c.to))
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

bool pool::close_idle() {
  if (idle.empty()) return false;
  ++counted.closed_for_room;
  close(idle.begin()->second);
  return true;
}

}  // namespace indigorill
