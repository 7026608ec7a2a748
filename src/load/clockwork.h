// The emulator's agenda on the wall clock: its servers and troubles, played by stand-ins on sockets.
#pragma once

#include <cmath>
#include <utility>

#include "../lab/agenda.h"
#include "../net/loop.h"

namespace indigorill::loading {

class clockwork {
 public:
  explicit clockwork(loop& in) : runs(in) {}

  // ago: the start lies in the past, as for a process that was held up at once.
  void start(double ago = 0) {
    zero = runs.now() - ago;
    started = true;
    catch_up();
  }
  double now() const { return runs.now() - zero; }  // ms since the start
  double unix_of(double when) const { return zero + when; }

  // All that is due by now; called before anything is put down for now.
  void catch_up() {
    if (!started || std::exchange(busy, true)) return;
    while (due.step(now())) {
    }
    busy = false;
    arm();
  }
  lab::agenda& plan() { return due; }
  void at(double when, lab::rank of, lab::agenda::task what) {
    due.at(when, of, std::move(what));
    if (started && !busy) arm();
  }

 private:
  void arm() {
    if (due.empty()) return;
    next = runs.at(zero + due.next_at(), [this] { catch_up(); });
  }

  loop& runs;
  lab::agenda due;
  double zero = 0;
  bool started = false, busy = false;
  loop::timer next;
};

}  // namespace indigorill::loading
