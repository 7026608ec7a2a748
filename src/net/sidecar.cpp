#include "sidecar.h"

#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <map>
#include <sstream>
#include <system_error>
#include <utility>

#include "../maintenance/maintenance.h"
#include "admin.h"
#include "front.h"
#include "twin.h"

namespace indigorill {
namespace {

sigset_t ours() {
  sigset_t set;
  sigemptyset(&set);
  for (const int s : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, s);
  return set;
}

descriptor signals() {
  hold_signals();
  const sigset_t set = ours();
  descriptor fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
  return fd;
}

void write_counters(logger& lines, const counters& counts) {
  std::stringstream text;
  text << counts;
  std::string flat = text.str();
  for (char& c : flat)
    if (c == '\n') c = ' ';
  logger::line line = lines.info();
  line << "counters: " << flat;
  std::string name;
  for (std::int64_t value; text >> name >> value;) line.field(name, value);
}

}  // namespace

void hold_signals() {
  const sigset_t set = ours();
  if (::sigprocmask(SIG_BLOCK, &set, nullptr) < 0)
    throw std::system_error(errno, std::generic_category(), "sigprocmask");
}

void run_sidecar(const start& with, const std::function<start()>& read_again, logger& lines) {
  // Standard input, output and error, epoll, signals, the listener, and some to spare.
  const std::size_t own_descriptors =
      16 + (with.second ? admin::own_descriptors : 0) + (with.with_others ? 1 : 0);
  if (with.descriptors <= 2 * own_descriptors) throw malformed("config: limits allow too few sockets");
  ::signal(SIGPIPE, SIG_IGN);
  const descriptor signal = signals();  // before all else: a SIGHUP that isn't held ends the process
  descriptor inherited = with.inherited ? adopt_listener(*with.inherited) : descriptor();
  loop runs;
  counters counts;
  descriptor_budget budget{with.descriptors - own_descriptors};
  std::unique_ptr<twin> other;
  if (with.second || with.inherited) other = std::make_unique<twin>(runs, lines, with.shared, with.name);
  const auto part = [&] { return other ? other->is().share() : 1; };

  front* door = nullptr;
  pool endpoints(runs, budget, counts, lines, with.with, [&] { return door && door->close_idle(); });
  relay rpcs(runs, endpoints, counts, lines, with.where, with.seed);
  // Clients hold a third of the descriptors at most for requests, so a third is enough for their picks, and
  // half of what they may hold may rest. A third of the memory for requests leaves as much for answers and as
  // much for what the allocator wastes.
  double told = 0;  // for how long a client waits, at most
  for (const method& m : with.where.methods) told = std::max({told, m.deadline, m.latency_target});
  const double waited = told > 0 ? told : front::limits{}.deadline;
  const auto within = [&] {
    // Of two processes each keeps to its part, what it holds for itself included.
    constexpr std::size_t least = 4;  // the list's connection and a few others
    const auto most = static_cast<std::size_t>(part() * static_cast<double>(with.descriptors));
    budget.most = most > own_descriptors + least ? most - own_descriptors : least;
    return front::limits{budget.most - budget.most / 3, budget.most / 6,
                         static_cast<std::size_t>(part() * static_cast<double>(with.memory) / 3), waited};
  };
  front clients(runs, budget, counts, lines, rpcs, within(), [&] { return endpoints.close_idle(); });
  door = &clients;

  maintenance by_hand;
  std::map<std::string, roster::entry> listed;  // for a newcomer
  std::uint64_t version = with.known.version;
  const auto learn = [&](const roster& list, bool asked) {
    if (list.whole || !list.entries.empty())
      (lines.info() << "list version " << list.version << (list.whole ? ", whole, " : ", changes, ")
                    << list.entries.size() << " entries")
          .field("version", static_cast<std::int64_t>(list.version))
          .field("entries", static_cast<std::int64_t>(list.entries.size()));
    if (list.whole) listed.clear();
    version = list.version;
    std::vector<endpoint> entries;
    std::vector<std::string> here, gone;
    for (const roster::entry& e : list.entries) {
      if (e.is.state == standing::gone) {
        endpoints.gone(e.is.id);
        listed.erase(e.is.id);
      } else {
        endpoints.listed(e.is.id, e.address, e.is.state, e.is.started);
        listed[e.is.id] = e;
      }
      (e.is.state == standing::gone ? gone : here).push_back(e.is.id);
      entries.push_back(e.is);
    }
    by_hand.listed(list.whole, here, gone);
    for (const std::string& id : here)
      if (by_hand.out(id)) endpoints.withheld(id, true);  // met anew, it is out still
    if (list.whole) endpoints.keep_only(entries);
    rpcs.listed(list.whole, asked, entries);
  };
  roster known = with.known;
  known.whole = true;
  learn(known, false);

  discovery lists(
      runs, budget, counts, lines, with.discovery, with.discovery_host, with.seed + 1, with.with.grace,
      [&](const roster& list) { learn(list, true); }, [&] { rpcs.list_failed(); });
  // Many that start at once and ask for the whole list each keep its service busy for longer than it lasts.
  const auto watch_list = [&] {
    if (!listed.empty()) lists.knows(version);
    if (with.where.must_ask) {
      rpcs.when_list_wanted([&] { lists.begin(); });
    } else {
      lists.keep_asking();
      lists.begin();
    }
  };

  // One of two processes talks at a time: the older one until the newer one serves.
  std::unique_ptr<company> others;
  const auto meet = [&] {
    if (with.with_others && !others)
      others = std::make_unique<company>(runs, lines, *with.with_others, with.seed + 2);
  };
  // Without the others for a moment, between two processes of this sidecar, nothing is spent of what is
  // shared.
  if (with.with_others && with.with_others->budgets)
    rpcs.spends({[&] { return others ? others->left("further_picks") : 0; },
                 [&] { return others && others->take("further_picks"); },
                 [&] {
                   if (others) others->wanted("further_picks");
                 }});
  const auto part_from_others = [&] {
    if (others) others->leave();
    others.reset();
  };

  bool stopping = false;
  std::string agent = with.discovery_host;
  const auto reload = [&] {
    try {
      const start now = read_again();
      if (now.discovery_host != agent) lists.move(now.discovery, now.discovery_host);
      agent = now.discovery_host;
      lines.info() << "config read again, discovery at " << agent;
    } catch (const malformed& e) {
      lines.warning() << e.what() << "; the old config stays in force";
    }
  };
  const loop::watch on_signal = runs.on(signal.get(), [&](std::uint32_t) {
    signalfd_siginfo s;
    while (::read(signal.get(), &s, sizeof s) == sizeof s) {
      if (s.ssi_signo == SIGUSR1) {
        write_counters(lines, counts);
      } else if (s.ssi_signo == SIGHUP) {
        reload();
      } else {
        stopping = true;
        if (other) other->leaves();
        part_from_others();
        lines.info() << "told to stop, " << rpcs.held() << " RPCs held";
        clients.drain([&] { runs.stop(); });
      }
    }
  });
  loop::timer next_counters;
  const loop::task log_counters = [&] {
    write_counters(lines, counts);
    next_counters = runs.at(runs.now() + with.counters_every, log_counters);
  };
  if (with.counters_every > 0) next_counters = runs.at(runs.now() + with.counters_every, log_counters);
  const auto put_out = [&](const bans& now) {
    const auto out = missing(by_hand.all_out(), now.out), back = missing(now.out, by_hand.all_out());
    by_hand.restore(now.out);
    counts.out_by_hand = by_hand.all_out().size();
    for (const std::string& id : out) rpcs.withheld(id, true, runs.now());
    for (const std::string& id : back) {
      const auto when = now.back.find(id);
      rpcs.withheld(id, false, when == now.back.end() ? runs.now() : when->second);
    }
    for (const std::string& id : out) lines.info() << "endpoint " << id << " is out by hand";
    for (const std::string& id : back) lines.info() << "endpoint " << id << " is back, taken for cold";
  };
  bool serving = false;
  admin staff(runs, counts, lines, [&](const order& asked, const admin::answered& then) {
    if (asked.is == order::what::status) return then(serving && !stopping ? 200 : 503, {});
    if (asked.is == order::what::members || asked.is == order::what::budgets) {
      const bool whole = asked.is == order::what::budgets;
      if (!others) return then(with.with_others ? 503 : 404, {});
      return then(200, (whole ? others->budgets_as_json() : others->as_json()).dump(1) + "\n");
    }
    if (!by_hand.knows(asked.id)) return then(404, {});
    const bool out = asked.is == order::what::out;
    other->change(
        [&runs, id = asked.id, out](bans& b) {
          if (out)
            take_out(b, id);
          else
            put_back(b, id, runs.now());
        },
        [then](bool done) { then(done ? 200 : 503, {}); });
  });
  const auto take_over_list = [&] {
    const auto text = other->left_list();
    if (!text) return;
    try {
      learn(read_roster(*text), false);
    } catch (const malformed& e) {
      lines.warning() << "the older process left what is no list, ours stays in force: " << e.what();
    }
  };
  const auto serve = [&] {
    serving = true;
    meet();
    watch_list();
    if (other) other->serves();
    clients.accepts(true);
    lines.info() << with.name << " serves, " << listed.size() << " endpoints known";
  };
  // An upgrade: what the newer of two processes waits for, and what the older one gives up.
  const double started = runs.now();
  bool beside = false, hurrying = false;
  const auto side_by_side = [&] {
    constexpr double longest = 500;  // ms; an elder that stands still must not keep the newcomer from serving
    const handover& is = other->is();
    clients.keep_within(within());
    while (budget.open > budget.most && (clients.close_idle() || endpoints.close_idle())) continue;
    const bool room = is.elder() && budget.open <= budget.most;
    if (room && !is.self().made_room) {
      roster now;
      now.version = version;
      now.whole = true;
      for (const auto& [id, e] : listed) now.entries.push_back(e);
      other->leave_list(encode_roster(now));
      ::malloc_trim(0);  // what is free here is room for the newcomer only once the kernel has it back
    }
    other->made_room(room);
    if (!serving && (is.has_room() || runs.now() > started + longest)) {
      if (is.newcomer() && is.has_room()) take_over_list();
      serve();
    }
    clients.hurries(is.hurries());
    if (is.hurries())
      part_from_others();
    else if (serving && !stopping)
      meet();
    clients.accepts(is.accepts());
    if (std::exchange(beside, is.paired()) != is.paired())
      lines.info() << (is.elder()      ? "a newer process of this sidecar starts, half of the limits are its"
                       : is.newcomer() ? "an older process of this sidecar runs, half of the limits are ours"
                                       : "the other process has ended, all of the limits are ours");
    if (std::exchange(hurrying, is.hurries()) != is.hurries())
      lines.info() << (is.hurries() ? "the newer process serves, clients move over to it"
                                    : "the newer process has gone, clients are taken on again");
  };
  if (with.second) staff.listen(*with.second);
  clients.accepts(false);
  if (inherited)
    clients.adopt(std::move(inherited));
  else
    clients.listen(with.listen);
  if (other) {
    const bans& left = other->agreed();
    put_out(left);
    for (const auto& [id, when] : left.back) rpcs.withheld(id, false, when);  // put back before our time
    other->begin(side_by_side, put_out);
  } else {
    serve();
  }
  runs.run();
  write_counters(lines, counts);
}

}  // namespace indigorill
