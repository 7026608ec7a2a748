// A server of the emulator: cores that serve one queue in order, a bound on the queue, a cold start, stalls,
// slow spells, errors, and a fall if it is overdriven while cold. Knows no network and no sidecar.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "agenda.h"
#include "chance.h"

namespace indigorill::lab {

class station {
 public:
  struct traits {
    int cores = 1, queue = 10;
    double speed = 1, cold_from = 1, cold_for = 0, error_share = 0;
    double fall_multiple = 0, fall_span = 0;  // 0: never falls
  };
  enum class outcome { served, error, full, lost };  // lost: the process is gone
  struct events {
    std::function<void(std::uint64_t job)> began;
    std::function<void(std::uint64_t job, outcome how, double held)> ended;  // held: in hand, this one too
    std::function<void()> fell;
  };

  station(agenda& in, traits is, std::uint64_t seed, events tell);
  station(const station&) = delete;
  station& operator=(const station&) = delete;

  void come(std::uint64_t job, double work);  // ms on a standard core
  void withdraw(std::uint64_t job);           // if it still waits
  void start_cold();                          // a new process, from now on
  void die();                                 // all in hand is lost; comes back by start_cold
  void stall(double until);
  void slow(double factor) { slowness = factor; }
  void fail(double error_share) { faulty = error_share; }

  bool up() const { return running; }
  double stalled_until() const { return stalled; }
  double held() const { return static_cast<double>(waiting.size() + busy.size()); }
  double started() const { return since; }  // 0: long ago
  double warmth() const;
  double work_ahead() const;  // ms until a core is free for one that comes now, as it truly is
  double rate() const;        // ms of standard work that one core does in a ms now
  const traits& is() const { return has; }
  double worst_pressure() const { return pressure; }  // while cold: work in a span over what it can do

 private:
  struct job {
    std::uint64_t id;
    double work, ends;
    std::uint64_t turn;
  };

  void begin_next();
  void put_down(const job& j);
  void finish(std::uint64_t id, std::uint64_t turn);
  void weigh(double work);

  agenda& due;
  traits has;
  stream chance;
  events tell;
  bool running = true;
  double since = 0, stalled = 0, slowness = 1, faulty = 0, pressure = 0;
  std::deque<job> waiting;
  std::vector<job> busy;
  std::uint64_t turns = 0;
  std::deque<std::pair<double, double>> sent;  // while cold: when, and how much work
  double sent_work = 0;
};

}  // namespace indigorill::lab
