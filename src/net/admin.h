// The second address: staff ask there how this process is and take endpoints out by hand. A front of its own,
// with descriptors of its own, so that no crowd of clients shuts staff out; no RPCs come over it.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>

#include "counters.h"
#include "http.h"
#include "log.h"
#include "socket.h"
#include "words.h"

namespace indigorill {

class admin {
 public:
  // text: JSON for the calls that read; else the status says all.
  using answered = std::function<void(int status, std::string text)>;
  // Carries out an order and says how it went, at once or later.
  using carrier = std::function<void(const order&, answered)>;

  // Of the listener and the connections: what a config has to leave them.
  static constexpr std::size_t own_descriptors = 13;

  admin(loop& in, counters& counts, logger& log_to, carrier carries);
  ~admin();

  void listen(const sockaddr_in& where) { adopt(listen_on(where)); }
  void adopt(descriptor listener);

 private:
  struct connection;

  void open_door();
  bool accept();  // false: some are left in the backlog
  void ready(std::uint64_t which);
  void answer(connection& c, int status, const std::string& text = {});
  void write(connection& c);
  bool close_silent();

  loop& runs;
  counters& counted;
  logger& lines;
  carrier carry;
  descriptor_budget room{own_descriptors - 1};
  descriptor door;
  loop::watch at_door;
  loop::timer door_again;
  std::uint64_t names = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections;
  std::set<std::tuple<bool, double, std::uint64_t>> spare;  // unanswered, silent since, name
};

}  // namespace indigorill
