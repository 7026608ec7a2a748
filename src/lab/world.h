// The emulated world: applications, their sidecars with the real module (or a baseline), the network,
// connections, servers, the list's service and troubles, as events in one agenda. No sockets, no wall clock.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../net/patience.h"
#include "agenda.h"
#include "brain.h"
#include "figures.h"
#include "record.h"
#include "scenario.h"
#include "station.h"

namespace indigorill::lab {

class world {
 public:
  world(const scenario& plays, policy by, std::uint64_t seed, std::vector<witness*> told = {});
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  bool step();             // one event; false once the stated end is reached
  figures finish();        // plays to the end
  bool conserved() const;  // arrived = answered, given up or lost, and open

  double now() const { return due.now(); }
  std::uint64_t connections_at(std::uint32_t server) const { return places.at(server).connections; }
  std::size_t servers() const { return places.size(); }

 private:
  struct place {  // a server and what is round it
    std::unique_ptr<station> at;
    int zone = 0, cell = 0;
    double speed = 1;
    const server_kind* kind = nullptr;
    bool vanished = false, draining = false, listed = true;
    std::uint32_t life = 0;  // of its process: connections end with it
    std::uint64_t connections = 0, coming = 0;
    std::int64_t second = -1;
    std::uint64_t handshakes = 0, probes = 0;  // in that second
  };
  struct connection {
    double since;
    std::uint32_t life;
  };
  struct sidecar {
    std::unique_ptr<brain> decides;
    bool up = false, pulling = false, behind = false, news_due = false, subscribed = false,
         whole_next = false;
    std::uint32_t life = 0;
    int zone = 0;
    double weight = 0;
    std::size_t known = 0;                         // changes of the list
    std::uint64_t call = 0;                        // for the list, that is out; 0: none
    std::vector<std::vector<connection>> resting;  // by server, the last used last
    connect_patience patience{0};
    std::unique_ptr<limits> within;  // none: without limits
    std::vector<char> barred;        // by server, as the brain was told
    stream arrives{0};
  };
  enum class stage { connecting, written, over };
  struct pick {
    std::uint32_t server, server_life;
    stage in;
    bool fresh, coming;
    double sent;
    std::uint64_t job;
  };
  struct rpc {
    std::uint32_t sidecar;
    std::uint64_t task;
    bool over = false;
    std::vector<pick> picks;
    bool idle() const;
  };
  struct task {  // what an application wants, over all its tries
    std::uint32_t sidecar;
    std::size_t method;
    double came, work;
    int tries_left;
    double wait;
    bool counted;
  };
  struct job {
    std::uint64_t rpc;
    int pick;
    std::uint32_t sidecar;
  };

  // Set up.
  std::uint32_t add_server(const server_kind& k, int zone, int cell, double speed);
  void start_sidecar(std::uint32_t s);
  void plan(const trouble& t, std::size_t which);

  // Applications.
  void next_arrival(std::uint32_t s);
  void arrive(std::uint32_t s);
  void ask(std::uint64_t of);
  enum class fate { ok, late, pushed_back, aborted, unanswered, lost };
  void conclude_task(std::uint64_t of, fate f);
  void retry_or(std::uint64_t of, fate f, double advice);

  // Sidecars.
  void pull(std::uint32_t s);
  void carry_out(std::uint32_t s, const decision& d);
  void send(std::uint32_t s, const decision& d);
  void connect(std::uint64_t id, int n);
  void connected(std::uint64_t id, int n, std::uint32_t server, std::uint32_t life, double began);
  void write(std::uint64_t id, int n);
  void come(std::uint64_t id, int n, std::uint32_t s, std::uint32_t server, std::uint32_t life,
            std::uint64_t job, double work);
  void ended(std::uint32_t server, std::uint64_t job, station::outcome how, double held);
  void end_pick(std::uint64_t id, int n, ending how, const load& report);
  void let_go(rpc& r, pick& p, ending how);
  void time_out(std::uint64_t id, int n);
  void cancel(std::uint32_t s, const decision& d);
  void probe(std::uint32_t s, std::uint32_t server);
  void conclude(std::uint64_t id, answer a, double advice);
  void forget_if_over(std::uint64_t id);
  void rest(std::uint32_t s, std::uint32_t server, std::uint32_t life);
  bool take_rested(std::uint32_t s, std::uint32_t server, connection& got);
  bool accept(place& at);  // a connection, if the table has room
  void close(std::uint32_t server, std::uint32_t life);
  void tell_resting(std::uint32_t s, std::uint32_t server);
  void tell_limits(std::uint32_t s);
  void closed(std::uint32_t s, std::uint32_t server);  // a connection of a sidecar's own, or a try at one
  void list_servers(std::uint32_t s);
  void count_second(place& at);
  void kill_sidecar(std::uint32_t s);
  pick* live(std::uint64_t id, int n);

  // The list.
  endpoint shown(std::uint32_t server, standing how) const;
  void change(std::uint32_t server, standing how);
  void news_for(std::uint32_t s);
  void tell(std::uint32_t s, bool whole, bool asked);
  void call_list(std::uint32_t s);
  void list_failed(std::uint32_t s, std::uint64_t call);
  void up_to_date(std::uint32_t s);

  // Servers.
  void stop_server(std::uint32_t server, bool machine, bool noticed);
  void return_server(std::uint32_t server);
  void say_what_it_is(std::uint32_t server);
  double true_time(std::uint32_t s, std::uint32_t server) const;

  double trip(int from_zone, int to_zone);
  void say(entry e);
  second& this_second();

  const scenario plays;
  policy by;
  std::uint64_t seed;
  std::vector<witness*> told;
  agenda due;
  double end_at;
  stream network, lists, wishes;
  std::vector<place> places;
  std::vector<sidecar> sidecars;
  std::map<std::uint64_t, rpc> rpcs;
  std::map<std::uint64_t, task> tasks;
  std::unordered_map<std::uint64_t, job> jobs;
  pace comes;
  double surge = 1, loss = 0;
  std::uint64_t next_rpc = 0, next_task = 0, next_job = 0, next_call = 0;
  std::vector<endpoint> first_list, changes;
  std::vector<std::uint32_t> changed;  // which server each of the changes concerns
  double first_change = -1, list_free = 0, list_slowness = 1;
  std::size_t list_pending = 0, behind = 0;
  bool list_silent = false;
  figures seen;
};

// One run under the auditor's eyes; `more` listens too.
figures play(const scenario& s, policy by, std::uint64_t seed, witness* more = nullptr);

}  // namespace indigorill::lab
