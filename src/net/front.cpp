#include "front.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>
#include <tuple>
#include <utility>

namespace indigorill {

struct front::connection {
  // reading a request; held by the relay; writing the answer; passing a long one on; read on until the client
  // closes
  enum class stage { reading, held, writing, passing, lingering } in = stage::reading;
  std::uint64_t name;
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::request};
  double opened = 0;
  double came = 0;  // the first byte of the request
  use is = use::held;
  double since = 0;  // it has been of this use
  std::string rpc;
  http::message answer;
  outgoing out;
  bool close_after = false, heard = false, surplus = false;  // heard: a whole request came over it
  bool left = false;                                         // the client closed its side, or all of it
  bool uploading = false, wanted = false;    // a long request comes in; the endpoint takes more of it
  bool chunked = false, last_given = false;  // a long answer: its framing, and whether all of it is in `out`
  bool old = false, head_alone = false;      // what the request's answer may be
  double first_came = 0, head_at = 0, last_came = 0;  // a whole head; the last bytes
  std::size_t body_came = 0, written = 0;             // written: of `out`, when it last went on
  std::size_t lent = 0, weighed = 0;  // bytes of its request, at the relay; what it counts for in all bytes
  loop::timer patience;
};

front::front(loop& in, descriptor_budget& budget, counters& counts, logger& log_to, relay& to, limits within,
             std::function<bool()> closes_idle)
    : runs(in),
      room(budget),
      counted(counts),
      lines(log_to),
      takes(to),
      bounds(within),
      make_room(std::move(closes_idle)) {}

front::~front() = default;

void front::listen(const sockaddr_in& where) { adopt(listen_on(where)); }

void front::adopt(descriptor listener) {
  door = std::move(listener);
  if (taking) at_door = runs.on(door.get(), [this](std::uint32_t) { open_door(); });
}

void front::accepts(bool does) {
  if (std::exchange(taking, does) == does || !door) return;
  door_again.drop();
  at_door.drop();
  // The watch is new, so that it tells also of what waits already.
  if (taking) at_door = runs.on(door.get(), [this](std::uint32_t) { open_door(); });
}

void front::keep_within(limits now) {
  bounds = now;
  while (connections.size() > bounds.clients && close_idle()) continue;
}

void front::open_door() {
  constexpr double soon = 5;  // ms; the edge is spent, so nobody else tells us of the backlog
  const backlog left = accept();
  if (left == backlog::more) runs.again(at_door);
  if (left == backlog::stuck) door_again = runs.at(runs.now() + soon, [this] { open_door(); });
}

