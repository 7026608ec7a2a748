// The listener and the application's connections.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "counters.h"
#include "http.h"
#include "log.h"
#include "relay.h"
#include "socket.h"

namespace indigorill {

class front {
 public:
  struct limits {
    std::size_t clients = 0;  // connections, beyond which room is made at the cost of those that hold no RPC
    std::size_t spare = 0;    // connections that hold no RPC, beyond which they are given back to the clients
    std::size_t bytes = 0;    // in messages of clients
    double deadline = 3000;   // ms; no client waits for longer, as far as the settings tell
  };

  front(loop& in, descriptor_budget& budget, counters& counts, logger& log_to, relay& to, limits within,
        std::function<bool()> closes_idle);
  ~front();

  void listen(const sockaddr_in& where);
  void adopt(descriptor listener);  // one that listens already
  // While it doesn't, whoever else holds the listener takes what waits there.
  void accepts(bool does);
  // Each answer ends its connection, so that clients move over to another process.
  void hurries(bool does) { hurried = does; }
  void keep_within(limits now);

  // Closes the connection that is of least use: answered for good, then silent, half sent or idle,
  // the oldest first. False if there is none.
  bool close_idle();

  // Takes on what still comes for a while, answers all that is held, then calls `then`: before it would be
  // killed, whatever endpoints and clients do.
  void drain(loop::task then);

 private:
  struct connection;

  // Connections that hold no RPC, the first to be closed for room in front.
  enum class use { answered, silent, half_sent, idle, held };

  enum class backlog { empty, more, stuck };
  void open_door();
  backlog accept();
  void ready(std::uint64_t which, std::uint32_t events = 0);
  bool read(connection& c);
  void serve(connection& c);
  void await(connection& c, double until);
  void turn_away(connection& c, int status);
  void set_use(connection& c, use now);
  void handle(connection& c, http::message m);
  void answered(connection& c, verdict v);
  void pass_up(connection& c);
  bool pass_down(connection& c, std::string_view piece, bool last);
  void await_reader(connection& c, std::size_t unread);
  void await_body(connection& c);
  void let_go_on(connection& c);
  void answer(connection& c, outgoing what, bool close);
  void write(connection& c);
  void close(std::uint64_t which);
  void close_door();
  void look_once_more(const std::function<void(connection&)>& then);
  void give_back_idle();
  void linger(connection& c, double patience);
  void end_by_force();
  void end_if_empty();
  bool close_oldest(use is, double least);
  bool crowded();
  bool out_of_room(connection& c);
  void weigh(connection& c);

  loop& runs;
  descriptor_budget& room;
  counters& counted;
  logger& lines;
  relay& takes;
  limits bounds;
  std::function<bool()> make_room;
  descriptor door;
  loop::watch at_door;
  loop::timer door_again, door_shut, by_force;
  loop::task when_empty;
  bool draining = false, taking = true, hurried = false;
  double told = 0, last_warning = 0;  // told: to stop
  std::uint64_t names = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections;
  std::set<std::tuple<use, double, std::uint64_t>> spare;  // use, since when, name
  std::size_t bytes = 0;                                   // in messages of all connections
};

}  // namespace indigorill
