// The applications: open-loop load on running sidecars. An RPC's time counts from when it was meant to be
// sent, so that a sidecar which holds clients up can't make its own figures look better.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../lab/figures.h"
#include "../lab/scenario.h"
#include "../net/http.h"
#include "../net/socket.h"
#include "clockwork.h"

namespace indigorill::loading {

struct told {  // what clients were told
  std::uint64_t tasks = 0, sent = 0, ok = 0, late = 0, pushed_back = 0, aborted = 0, unanswered = 0, lost = 0;
  std::uint64_t left_out = 0;  // more than were allowed, or no descriptor was to be had
  double offered = 0, gained = 0;
  lab::times answered;                      // from the intended sending
  lab::times behind;                        // from the intended to the true sending
  std::set<std::string> must_not_have_run;  // non-idempotent ones that were pushed back
  std::uint64_t open() const { return tasks - ok - late - pushed_back - aborted - unanswered - lost; }
  double utility() const { return offered > 0 ? gained / offered : 0; }
};

class clients {
 public:
  clients(loop& in, descriptor_budget& budget, clockwork& clock, const lab::scenario& plays,
          std::uint64_t seed, std::uint64_t most, std::vector<sockaddr_in> sidecars);
  ~clients();

  void begin();
  void died(std::size_t sidecar);  // its application stops with it
  void back(std::size_t sidecar);
  void surge(double factor) { times *= factor; }
  const told& heard() const { return got; }
  std::size_t open() const { return tasks.size(); }
  bool once(const std::string& id) const { return unsafe.count(id) > 0; }  // non-idempotent

 private:
  struct connection;
  struct task {
    std::size_t sidecar, method;
    double meant, work, wait;
    int tries_left;
  };
  enum class fate { ok, late, pushed_back, aborted, unanswered, lost };

  void next_arrival(std::size_t s);
  void arrive(std::size_t s, double meant);
  void ask(std::uint64_t of, double meant);
  void write(connection& c);
  void ready(std::uint64_t which);
  void answered(connection& c, const http::message& m);
  void broke(connection& c);
  void conclude(std::uint64_t of, fate f);
  void retry_or(std::uint64_t of, fate f, double advice);
  void release(connection& c);

  loop& runs;
  descriptor_budget& room;
  clockwork& clock;
  const lab::scenario plays;
  std::uint64_t seed, most;
  lab::stream wishes;
  struct sidecar {
    sockaddr_in where;
    double weight;
    lab::stream arrives;
    bool up = true;
    std::vector<std::uint64_t> idle;
  };
  std::vector<sidecar> sidecars;
  lab::pace comes;
  double times = 1;
  std::uint64_t names = 0, next_task = 0, next_rpc = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections;
  std::unordered_map<std::uint64_t, task> tasks;
  std::set<std::string> unsafe;
  told got;
};

}  // namespace indigorill::loading
