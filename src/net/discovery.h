// The list of endpoints: calls, the watch that is kept open, and what their answers say. Where the balancer
// asks for the list by itself, it decides when.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "../decode/fields.h"
#include "counters.h"
#include "http.h"
#include "indigorill/balance.h"
#include "log.h"
#include "socket.h"

namespace indigorill {

struct roster {
  struct entry {
    endpoint is;
    std::string address;
  };
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<entry> entries;
};

roster decode_roster(const fields& f);      // throws malformed
roster read_roster(std::string_view text);  // as well
std::string encode_roster(const roster& r);

class discovery {
 public:
  using told = std::function<void(const roster&)>;

  discovery(loop& in, descriptor_budget& budget, counters& counts, logger& log_to, const sockaddr_in& where,
            std::string name, std::uint64_t seed, double grace, told then, loop::task on_failure);
  ~discovery();

  void begin();  // with a watch from the version last had; with the whole list where none was
  // The version of a list that is known already, from before the start.
  void knows(std::uint64_t had) {
    version = had;
    whole_wanted = false;
  }
  // To another agent, which may count versions otherwise: what was told stays until it tells the whole list.
  void move(const sockaddr_in& where, std::string name);
  void keep_asking() { by_itself = true; }

 private:
  void call();
  void ready(std::uint32_t events);
  void take(const http::message& m);
  void fail(const std::string& why);

  loop& runs;
  descriptor_budget& room;
  counters& counted;
  logger& lines;
  sockaddr_in agent;
  std::string host;
  std::knuth_b chance;
  told tell;
  loop::task failed;
  double brief;  // ms, in which an agent that is there has answered what needs no wait
  bool by_itself = false, whole_wanted = true, connected = false, silent = false;
  bool proven = false;  // the last call was answered: the next may wait at the agent
  std::uint64_t version = 0;
  double called = 0;
  std::unique_ptr<stream> wire;
  http::reader reader;
  outgoing out;
  loop::timer patience, connecting, next_call;
};

}  // namespace indigorill
