#include "proxy/sidecar.h"

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

#include "admin/admin_server.h"
#include "ejection/manual_ejection.h"
#include "hot_restart/hot_restart.h"
#include "proxy/http_server.h"

namespace indigorill {
namespace {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int s : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, s);
  return set;
}

FileDescriptor open_signal_descriptor() {
  block_signals();
  const sigset_t set = handled_signals();
  FileDescriptor fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
  return fd;
}

void write_counters_to_log(Logger& lines, const Counters& counts) {
  std::stringstream text;
  text << counts;
  std::string flat = text.str();
  for (char& c : flat)
    if (c == '\n') c = ' ';
  Logger::Line line = lines.info();
  line << "counters: " << flat;
  std::string name;
  for (std::int64_t value; text >> name >> value;) line.field(name, value);
}

}  // namespace

void block_signals() {
  const sigset_t set = handled_signals();
  if (::sigprocmask(SIG_BLOCK, &set, nullptr) < 0)
    throw std::system_error(errno, std::generic_category(), "sigprocmask");
}

void run_sidecar(const SidecarConfig& with, const std::function<SidecarConfig()>& read_again, Logger& lines) {
  // Standard input, output and error, epoll, signals, the listener, and some to spare.
  const std::size_t own_descriptors =
      16 + (with.admin_address ? AdminServer::reserved_descriptors : 0) + (with.cluster ? 1 : 0);
  if (with.max_descriptors <= 2 * own_descriptors) throw ConfigError({.file = {}, .field = "config.limits", .cause = "allow too few sockets"});
  ::signal(SIGPIPE, SIG_IGN);
  const FileDescriptor signal =
      open_signal_descriptor();  // before all else: a SIGHUP that isn't held ends the process
  FileDescriptor inherited =
      with.inherited_listener_fd ? adopt_listener_fd(*with.inherited_listener_fd) : FileDescriptor();
  EventLoop runs;
  Counters counts;
  FileDescriptorBudget budget{with.max_descriptors - own_descriptors};
  std::unique_ptr<HotRestart> other;
  if (with.admin_address || with.inherited_listener_fd)
    other = std::make_unique<HotRestart>(runs, lines, with.shared_directory, with.name);
  const auto part = [&] { return other ? other->policy().limit_fraction() : 1; };

  HttpServer* door = nullptr;
  UpstreamPool endpoints(runs, budget, counts, lines, with.upstream,
                         [&] { return door && door->close_idle_connection(); });
  RequestDispatcher rpcs(runs, endpoints, counts, lines, with.load_balancer, with.seed);
  // Clients hold a third of the descriptors at most for requests, so a third is enough for their picks, and
  // half of what they may hold may rest. A third of the memory for requests leaves as much for answers and as
  // much for what the allocator wastes.
  double told = 0;  // for how long a client waits, at most
  for (const MethodConfig& m : with.load_balancer.methods)
    told = std::max({told, m.deadline_ms, m.latency_objective_ms});
  const double waited = told > 0 ? told : HttpServer::Limits{}.max_client_wait_ms;
  const auto within = [&] {
    // Of two processes each keeps to its part, what it holds for itself included.
    constexpr std::size_t least = 4;  // the list's connection and a few others
    const auto most = static_cast<std::size_t>(part() * static_cast<double>(with.max_descriptors));
    budget.limit = most > own_descriptors + least ? most - own_descriptors : least;
    return HttpServer::Limits{
        budget.limit - budget.limit / 3, budget.limit / 6,
        static_cast<std::size_t>(part() * static_cast<double>(with.max_memory_bytes) / 3), waited};
  };
  HttpServer clients(runs, budget, counts, lines, rpcs, within(),
                     [&] { return endpoints.close_idle_connection(); });
  door = &clients;

  ManualEjections by_hand;
  std::map<std::string, EndpointListUpdate::Entry> listed;  // for a newcomer
  std::uint64_t version = with.initial_endpoints.version;
  const auto learn = [&](const EndpointListUpdate& list, bool asked) {
    if (list.complete || !list.entries.empty())
      (lines.info() << "list version " << list.version << (list.complete ? ", whole, " : ", changes, ")
                    << list.entries.size() << " entries")
          .field("version", static_cast<std::int64_t>(list.version))
          .field("entries", static_cast<std::int64_t>(list.entries.size()));
    if (list.complete) listed.clear();
    version = list.version;
    std::vector<Endpoint> entries;
    std::vector<std::string> here, gone;
    for (const EndpointListUpdate::Entry& e : list.entries) {
      if (e.endpoint.state == EndpointState::gone) {
        endpoints.remove_endpoint(e.endpoint.id);
        listed.erase(e.endpoint.id);
      } else {
        endpoints.update_endpoint(e.endpoint.id, e.address, e.endpoint.state, e.endpoint.started_at_ms);
        listed[e.endpoint.id] = e;
      }
      (e.endpoint.state == EndpointState::gone ? gone : here).push_back(e.endpoint.id);
      entries.push_back(e.endpoint);
    }
    by_hand.update_endpoints(list.complete, here, gone);
    for (const std::string& id : here)
      if (by_hand.is_ejected(id)) endpoints.set_ejected_manually(id, true);  // met anew, it is out still
    if (list.complete) endpoints.retain_endpoints(entries);
    rpcs.update_endpoints(list.complete, asked, entries);
  };
  EndpointListUpdate known = with.initial_endpoints;
  known.complete = true;
  learn(known, false);

  DiscoveryClient lists(
      runs, budget, counts, lines, with.discovery_address, with.discovery_host, with.seed + 1,
      with.upstream.drain_grace_ms, [&](const EndpointListUpdate& list) { learn(list, true); },
      [&] { rpcs.endpoint_poll_failed(); });
  // Many that start at once and ask for the whole list each keep its service busy for longer than it lasts.
  const auto watch_list = [&] {
    if (!listed.empty()) lists.set_known_version(version);
    if (with.load_balancer.must_poll_endpoints) {
      rpcs.on_endpoint_poll([&] { lists.poll(); });
    } else {
      lists.enable_continuous_polling();
      lists.poll();
    }
  };

  // One of two processes talks at a time: the older one until the newer one serves.
  std::unique_ptr<ClusterNode> others;
  const auto meet = [&] {
    if (with.cluster && !others)
      others = std::make_unique<ClusterNode>(runs, lines, *with.cluster, with.seed + 2);
  };
  // Without the others for a moment, between two processes of this sidecar, nothing is spent of what is
  // shared.
  if (with.cluster && with.cluster->quota)
    rpcs.use_fleet_retry_quota({[&] { return others ? others->available("further_picks") : 0; },
                                [&] { return others && others->try_acquire("further_picks"); },
                                [&] {
                                  if (others) others->record_demand("further_picks");
                                }});
  const auto part_from_others = [&] {
    if (others) others->leave();
    others.reset();
  };

  bool stopping = false;
  std::string agent = with.discovery_host;
  const auto reload = [&] {
    try {
      const SidecarConfig now = read_again();
      if (now.discovery_host != agent) lists.switch_agent(now.discovery_address, now.discovery_host);
      agent = now.discovery_host;
      lines.info() << "config read again, discovery at " << agent;
    } catch (const ConfigError& e) {
      lines.warning() << e.what() << "; the old config stays in force";
    }
  };
  const EventLoop::Watch on_signal = runs.watch_fd(signal.get(), [&](std::uint32_t) {
    signalfd_siginfo s;
    while (::read(signal.get(), &s, sizeof s) == sizeof s) {
      if (s.ssi_signo == SIGUSR1) {
        write_counters_to_log(lines, counts);
      } else if (s.ssi_signo == SIGHUP) {
        reload();
      } else {
        stopping = true;
        if (other) other->start_draining();
        part_from_others();
        lines.info() << "told to stop, " << rpcs.in_flight() << " RPCs held";
        clients.drain([&] { runs.stop(); });
      }
    }
  });
  EventLoop::Timer next_counters;
  const EventLoop::Callback log_counters = [&] {
    write_counters_to_log(lines, counts);
    next_counters = runs.schedule_at(runs.now() + with.counters_interval_ms, log_counters);
  };
  if (with.counters_interval_ms > 0)
    next_counters = runs.schedule_at(runs.now() + with.counters_interval_ms, log_counters);
  const auto put_out = [&](const EjectionRecord& now) {
    const auto out = ids_missing_from(by_hand.ejected(), now.ejected),
               back = ids_missing_from(now.ejected, by_hand.ejected());
    by_hand.replace_ejected(now.ejected);
    counts.manually_ejected_endpoints = by_hand.ejected().size();
    for (const std::string& id : out) rpcs.set_ejected_manually(id, true, runs.now());
    for (const std::string& id : back) {
      const auto when = now.restored_at_ms.find(id);
      rpcs.set_ejected_manually(id, false, when == now.restored_at_ms.end() ? runs.now() : when->second);
    }
    for (const std::string& id : out) lines.info() << "endpoint " << id << " is out by hand";
    for (const std::string& id : back) lines.info() << "endpoint " << id << " is back, taken for cold";
  };
  bool serving = false;
  AdminServer staff(
      runs, counts, lines, [&](const AdminRequest& asked, const AdminServer::ResponseCallback& then) {
        if (asked.command == AdminRequest::Command::status) return then(serving && !stopping ? 200 : 503, {});
        if (asked.command == AdminRequest::Command::membership ||
            asked.command == AdminRequest::Command::quotas) {
          const bool whole = asked.command == AdminRequest::Command::quotas;
          if (!others) return then(with.cluster ? 503 : 404, {});
          return then(200, (whole ? others->budgets_as_json() : others->as_json()).dump(1) + "\n");
        }
        if (!by_hand.is_known(asked.endpoint_id)) return then(404, {});
        const bool out = asked.command == AdminRequest::Command::eject;
        other->change_ejections(
            [&runs, id = asked.endpoint_id, out](EjectionRecord& b) {
              if (out)
                eject_endpoint(b, id);
              else
                restore_endpoint(b, id, runs.now());
            },
            [then](bool done) { then(done ? 200 : 503, {}); });
      });
  const auto take_over_list = [&] {
    const auto text = other->read_endpoint_list();
    if (!text) return;
    try {
      learn(parse_endpoint_list(*text), false);
    } catch (const ParseError& e) {
      lines.warning() << "the older process left what is no list, ours stays in force: " << e.what();
    }
  };
  const auto serve = [&] {
    serving = true;
    meet();
    watch_list();
    if (other) other->start_serving();
    clients.set_accepting(true);
    lines.info() << with.name << " serves, " << listed.size() << " endpoints known";
  };
  // An upgrade: what the newer of two processes waits for, and what the older one gives up.
  const double started = runs.now();
  bool beside = false, hurrying = false;
  const auto side_by_side = [&] {
    constexpr double longest = 500;  // ms; an elder that stands still must not keep the newcomer from serving
    const HotRestartPolicy& is = other->policy();
    clients.set_limits(within());
    while (budget.open_count > budget.limit &&
           (clients.close_idle_connection() || endpoints.close_idle_connection()))
      continue;
    const bool room = is.is_parent() && budget.open_count <= budget.limit;
    if (room && !is.own_record().limits_reduced) {
      EndpointListUpdate now;
      now.version = version;
      now.complete = true;
      for (const auto& [id, e] : listed) now.entries.push_back(e);
      other->write_endpoint_list(encode_endpoint_list(now));
      ::malloc_trim(0);  // what is free here is room for the newcomer only once the kernel has it back
    }
    other->set_limits_reduced(room);
    if (!serving && (is.can_start_serving() || runs.now() > started + longest)) {
      if (is.is_child() && is.can_start_serving()) take_over_list();
      serve();
    }
    clients.set_force_closing(is.is_force_closing());
    if (is.is_force_closing())
      part_from_others();
    else if (serving && !stopping)
      meet();
    clients.set_accepting(is.is_accepting());
    if (std::exchange(beside, is.is_paired()) != is.is_paired())
      lines.info() << (is.is_parent()  ? "a newer process of this sidecar starts, half of the limits are its"
                       : is.is_child() ? "an older process of this sidecar runs, half of the limits are ours"
                                       : "the other process has ended, all of the limits are ours");
    if (std::exchange(hurrying, is.is_force_closing()) != is.is_force_closing())
      lines.info() << (is.is_force_closing() ? "the newer process serves, clients move over to it"
                                             : "the newer process has gone, clients are taken on again");
  };
  if (with.admin_address) staff.listen(*with.admin_address);
  clients.set_accepting(false);
  if (inherited)
    clients.use_listener(std::move(inherited));
  else
    clients.listen(with.listen_address);
  if (other) {
    const EjectionRecord& left = other->ejections();
    put_out(left);
    for (const auto& [id, when] : left.restored_at_ms)
      rpcs.set_ejected_manually(id, false, when);  // put back before our time
    other->start(side_by_side, put_out);
  } else {
    serve();
  }
  runs.run();
  write_counters_to_log(lines, counts);
}

}  // namespace indigorill
