// RPCs and their picks: the only caller of the balancer. Tells it what happened, carries out what it decides.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "counters.h"
#include "http.h"
#include "indigorill/balance.h"
#include "log.h"
#include "loop.h"
#include "pool.h"
#include "words.h"

namespace indigorill {

// The final answer to an RPC.
struct verdict {
  enum class what { ok, pushed_back, aborted } how;
  http::message answer;  // of the endpoint, if ok or if it finds fault with the RPC
  double after = 0;      // advice of a push-back
};

class relay {
 public:
  // Who asked: the one answer, and what long messages need. Of a long answer the verdict brings the first
  // part; `piece` gets the rest and says whether it wants more at once, else it asks by resume(); `cut`:
  // there will be no rest. `wants`: the next piece of a long request may be given.
  struct asker {
    std::function<void(verdict)> then;
    std::function<bool(std::string_view, bool last)> piece = [](std::string_view, bool) { return true; };
    loop::task cut = [] {};
    loop::task wants = [] {};
  };

  relay(loop& in, pool& to, counters& counts, logger& log_to, const terrain& where, std::uint64_t seed);

  bool holds(std::string_view client_id) const { return open_ids.count(client_id) > 0; }
  double advice() const { return longest_advice; }  // when to return, ms; 0 where clients take none
  bool knows(std::string_view method) const { return methods.count(method) > 0; }

  // Takes an RPC that came at this time; `then` is called once, unless the client leaves before.
  std::string take(http::message call, double came, asker who);
  void left(const std::string& rpc);
  // The process ends: all that is held has its final answer now, a long one that is not whole is cut.
  void end_all();
  void resume(const std::string& rpc);
  // The next piece of a long request, the last one with when it came; true if more may be given at once.
  bool more(const std::string& rpc, std::string_view bytes, bool last, double came);

  void listed(bool whole, bool asked, const std::vector<endpoint>& entries);
  void list_failed();
  // Out by hand, or back: picks of which nothing is written there yet are drawn again.
  void withheld(const std::string& server, bool is, double since);
  // Further picks are spent out of a budget of all sidecars: what is left now, a try to spend one at this
  // very moment, and that one was wanted and there was none.
  struct account {
    std::function<double()> left;
    std::function<bool()> take;
    loop::task wanted;
  };
  void spends(account of) { further = std::move(of); }
  // The balancer may have asked before: with the first list that it is told.
  void when_list_wanted(loop::task what);

  std::size_t held() const { return rpcs.size(); }

 private:
  struct pick {
    pool::ticket at;
    std::string server;
    double sent;
    bool out;
  };
  struct rpc {
    http::message call;
    std::string_view client_id;  // in the call
    double deadline;
    double budget;
    asker who;
    std::vector<pick> picks;
    bool over = false;
    bool spent = false;    // part of a long request is no longer here: it can't be sent again
    bool passing = false;  // a long answer is on its way
    load report;           // that came with it
    bool idle() const;
  };

  void pull();
  void carry_out(const decision& d);
  void note_want(const std::string& id);
  void send(const decision& d);
  void pick_ended(const std::string& id, int number, pool::result r);
  void cancel(const decision& d);
  void give_up(const std::string& id, int number, ending how = ending::cancelled);
  void give_up_all(const std::string& id);
  void withdraw_unsent(const std::string& id);
  bool began(const std::string& id, int number, const http::message& answer);
  void wants(const std::string& id, int number);
  pick* open_pick(const std::string& id);
  void probe(const std::string& server);
  void conclude(const std::string& id, verdict v);
  void forget_if_over(const std::string& id);

  loop& runs;
  pool& endpoints;
  counters& counted;
  logger& lines;
  bool reports;
  double longest_advice;
  std::set<std::string, std::less<>> methods;
  balancer decides;
  loop::task follow;
  std::optional<account> further;
  bool pulling = false, list_wanted = false;
  std::uint64_t serial = 0;
  std::unordered_map<std::string, rpc> rpcs;
  std::set<std::string_view> open_ids;  // of the clients', in the calls of rpcs
  std::map<std::uint64_t, loop::timer> wakes;
};

}  // namespace indigorill
