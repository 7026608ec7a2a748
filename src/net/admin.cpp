#include "admin.h"

#include <sys/socket.h>

#include <cerrno>
#include <tuple>

namespace indigorill {
namespace {

constexpr std::size_t longest_order = 4096;  // what comes with an order is of no use; a little may come

std::string_view said(int status) {
  switch (status) {
    case 200:
      return "yes\n";
    case 404:
      return "no such call or endpoint\n";
    case 405:
      return "not by this method\n";
    case 503:
      return "not now\n";
    default:
      return "no\n";
  }
}

}  // namespace

struct admin::connection {
  enum class stage { reading, held, writing, lingering } in = stage::reading;
  std::uint64_t name;
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::request, longest_order};
  outgoing out;
  double heard = 0;  // the last bytes
  loop::timer patience;
  std::tuple<bool, double, std::uint64_t> mark() const { return {in != stage::lingering, heard, name}; }
};

admin::admin(loop& in, counters& counts, logger& log_to, carrier carries)
    : runs(in), counted(counts), lines(log_to), carry(std::move(carries)) {}

admin::~admin() = default;

void admin::adopt(descriptor listener) {
  door = std::move(listener);
  at_door = runs.on(
      door.get(), [this](std::uint32_t) { open_door(); }, loop::rank::first);
}

void admin::open_door() {
  constexpr double soon = 5;  // ms; the edge is spent
  if (!accept()) door_again = runs.at(runs.now() + soon, [this] { open_door(); });
}

// Who holds a connection without a whole call must not shut out who makes one: past the number set aside the
// one silent for longest goes, the answered ones first.
bool admin::close_silent() {
  if (spare.empty()) return false;
  const std::uint64_t name = std::get<2>(*spare.begin());
  spare.erase(spare.begin());
  connections.erase(name);
  return true;
}

bool admin::accept() {
  for (;;) {
    if (room.left() == 0 && !close_silent()) return false;
    descriptor fd(::accept4(door.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    const std::uint64_t name = ++names;
    connection& c = *(connections[name] = std::make_unique<connection>());
    c.name = name;
    c.heard = runs.now();
    spare.insert(c.mark());
    c.wire = std::make_unique<stream>(
        runs, room, std::move(fd), [this, name](std::uint32_t) { ready(name); }, loop::rank::first);
    ready(name);
  }
}

void admin::ready(std::uint64_t which) {
  const auto it = connections.find(which);
  if (it == connections.end()) return;
  connection& c = *it->second;
  using stage = connection::stage;
  if (c.in == stage::writing) return write(c);
  for (;;) {
    std::size_t n = 0;
    const stream::got got = c.in == stage::reading ? c.wire->read(c.reader.room(), n) : c.wire->discard();
    if (got == stream::got::nothing) return;
    if (got != stream::got::some) {
      // Who closes is gone; an order that is being carried out goes on, its answer finds nobody.
      spare.erase(c.mark());
      connections.erase(which);
      return;
    }
    if (c.in != stage::reading) {
      c.wire->again();
      return;
    }
    spare.erase(c.mark());
    c.heard = runs.now();
    c.reader.fed(n);
    if (c.reader.now() == http::reader::state::broken) return answer(c, c.reader.fault());
    if (c.reader.now() == http::reader::state::whole) {
      const order asked = read_order(c.reader.take());
      if (asked.fault) return answer(c, asked.fault);
      c.in = stage::held;
      return carry(asked, [this, which](int status, const std::string& text) {
        const auto still = connections.find(which);
        if (still != connections.end()) answer(*still->second, status, text);
      });
    }
    spare.insert(c.mark());
  }
}

void admin::answer(connection& c, int status, const std::string& text) {
  ++counted.orders;
  if (status >= 300) ++counted.orders_refused;
  c.in = connection::stage::writing;
  c.out = text.empty() ? ordered(status, said(status)) : ordered(status, text, true);
  write(c);
}

void admin::write(connection& c) {
  const std::uint64_t name = c.name;
  if (!c.wire->write(c.out)) {
    connections.erase(name);
    return;
  }
  constexpr double longest = 1000;  // for who doesn't read it, or doesn't close
  if (!c.patience.set())
    c.patience = runs.at(runs.now() + longest, [this, name] {
      spare.erase(connections.at(name)->mark());
      connections.erase(name);
    });
  if (!c.out.done()) return;
  // Closing over bytes that we did not read would reset the connection and take the answer with it.
  c.in = connection::stage::lingering;
  c.wire->end_sending();
  spare.insert(c.mark());
  c.wire->again();
}

}  // namespace indigorill
