// What a host tells one balancer, and what it asks of it. Times are milliseconds with fractions on one
// clock that only advances. Ids are the host's own; the balancer hands them back unaltered.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

enum class repeatable { idempotent, deduplicated, non_idempotent };
enum class group { everywhere, zone, cell };

struct method {
  std::string name;
  double latency_target = 0;
  double utility = 1;
  double late_utility = 0;  // share of the utility left after the latency target
  repeatable repeats = repeatable::non_idempotent;
  group drops_repeats = group::everywhere;
  double remembers = 0;  // how long the group drops repeats, from the first send that may have run
  double deadline = 0;   // for which a client waits in all, over its own retries; 0: not told
};

// Of a tenant: the RPCs a second, over all sidecars, inside its share.
struct tenant {
  std::string name;
  double allowance = 0;
};

// The ground on which a balancer stands: what it may do and what the rules demand of it.
struct terrain {
  std::vector<method> methods;
  std::string zone;
  double tick = 1;  // the host's shortest time between two rounds
  int most_picks = 1;
  bool cancelling = false, probing = false, probes_report = false;
  bool must_ask = false;  // the list comes only when asked for
  bool warm_keys = false;
  double longest_retry_after = 0;  // 0: clients take no advice
  double cross_zone_price = 0, probe_price = 0, handshake_price = 0;
  double ask_within = 0;  // longest silence towards the list's service
  double sidecars = 1;    // that share it
  double cold_from = 1, cold_for = 0, cold_multiple = 1, cold_span = 0;
  std::vector<tenant> tenants;
  double surplus_utility = 1;  // what a tenant sends beyond its allowance keeps this share of its utility
  bool telling = false;        // sidecars may tell one another what they know
  bool marks_repeats = false;  // clients say which of their RPCs are repeats
  double message_price = 0;    // of 256 bytes to one other sidecar, for each RPC
};

enum class standing { ready, draining, gone };

struct endpoint {
  std::string id, zone;
  int cell = 0;
  double started = 0;  // 0: long ago
  standing state = standing::ready;
  std::string kind = {};  // of machine
};

// What the host learned of a new RPC; absent facts stay empty.
struct arrival {
  std::string_view id, method;
  double deadline = 0;
  std::optional<std::uint64_t> key;
  std::string_view tenant = {};
  bool repeat = false;  // of an earlier RPC of the client's, where clients say so
};

// What one sidecar tells the others: what it alone knows.
struct news {
  static constexpr std::uint32_t serials = 8100, marks = 8100;
  struct stake {
    std::uint32_t server;              // its mark: a hash of its id, below `marks`
    double in_hand = 0, failures = 0;  // RPCs of ours in hand there, and failures since the last message
  };
  std::uint32_t serial = 0;      // counts on, and round
  bool whole = true;             // all that is in hand; else what changed, nothing in hand included
  std::vector<double> arrivals;  // RPCs a second, by tenant in the settings' order
  std::vector<stake> stakes;
};

struct load {
  std::optional<double> held;  // RPCs in hand
};

// withdrawn: taken back by the host before a byte was sent, as its server was withheld meanwhile.
enum class ending { ok, error, full, timed_out, connect_failed, reset, cancelled, moot, withdrawn };

struct decision {
  enum class verb { pick, push_back, abort, cancel, probe, follow_list, wake, tell } what;
  std::string rpc, server;
  int pick = 0;            // which pick of the RPC, counted from 0
  double after = 0;        // time-out of a pick, advice of a push-back, delay of a wake-up
  std::uint64_t wake = 0;  // to be given back to woken()
  news told = {};          // to all other sidecars
  double begin_by = 1e18;  // a pick that isn't sent whole by then is to be withdrawn, however it came late
};

class balancer {
 public:
  balancer(terrain where, std::uint64_t seed, double now);
  ~balancer();

  // Each of these only updates what is known.
  // asked: the list may answer a call of ours; false for the one restored at the start.
  void listed(double now, bool whole, bool asked, const std::vector<endpoint>& entries);
  void list_failed(double now);
  void rpc_arrived(double now, const arrival& what);
  // Or a long RPC's own bytes can't be sent again: no time-out and no further pick from here.
  // eases: what is on its way is bytes, and keeps nobody waiting at the server.
  void answer_began(double now, std::string_view rpc, int pick, bool eases = false);
  void pick_ended(double now, std::string_view rpc, int pick, ending how, double took, bool concluded,
                  const load& report);
  void probe_ended(double now, std::string_view server, ending how, const load& report);
  void client_left(double now, std::string_view rpc);
  void told(double now, int sidecar, const news& what);            // by another one
  void resting(std::string_view server, std::size_t connections);  // open there, with nothing on them
  // A server to which no connection may be opened now, for the sake of all sidecars together.
  void barred(std::string_view server, bool is);
  // A server that staff took out by hand: nothing goes there, whatever the list says. Put back, it is as cold
  // as one that started then.
  void withheld(double now, std::string_view server, bool is, double since);
  // How many further picks of RPCs all sidecars together leave to this one now; no bound until told.
  void may_spend(double further_picks);
  void woken(double now, std::uint64_t wake);

  // The next decision at the time last told, or none.
  std::optional<decision> next();

 private:
  struct state;
  std::unique_ptr<state> self;
};

}  // namespace indigorill