front::backlog front::accept() {
  constexpr int turns = 64;  // then those accepted get theirs
  for (int i = 0; i < turns; ++i) {
    // Beyond the budget a client is still let in, to be pushed back: in the backlog it would wait in vain.
    if ((connections.size() >= bounds.clients || room.left() == 0) && !close_idle() && room.left() == 0 &&
        !make_room())
      return backlog::stuck;
    descriptor fd(::accept4(door.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return backlog::empty;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // EMFILE and its like: the edge must not be lost with the failure, nor the log be flooded.
      constexpr double quiet = 1000;
      if (runs.now() > last_warning + quiet) {
        last_warning = runs.now();
        lines.warning() << "accept failed with error " << errno << ", trying again";
      }
      return backlog::stuck;
    }
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++counted.accepted;
    const std::uint64_t name = ++names;
    connection& c = *(connections[name] = std::make_unique<connection>());
    c.name = name;
    c.opened = runs.now();
    c.reader.in_pieces();
    c.surplus = connections.size() > bounds.clients;
    c.wire = std::make_unique<stream>(
        runs, room, std::move(fd), [this, name](std::uint32_t events) { ready(name, events); },
        loop::rank::ends_first);
    // It may have waited in the backlog, for room or while this process stood still, and have left meanwhile:
    // read before that is seen, what it asked would be sent on for nobody.
    ready(name, c.wire->end_seen());
  }
  return backlog::more;
}

void front::ready(std::uint64_t which, std::uint32_t events) {
  connection& c = *connections.at(which);
  c.left |= (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (c.in == connection::stage::writing || c.in == connection::stage::passing) return write(c);
  // Its end may lie behind more than is read ahead, or behind an upload that no endpoint takes: who waits for
  // that to be read would send on what nobody waits for.
  if (c.left && c.in == connection::stage::held) return close(which);
  if (!read(c)) return;
  weigh(c);
  if (c.uploading) return pass_up(c);
  serve(c);
}

// False if it brought nothing to serve, or is gone.
bool front::read(connection& c) {
  constexpr int turns = 16;
  constexpr std::size_t ahead = 4096;  // of the next request while one is held: clients send one at a time
  for (int i = 0; i < turns; ++i) {
    if (c.in == connection::stage::held && !c.uploading && c.reader.held() > ahead) return true;
    // The endpoint is slower than the client, or the request is whole: the rest waits in the kernel.
    if (c.uploading && (c.reader.full() || c.reader.now() != http::reader::state::passing)) return true;
    std::size_t n = 0;
    if (c.in == connection::stage::lingering) {
      // One turn a round: a body of 60 MB that nobody wants must not cost others their time.
      const stream::got got = c.wire->discard();
      if (got == stream::got::some) break;
      if (got != stream::got::nothing) close(c.name);
      return false;
    }
    const stream::got got = c.wire->read(c.reader.room(), n);
    if (got == stream::got::nothing) return true;
    if (got == stream::got::some) {
      // A request's time counts from its last byte.
      if (c.in == connection::stage::reading) c.came = runs.now() - c.wire->age();
      if (!c.reader.begun()) {
        c.body_came = 0;
        c.head_at = 0;
        c.first_came = runs.now();
      }
      c.last_came = runs.now();
      c.reader.fed(n);
      if (c.reader.head_whole() && c.head_at == 0) c.head_at = c.last_came;
      if (c.reader.head_whole()) c.body_came += n;
      if (c.reader.now() != http::reader::state::reading && c.in == connection::stage::reading) {
        c.wire->again();  // the client may have closed already, and that edge is spent
        return true;
      }
      continue;
    }
    // A client that closes has left, and what it waited for is of no use any more.
    close(c.name);
    return false;
  }
  c.wire->again();
  return true;
}

void front::serve(connection& c) {
  if (c.in != connection::stage::reading) return;
  // Who connects and stays silent, or sends half a request, is owed an error or a close within 3 s; the time
  // for a first request counts from the connecting, so that a late half gets no more of it.
  // An honest head may take over 2 s.
  constexpr double to_ask = 2850;
  switch (c.reader.now()) {
    case http::reader::state::whole:
      c.patience.drop();
      set_use(c, use::held);
      c.heard = true;
      return handle(c, c.reader.take());
    case http::reader::state::begun:
      c.patience.drop();
      set_use(c, use::held);
      c.heard = true;
      return handle(c, c.reader.take());
    case http::reader::state::broken:
      return turn_away(c, c.reader.fault());
    default:
      break;
  }
  if (c.reader.wants_word()) let_go_on(c);
  if (c.reader.begun()) {
    set_use(c, use::half_sent);
    if (c.reader.head_whole())
      await_body(c);
    else if (!c.patience.set())
      await(c, (c.heard ? c.first_came : c.opened) + to_ask);
  } else if (draining && !door && c.heard) {
    close(c.name);
  } else {
    set_use(c, c.heard ? use::idle : use::silent);
    if (!c.heard && !c.patience.set()) await(c, c.opened + to_ask);
  }
}

// Some clients wait for this word before they send a body.
void front::let_go_on(connection& c) {
  outgoing word;
  word.own(std::string(go_on_with_the_body()));
  c.wire->write(word);  // it goes to an empty buffer
  c.reader.worded_on();
}

// A body may be long: what counts is that it comes. Who stops half way is owed an error within 3 s, and who
// sends a byte now and then must not hold on for ever.
void front::await_body(connection& c) {
  constexpr double pause = 1400, ahead = 4000, least_rate = 16;  // ms, ms, bytes a ms; honest clients send 64
  await(c, std::min(c.last_came + pause, c.head_at + ahead + static_cast<double>(c.body_came) / least_rate));
}

// A whole request has to be here by then.
void front::await(connection& c, double until) {
  c.patience = runs.at(until, [this, name = c.name] {
    connection& late = *connections.at(name);
    if (late.uploading || late.reader.begun()) return turn_away(late, 408);
    ++counted.silent;
    close(name);
  });
}

// What is no RPC is answered at once, and nothing is sent on.
void front::turn_away(connection& c, int status) {
  ++counted.bad_input;
  if (std::exchange(c.uploading, false)) {
    c.lent = 0;
    takes.left(std::exchange(c.rpc, {}));
  }
  answer(c, plain(status, "", true), true);
}

void front::set_use(connection& c, use now) {
  // Of those half sent, who made progress last is the last to go for room: slow is not idle.
  if (c.is == now && now != use::half_sent) return;
  if (c.is != use::held) spare.erase({c.is, c.since, c.name});
  c.is = now;
  c.since = runs.now();
  if (now != use::held) spare.insert({c.is, c.since, c.name});
}

void front::weigh(connection& c) {
  constexpr std::size_t transfer = 4 * http::longest_held;  // what both ends of one may hold, at most
  const std::size_t now = c.reader.held() + c.lent + c.answer.bytes.capacity() +
                          (c.uploading || c.in == connection::stage::passing ? transfer : 0);
  bytes += now - c.weighed;
  c.weighed = now;
}

// Clients that ask once and stay may hold no more connections some day, and then can't ask: what rests is
// given back, oldest first. True if there is too much of it and all is young: then an answer ends its
// connection.
bool front::crowded() {
  constexpr std::pair<use, double> old[] = {{use::silent, 500}, {use::idle, 2000}};  // ms
  for (const auto& [is, least] : old)
    while (spare.size() >= bounds.spare && close_oldest(is, least)) continue;
  return spare.size() >= bounds.spare;
}

bool front::out_of_room(connection& c) {
  weigh(c);
  return bytes > bounds.bytes;
}

void front::handle(connection& c, http::message m) {
  const errand what = errand_of(m);
  // Nobody waits for its answer; what costs nothing is told all the same to who closed only one side.
  if (c.left && what == errand::rpc) return this->close(c.name);
  const bool close = !m.keeps || draining || hurried || c.surplus || (what != errand::rpc && crowded());
  if (what == errand::readiness)
    return answer(c, draining ? plain(503, "stopping\n", close) : plain(200, "ready\n", close), close);
  if (what == errand::abilities) return answer(c, abilities(close), close);
  if (what == errand::counters) {
    std::ostringstream text;
    text << counted;
    return answer(c, plain(200, text.str(), close), close);
  }
  const call asked = read_call(m);
  const int fault = what == errand::nothing      ? 404
                    : asked.fault                ? asked.fault
                    : !takes.knows(asked.method) ? 404
                    : takes.holds(asked.id)      ? 409
                                                 : 0;
  if (fault) return turn_away(c, fault);
  if (c.surplus || out_of_room(c)) {
    ++counted.out_of_room;
    return answer(c, pushed_back(takes.advice(), true), true);
  }
  c.in = connection::stage::held;
  c.close_after = close;
  c.old = m.old;
  c.head_alone = asks_head(m);
  c.lent = m.bytes.capacity();
  c.uploading = m.partial;
  c.wanted = false;
  const std::uint64_t name = c.name;
  relay::asker who;
  who.then = [this, name](verdict v) { answered(*connections.at(name), std::move(v)); };
  who.piece = [this, name](std::string_view piece, bool last) {
    return pass_down(*connections.at(name), piece, last);
  };
  who.cut = [this, name] {
    connections.at(name)->wire->abort_on_close();  // the client has to see that it is not whole
    this->close(name);
  };
  who.wants = [this, name] {
    connection& asker = *connections.at(name);
    if (std::exchange(asker.wanted, true)) return;
    asker.last_came = runs.now();  // the time that the endpoint took was not the client's
    asker.wire->again();
  };
  std::string rpc = takes.take(std::move(m), c.came, std::move(who));
  // It may have been answered at once, and the connection closed since.
  const auto it = connections.find(name);
  if (it != connections.end() && it->second->in == connection::stage::held) it->second->rpc = std::move(rpc);
}

void front::answered(connection& c, verdict v) {
  // What still comes of a long request is of no use: after an early answer the connection ends.
  const bool last = std::exchange(c.uploading, false) || c.close_after || draining || hurried || crowded();
  c.lent = 0;
  c.answer = std::move(v.answer);
  if (v.how == verdict::what::ok && c.answer.partial) {
    c.chunked = !c.answer.length && !c.old;
    c.last_given = false;
    c.close_after = last || (!c.answer.length && c.old);
    c.in = connection::stage::passing;
    c.patience.drop();
    c.out = passed_on(c.answer, c.close_after, false, c.old);
    weigh(c);
    c.wire->again();  // the relay is still at it
    return;
  }
  c.rpc.clear();
  switch (v.how) {
    case verdict::what::ok:
      return answer(c, passed_on(c.answer, last, c.head_alone, c.old), last);
    case verdict::what::pushed_back:
      return answer(c, pushed_back(v.after, last), last);
    case verdict::what::aborted:
      return answer(c, c.answer.status ? passed_on(c.answer, last, c.head_alone, c.old) : aborted(last),
                    last);
  }
}

// What came of a long request goes on to the endpoint, as far as that takes it.
void front::pass_up(connection& c) {
  const std::uint64_t name = c.name;
  while (c.wanted && c.reader.now() != http::reader::state::broken) {
    const bool last = c.reader.now() == http::reader::state::over;
    if (c.reader.piece().empty() && !last) break;
    c.wanted = takes.more(c.rpc, c.reader.piece(), last, runs.now() - c.wire->age());
    if (!connections.count(name)) return;
    if (last) {
      c.uploading = false;
      c.patience.drop();
      return c.reader.take_over();
    }
    c.reader.drop_piece();
    c.wire->again();  // there may be more to read, now that there is room
  }
  if (c.reader.now() == http::reader::state::broken) return turn_away(c, c.reader.fault());
  // While the endpoint is the slower one, or all is here, nothing is to be waited for from the client.
  if (!c.wanted || c.reader.now() == http::reader::state::over) return c.patience.drop();
  if (c.reader.wants_word()) let_go_on(c);
  await_body(c);
}

// True if more is wanted at once: nothing of what was given waits for the client.
bool front::pass_down(connection& c, std::string_view piece, bool last) {
  c.out = {};
  c.out.own(piece_of(piece, c.chunked, last));
  c.last_given = last;
  const std::uint64_t name = c.name;
  write(c);
  const auto it = connections.find(name);
  return it != connections.end() && it->second->in == connection::stage::passing && it->second->out.done();
}

// Who reads slowly gets all the same what there is, as long as it reads.
void front::await_reader(connection& c, std::size_t unread) {
  // Honest readers pause for less; who doesn't read must not keep its answer here past the time of its use.
  constexpr double pause = 3000;
  c.patience = runs.at(runs.now() + std::max(pause, bounds.deadline), [this, name = c.name, unread] {
    connection& slow = *connections.at(name);
    const std::size_t now = slow.wire->unread();
    if (now >= unread) return close(name);
    await_reader(slow, now);
  });
}

void front::answer(connection& c, outgoing what, bool close) {
  c.in = connection::stage::writing;
  c.out = std::move(what);
  c.close_after = close;
  c.patience.drop();
  write(c);
}

void front::write(connection& c) {
  if (!c.wire->write(c.out)) return close(c.name);
  if (!c.out.done()) {
    if (std::exchange(c.written, c.out.written()) != c.out.written() || !c.patience.set())
      await_reader(c, c.wire->unread());
    return;
  }
  c.patience.drop();
  c.answer = {};
  c.out = {};
  if (c.in == connection::stage::passing && !c.last_given) return takes.resume(c.rpc);
  c.rpc.clear();
  weigh(c);
  c.in = connection::stage::reading;
  if (c.close_after) {
    // Closing over bytes that we did not read would reset the connection and take the answer with it.
    constexpr double usual = 1000, at_the_end = 100;
    const double patience = draining ? at_the_end : usual;
    c.in = connection::stage::lingering;
    set_use(c, use::answered);
    c.wire->end_sending();
    linger(c, patience);
  }
  c.wire->again();
}

void front::linger(connection& c, double patience) {
  c.patience = runs.at(runs.now() + patience, [this, name = c.name, patience, unread = c.wire->unread()] {
    connection& slow = *connections.at(name);
    // What it still reads must not be lost with this process.
    const std::size_t now = slow.wire->unread();
    if (now == 0 || now >= unread) return close(name);
    linger(slow, patience);
  });
}

void front::close(std::uint64_t which) {
  const auto it = connections.find(which);
  connection& c = *it->second;
  set_use(c, use::held);
  bytes -= c.weighed;
  const std::string rpc = std::move(c.rpc);
  const bool held = c.in == connection::stage::held || c.in == connection::stage::passing;
  if (c.in == connection::stage::writing) ++counted.unheard;
  connections.erase(it);
  if (held) takes.left(rpc);
  end_if_empty();
}

bool front::close_idle() {
  // How long each must have been so, in ms. Who connects to ask has asked by then, and the rest of a request
  // follows its first bytes as quickly. Idle ones go at any age, the oldest first: spared for 2 s, clients
  // that ask once and stay fill all the room, and every RPC that comes is pushed back.
  constexpr std::array<double, 4> least{0, 20, 500, 0};
  for (std::size_t i = 0; i < least.size(); ++i)
    if (close_oldest(static_cast<use>(i), least[i])) return true;
  return false;
}

// Of those that have been of this use for so long, in ms.
bool front::close_oldest(use is, double least) {
  for (auto it = spare.lower_bound({is, 0, 0}); it != spare.end() && std::get<0>(*it) == is; ++it) {
    if (runs.now() < std::get<1>(*it) + least) return false;
    const std::uint64_t name = std::get<2>(*it);
    // A request that is here but was not read yet would be lost with its connection.
    if ((is == use::idle || is == use::silent) && connections.at(name)->wire->waiting()) continue;
    ++counted.closed_for_room;
    ++counted.closed_by_use[static_cast<std::size_t>(is)];
    close(name);
    return true;
  }
  return false;
}

void front::drain(loop::task then) {
  // Clients may connect for 0.4 s after the word, and what the kernel accepted counts as ours.
  constexpr double doors_open = 450;
  // The word is followed by a kill after the longest deadline, 3 s at most, and 0.7 s more: what endpoints or
  // slow readers would hold past that is answered or cut while it can be.
  constexpr double longest = 3000, before_the_kill = 600;
  if (draining) return;
  draining = true;
  told = runs.now();
  when_empty = std::move(then);
  door_shut = runs.at(told + doors_open, [this] { close_door(); });
  by_force = runs.at(told + std::min(bounds.deadline, longest) + before_the_kill, [this] { end_by_force(); });
  give_back_idle();
}

// What was written to a connection before it is closed is ours: each that reads is looked at once more, and
// `then` has those that are still there.
void front::look_once_more(const std::function<void(connection&)>& then) {
  std::vector<std::uint64_t> reading;
  for (const auto& [name, c] : connections)
    if (c->in == connection::stage::reading) reading.push_back(name);
  for (const std::uint64_t name : reading) {
    const auto it = connections.find(name);  // room may have been made at its cost
    if (it != connections.end() && read(*it->second)) then(*it->second);
  }
}

// Clients send on what stays open. A request that crosses the closing is sent once more over a new
// connection, which is to be had only while the door is open: so what rests goes now, and not with the door.
void front::give_back_idle() {
  look_once_more([this](connection& c) {
    weigh(c);
    if (!c.reader.begun() && c.heard)
      close(c.name);
    else
      serve(c);
  });
}

void front::end_by_force() {
  takes.end_all();
  // What was answered just now is on its way; who still reads, or sends, does so in vain.
  constexpr double last_words = 40;
  by_force = runs.at(runs.now() + last_words, [this] {
    door = {};
    while (!connections.empty()) close(connections.begin()->first);
    end_if_empty();
  });
}

void front::close_door() {
  // What waits in the backlog counts as accepted: it is emptied first, however long.
  constexpr double soon = 5, patience = 1000;  // a process out of descriptors can't stay for ever
  backlog left = backlog::empty;
  if (taking) do {
      left = accept();
    } while (left == backlog::more);
  if (left == backlog::stuck && runs.now() < told + patience) {
    door_shut = runs.at(runs.now() + soon, [this] { close_door(); });
    return;
  }
  door_again.drop();
  at_door.drop();
  door = {};
  look_once_more([this](connection& c) {
    constexpr double last = 200;  // who began to send a request, or came last of all, may end it
    if (c.reader.begun() ? c.reader.now() == http::reader::state::reading : !c.heard)
      await(c, runs.now() + last);
    else if (!c.reader.begun())
      close(c.name);
    else
      serve(c);
  });
  end_if_empty();
}

void front::end_if_empty() {
  if (!when_empty || door || !connections.empty()) return;
  const loop::task then = std::exchange(when_empty, nullptr);
  then();
}

}  // namespace indigorill
