// Stand-ins for endpoints and for discovery's agents: the emulator's servers behind HTTP on loopback, with
// troubles by the same words.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../lab/scenario.h"
#include "../lab/station.h"
#include "clockwork.h"
#include "listener.h"

namespace indigorill::loading {

// Where ports are told by a base: agents first, then sidecars, then servers. Base 0: the kernel chooses.
constexpr std::size_t ports_of_sidecars = 1000, ports_of_servers = 2000;
std::uint16_t port_of(std::uint16_t base, std::size_t which);

// What an endpoint saw of one RPC.
struct seen_rpc {
  int came = 0, ran = 0;
};

class fleet {
 public:
  fleet(loop& in, descriptor_budget& budget, clockwork& clock, const lab::scenario& plays, std::uint64_t seed,
        std::uint16_t base_port);

  // One agent for each sidecar.
  std::string agent(std::size_t sidecar) const { return text_of(agents[sidecar]->door.where()); }
  std::string list() const;  // the whole, as an agent would tell it at the start
  void plan(const lab::trouble& t, std::size_t which);

  const std::unordered_map<std::string, seen_rpc>& rpcs() const { return seen; }
  // The most further picks that began here within so many ms.
  std::size_t most_further(double window) const;
  const std::vector<double>& further() const { return further_at; }
  std::uint64_t probes = 0, connections = 0, falls = 0, unreadable = 0, list_calls = 0;

 private:
  struct job {
    std::string rpc;
    std::uint64_t connection;
  };
  struct place {
    std::unique_ptr<lab::station> at;
    std::unique_ptr<listener> door;
    const lab::server_kind* kind = nullptr;
    int zone = 0, cell = 0;
    double speed = 1;
    bool draining = false, listed = true, vanished = false;
    std::map<std::uint64_t, job> jobs;
    std::unordered_map<std::uint64_t, bool> fresh;  // connections that have carried nothing yet
  };
  struct agent_stand_in {
    agent_stand_in(loop& in, descriptor_budget& budget, listener::asked then,
                   std::function<void(std::uint64_t)> closed, std::uint16_t port)
        : door(in, budget, std::move(then), std::move(closed), port) {}
    listener door;
    std::size_t has = 0;  // changes that it has been sent
    bool due = false;
    struct watch {
      std::uint64_t connection;
      std::size_t from;
      loop::timer until;
    };
    std::vector<watch> watches;
  };

  std::size_t add(const lab::server_kind& k, int zone, int cell, double speed);
  void asked(std::size_t server, std::uint64_t connection, const http::message& m);
  void ended(std::size_t server, std::uint64_t job, lab::station::outcome how, double held);
  void hung_up(std::size_t server, std::uint64_t connection);
  void stop(std::size_t server, bool machine);
  void come_back(std::size_t server);
  void change(std::size_t server, standing how);
  void send_news(std::size_t agent);
  void call(std::size_t agent, std::uint64_t connection, const http::message& m);
  void tell(std::size_t agent, std::uint64_t connection, std::size_t from, bool whole);
  std::string entry(std::size_t server, standing how) const;

  loop& runs;
  descriptor_budget& budget;
  clockwork& clock;
  const lab::scenario plays;
  std::uint64_t seed;
  std::uint16_t base_port;
  lab::stream chance;
  std::vector<std::unique_ptr<place>> places;
  std::vector<std::unique_ptr<agent_stand_in>> agents;
  std::vector<std::string> changes;
  std::vector<std::size_t> changed;
  std::uint64_t jobs = 0;
  double list_slowness = 1;
  bool list_silent = false;
  std::unordered_map<std::string, seen_rpc> seen;
  std::vector<double> further_at;  // when each came
};

// The words of a scenario that can't be played on loopback, a line each.
std::vector<std::string> not_on_sockets(const lab::scenario& s);

}  // namespace indigorill::loading
