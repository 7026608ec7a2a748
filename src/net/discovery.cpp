#include "discovery.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

constexpr std::size_t longest_list = 4 * 1024 * 1024;  // some 20,000 entries

}  // namespace

roster decode_roster(const fields& f) {
  roster r;
  r.version = f.whole("generation");
  r.whole = f.mark("reset");
  f.need("instances");
  for (const auto& j : f.list("instances")) {
    const fields e = f.entry("instances", j);
    roster::entry to;
    to.is.id = e.text("instanceId");
    to.is.state = e.word<standing>(
        "lifecycle",
        {{"up", standing::ready}, {"draining", standing::draining}, {"removed", standing::gone}});
    to.address = to.is.state == standing::gone ? e.text("hostPort", "") : e.text("hostPort");
    to.is.zone = e.text("zone", "");
    to.is.cell = e.small("cell", 0);
    to.is.started = e.number("startedAtMs", 0);
    to.is.kind = e.text("machineType", "");
    r.entries.push_back(std::move(to));
  }
  return r;
}

roster read_roster(std::string_view text) {
  const auto j = nlohmann::json::parse(text, nullptr, false);
  if (j.is_discarded()) throw malformed("list: is not JSON");
  return decode_roster(fields("list", j));
}

std::string encode_roster(const roster& r) {
  nlohmann::json all = nlohmann::json::array();
  for (const roster::entry& e : r.entries)
    all.push_back({{"instanceId", e.is.id},
                   {"hostPort", e.address},
                   {"zone", e.is.zone},
                   {"cell", e.is.cell},
                   {"machineType", e.is.kind},
                   {"lifecycle", e.is.state == standing::ready      ? "up"
                                 : e.is.state == standing::draining ? "draining"
                                                                    : "removed"},
                   {"startedAtMs", e.is.started}});
  return nlohmann::json{{"generation", r.version}, {"reset", r.whole}, {"instances", all}}.dump();
}

discovery::discovery(loop& in, descriptor_budget& budget, counters& counts, logger& log_to,
                     const sockaddr_in& where, std::string name, std::uint64_t seed, double grace, told then,
                     loop::task on_failure)
    : runs(in),
      room(budget),
      counted(counts),
      lines(log_to),
      agent(where),
      host(std::move(name)),
      chance(static_cast<std::knuth_b::result_type>(seed | 1)),
      tell(std::move(then)),
      failed(std::move(on_failure)),
      // What the agent holds counts as told, so two of these, a try in vain and the pause behind it, have to
      // pass well within the grace. At least what a process may wait for its core.
      brief(std::clamp(grace / 4, 20.0, 250.0)),
      reader(http::reader::kind::answer, longest_list) {}

discovery::~discovery() = default;

void discovery::begin() { call(); }

void discovery::move(const sockaddr_in& where, std::string name) {
  agent = where;
  host = std::move(name);
  wire.reset();
  whole_wanted = true;
  proven = false;
  begin();
}

