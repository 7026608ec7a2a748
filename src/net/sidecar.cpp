#include "sidecar.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <sstream>
#include <system_error>

#include "front.h"

namespace indigorill {
namespace {

descriptor signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int s : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, s);
  if (::sigprocmask(SIG_BLOCK, &set, nullptr) < 0)
    throw std::system_error(errno, std::generic_category(), "sigprocmask");
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

void run_sidecar(const start& with, const std::function<start()>& read_again, logger& lines) {
  // Standard input, output and error, epoll, signals, the listener, and some to spare.
  constexpr std::size_t own_descriptors = 16;
  if (with.descriptors <= 2 * own_descriptors) throw malformed("config: limits allow too few sockets");
  ::signal(SIGPIPE, SIG_IGN);
  const descriptor signal = signals();  // before all else: a SIGHUP that isn't held ends the process
  loop runs;
  counters counts;
  descriptor_budget budget{with.descriptors - own_descriptors};

  front* door = nullptr;
  pool endpoints(runs, budget, counts, lines, with.with, [&] { return door && door->close_idle(); });
  relay rpcs(runs, endpoints, counts, lines, with.where, with.seed);
  // Clients hold a third of the descriptors at most for requests, so a third is enough for their picks, and
  // half of what they may hold may rest. A third of the memory for requests leaves as much for answers and as
  // much for what the allocator wastes.
  const front::limits within{budget.most - budget.most / 3, budget.most / 6, with.memory / 3};
  front clients(runs, budget, counts, lines, rpcs, within, [&] { return endpoints.close_idle(); });
  door = &clients;

  const auto learn = [&](const roster& list, bool asked) {
    if (list.whole || !list.entries.empty())
      (lines.info() << "list version " << list.version << (list.whole ? ", whole, " : ", changes, ")
                    << list.entries.size() << " entries")
          .field("version", static_cast<std::int64_t>(list.version))
          .field("entries", static_cast<std::int64_t>(list.entries.size()));
    std::vector<endpoint> entries;
    for (const roster::entry& e : list.entries) {
      if (e.is.state == standing::gone)
        endpoints.gone(e.is.id);
      else
        endpoints.listed(e.is.id, e.address);
      entries.push_back(e.is);
    }
    if (list.whole) endpoints.keep_only(entries);
    rpcs.listed(list.whole, asked, entries);
  };
  roster known = with.known;
  known.whole = true;
  learn(known, false);

  discovery lists(
      runs, budget, counts, lines, with.discovery, with.discovery_host, with.seed + 1,
      [&](const roster& list) { learn(list, true); }, [&] { rpcs.list_failed(); });
  // Many that start at once and ask for the whole list each keep its service busy for longer than it lasts.
  if (!known.entries.empty()) lists.knows(known.version);
  if (with.where.must_ask) {
    rpcs.when_list_wanted([&] { lists.begin(); });
  } else {
    lists.keep_asking();
    lists.begin();
  }

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
  clients.listen(with.listen);
  lines.info() << with.name << " serves, " << with.known.entries.size() << " endpoints known";
  runs.run();
  write_counters(lines, counts);
}

}  // namespace indigorill
