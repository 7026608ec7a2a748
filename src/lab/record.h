// What happened, as the emulator tells it to whoever listens: the auditor and the log. The entries name what
// was done, not why; whoever listens needs neither the model nor the module.
#pragma once

#include <cstdint>

#include "indigorill/balance.h"

namespace indigorill::lab {

enum class answer : std::uint8_t { ok, pushed_back, aborted };

struct entry {
  enum class what : std::uint8_t {
    server_is,     // a server, what it can do and where it stands; started > 0: cold from then on
    told,          // a sidecar learned a server's standing (and start)
    rpc_taken,     // by a sidecar, with its deadline and how it may be repeated
    pick_decided,  // the sidecar chose a server
    pick_written,  // its bytes left the sidecar
    pick_came,     // they came to the server, work and handshake together
    pick_began,    // the server began to work on it: from here on it has run
    pick_over,     // the sidecar holds it to have ended like this
    probe_written,
    answered,     // the sidecar's final answer
    client_left,  // the client waits no longer
    sidecar_died,
    end  // of the run
  } is;
  double at = 0;
  std::uint32_t sidecar = 0, server = 0;
  std::uint64_t rpc = 0;
  int pick = 0;
  // Each of these belongs to the entries that need it.
  repeatable repeats = repeatable::idempotent;
  group drops = group::everywhere;
  double remembers = 0, deadline = 0;
  ending how = ending::ok;
  answer final = answer::ok;
  standing state = standing::ready;
  double started = 0, work = 0, capacity = 0, cold_from = 1, cold_for = 0;
  int zone = 0, cell = 0;
};

class witness {
 public:
  virtual ~witness() = default;
  virtual void saw(const entry& e) = 0;
};

}  // namespace indigorill::lab