void discovery::call() {
  // A watch that fell silent is broken, and what it misses counts as told 6 s after that, or 2 s after the
  // wait where that is later: with this wait, silence is found within 3 s of its first moment. Once broken,
  // the next call is one that needs no wait, and its answer is due at once.
  constexpr double wait = 2000, travel = 1000, at_once = 1, asked_for = 1500;
  // A second call on a connection whose answer is still to come would be taken for an answer to the first.
  if (patience.set()) wire.reset();
  next_call.drop();
  connecting.drop();
  const bool watches = proven && !whole_wanted;
  // Where the balancer asks, the list's one service may take its time.
  const double prompt = by_itself ? brief : asked_for;
  std::string target = "/api/targets";
  if (!whole_wanted)
    target += "?index=" + std::to_string(version) +
              "&wait=" + std::to_string(static_cast<long long>(watches || !by_itself ? wait : at_once));
  called = runs.now();
  lines.debug() << "list: calls " << target;
  out = {};
  out.own("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
  patience = runs.at(called + (watches || (!by_itself && !whole_wanted) ? wait + travel : prompt),
                     [this] { fail("no answer in time"); });
  if (!wire) {
    descriptor fd = connect_to(agent);
    if (!fd) return fail("no connection");
    connected = false;
    // One that doesn't come up must not pass for a watch that waits.
    connecting = runs.at(called + prompt, [this] { fail("no connection in time"); });
    reader = http::reader(http::reader::kind::answer, longest_list);
    wire = std::make_unique<stream>(runs, room, std::move(fd), [this](std::uint32_t e) { ready(e); });
    return;
  }
  ready(EPOLLOUT);
}

void discovery::ready(std::uint32_t events) {
  if (!connected) {
    if (events & (EPOLLERR | EPOLLHUP) || wire->pending_error() != 0) return fail("no connection");
    if (!(events & EPOLLOUT)) return;
    connected = true;
    connecting.drop();
  }
  if (!wire->write(out)) return fail("connection broke");
  constexpr int turns = 16;
  for (int i = 0; i < turns; ++i) {
    std::size_t n = 0;
    const stream::got got = wire->read(reader.room(), n);
    if (got == stream::got::nothing) return;
    if (got == stream::got::some) reader.fed(n);
    if (got == stream::got::ended) reader.ended();
    const bool over = got == stream::got::ended || got == stream::got::broken;
    if (reader.now() == http::reader::state::whole) {
      const http::message m = reader.take();
      if (over || !m.keeps) wire.reset();
      return take(m);
    }
    if (over && !patience.set()) return wire.reset();  // between two calls: the next one opens another
    if (over) return fail("connection broke");
    if (reader.now() == http::reader::state::broken) return fail("malformed answer");
  }
  wire->again();
}

void discovery::take(const http::message& m) {
  patience.drop();
  if (m.status != 200) return fail("status " + std::to_string(m.status));
  roster r;
  try {
    r = read_roster(m.body());
    // Changes to what we don't have say nothing; an agent that begins anew tells its whole list.
    if (!r.whole && (whole_wanted || r.version < version)) throw malformed("list: changes of an older list");
  } catch (const malformed& e) {
    // The old list stays: one bad answer must not leave us without endpoints.
    ++counted.malformed_lists;
    whole_wanted = true;
    return fail(e.what());
  }
  lines.debug() << "list: version " << r.version << " after " << runs.now() - called << " ms";
  if (silent) lines.info() << "list is back, version " << r.version;
  silent = false;
  ++counted.lists;
  version = r.version;
  whole_wanted = false;
  tell(r);
  // At once, since what changes in between counts as told; but an agent that doesn't wait must not make us
  // spin.
  constexpr double too_soon = 20, breath = 100;  // ms; a watch goes on for 200
  const bool hasty = proven && r.entries.empty() && runs.now() - called < too_soon;
  proven = true;
  next_call = runs.at(runs.now() + (hasty ? breath : 0), [this] { call(); });
}

void discovery::fail(const std::string& why) {
  lines.debug() << "list: " << why << " after " << runs.now() - called << " ms";
  ++counted.list_failures;
  if (!silent) lines.warning() << "list: " << why << "; the old one stays in force";
  silent = true;
  patience.drop();
  connecting.drop();
  wire.reset();
  const bool was_proven = std::exchange(proven, false);
  if (by_itself) {
    // Spread by chance: what is behind the agents serves all of them.
    next_call = runs.at(runs.now() + brief * std::uniform_real_distribution<double>(0.5, 1)(chance),
                        [this] { call(); });
  } else if (was_proven) {
    // A watch that broke is opened anew at once: what it misses counts as told soon, and the balancer's word
    // on when to ask is meant for a service that can't answer.
    next_call = runs.at(runs.now(), [this] { call(); });
  } else {
    failed();
  }
}

}  // namespace indigorill
