// The right to divide: one holder at a time, by majority of a few named voters, none of which has a disk. A
// lease in the manner of PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases",
// 2012). No I/O; clock and chance are given.
//
// What its safety rests on: majorities meet; rates of clocks stay within `drift` of true time; what is asked
// of `holds` is asked with the present time. Not on clocks that agree, on messages that come in time or once,
// on a timer that fires, on a view of the members.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigorill {

// A later one leads. session: of one process, never used twice.
struct ballot {
  std::uint64_t round = 0, session = 0;
  auto operator<=>(const ballot&) const = default;
};

struct lease_word {
  enum class kind : std::uint8_t {
    prepare,
    promise,
    propose,
    accepted,
    refused,
    released
  } what = kind::prepare;
  ballot number;
  std::string holder;         // promise, refused: whose lease the voter knows of, if it has not ended
  std::uint64_t session = 0;  // of that holder
  double remaining = 0;       // ms, of that lease
  double quiet = 0;           // ms, until all that was given under any lease known to the voter has ended
  bool operator==(const lease_word&) const = default;
};

class lease {
 public:
  struct traits {
    std::string name;
    std::vector<std::string> voters;  // an odd number of names
    double length = 10000;            // ms, of a lease by its holder's clock
    double drift = 0.01;              // by how much any clock's rate may be off
  };
  struct letter {
    std::string to;  // a voter's name
    lease_word what;
  };
  // Which guards stand; all of them, but in a test that shows what each one is for.
  struct guards {
    bool abstains = true;      // a voter that comes back knows nothing of what it promised
    bool counts_early = true;  // the holder counts from its first question, not from the last answer
    bool respects = true;      // who hears of another's lease doesn't propose
    bool keeps_word = true;    // a voter that promised a later ballot refuses an earlier one
    bool allows_drift = true;  // voters wait for as long as the slowest holder's clock takes
    bool is_itself = true;     // a process is not the holder that it was before its restart
    bool looks_at_clock = true;
  };

  lease(traits with, std::uint64_t session, std::uint64_t seed, double now, guards stand);
  lease(traits with, std::uint64_t session, std::uint64_t seed, double now)
      : lease(std::move(with), session, seed, now, guards{}) {}

  void heard(double now, const std::string& from, const lease_word& w);
  void due(double now);
  void begin(double now);  // asks for it at once; due() does so in its time
  double next_due() const;
  std::optional<letter> next();

  // Holds it at this very time; and for how long what is given now may last.
  bool holds(double now) const { return !leaving && held && (!stand.looks_at_clock || now < ends); }
  double ends_at() const { return ends; }
  const ballot& number() const { return held_by; }
  // From when on nothing that was given under an earlier lease can still be in use.
  double quiet_from() const { return quiet_until; }
  // Gives it up for good: nothing may be given after it.
  void leave(double now);

  bool votes() const { return is_voter; }
  bool abstains(double now) const { return now < mute_until; }
  // Whom this voter knows to hold it, "" if none: a hint.
  std::string known_holder(double now) const;
  std::uint64_t session() const { return self; }
  // Whether an answer of this kind to this ballot can still count.
  bool awaits(const ballot& of, lease_word::kind answer) const {
    return of == asking && at == (answer == lease_word::kind::promise ? phase::preparing : phase::proposing);
  }
  // All that decides what it does from now on, but chance: two with the same text act alike.
  std::string state(double now) const;
  // How long a time of `ms` by any clock can take by another one.
  double stretched(double ms) const { return stand.allows_drift ? ms * (1 + is.drift) / (1 - is.drift) : ms; }

 private:
  struct record {
    ballot number;
    std::string holder;
    std::uint64_t session = 0;
    double until = 0;
    bool released = false;
  };

  std::optional<lease_word> vote(double now, const lease_word& w);
  void hear_answer(double now, const std::string& from, const lease_word& w);
  void ask_all(double now, lease_word w);
  void try_later(double now, double least);
  bool known(const record& r, double now) const { return !r.released && now < r.until; }
  std::size_t majority() const { return is.voters.size() / 2 + 1; }

  traits is;
  guards stand;
  std::uint64_t self;
  std::knuth_b chance;
  bool is_voter, leaving = false;

  // As a voter.
  double mute_until, voter_quiet = 0;
  ballot promised;
  std::optional<record> accepted;

  // As one that wants it.
  enum class phase { idle, preparing, proposing } at = phase::idle;
  ballot asking;
  std::uint64_t highest = 0;
  double counted_from = 0, try_at;
  std::set<std::string> yes;
  double heard_quiet = 0;
  bool held = false;
  double ends = 0, quiet_until = 0;
  ballot held_by;
  std::vector<letter> out;
};

}  // namespace indigorill
