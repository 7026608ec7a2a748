// A budget of the whole fleet, divided among its sidecars so that all they may spend never adds up to more.
// No I/O; clocks are given. After escrow (O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986):
// what is given is taken off the whole until its end is certain, and leases (Gray, Cheriton, SOSP 1989) make
// that end certain.
//
// What its safety rests on: a share lasts from its asking, by its holder's clock; the divider counts it from
// its giving, stretched by the bound on clocks' rates; nothing is given that could outlive the divider's own
// right. Not on messages, their order or number, on clocks that agree, nor on who is thought to be there.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "demand.h"

namespace indigorill {

struct budget_of_all {
  std::string name;
  double whole = 0;   // units, of all together
  double floor = 0;   // of these, to each that was admitted, also with no divider
  double window = 0;  // ms: so many units are spent in any such span; 0: held at once
};

struct shares_traits {
  std::vector<budget_of_all> budgets;
  int most = 100;       // sidecars that may have any of it
  double share = 2000;  // ms, for which a share lasts
  double seat = 60000;  // ms, for which the floor lasts without a divider
  double drift = 0.01;  // by how much any clock's rate may be off
  double stretched(double ms) const { return ms * (1 + drift) / (1 - drift); }
  // What is divided: the floors of all that may be there are set aside.
  double divided(const budget_of_all& b) const { return b.whole - b.floor * most; }
};

struct share_ask {
  std::uint64_t session = 0, number = 0;  // of the asker's process, and of this question
  std::uint64_t goes_by = 0;              // the question whose answer it goes by; earlier ones are void
  double seat_left = 0;                   // ms
  std::vector<double> wants;              // by budget
  bool operator==(const share_ask&) const = default;
};

struct share_grant {
  enum class kind : std::uint8_t { given, not_yet, full, not_mine } what = kind::given;
  std::uint64_t session = 0, number = 0;  // of the question
  double lasts = 0, seat = 0;             // ms, from the question; seat 0: no floor yet
  std::vector<double> amounts, floors;    // by budget
  std::string holder;                     // not_mine: whom to ask, "" if unknown
  bool operator==(const share_grant&) const = default;
};

// Which guards stand; all, but in a test that shows what each is for.
struct share_guards {
  bool from_asking = true;   // a share lasts from its question, not from the answer
  bool waits_quiet = true;   // a new divider waits for the end of what earlier ones gave
  bool counts_given = true;  // what was given counts until its end is certain
  bool within_right = true;  // nothing is given past the divider's own right
  bool allows_drift = true;
};

// With the right to divide: who has what.
class divider {
 public:
  explicit divider(shares_traits with, share_guards g = {});

  // The right begins: nothing that was given before it is in use after quiet_from.
  void begin(double now, double quiet_from);
  void whole_is(std::size_t budget, double now_whole) { is.budgets[budget].whole = now_whole; }
  // right_ends: until when this process certainly has the right.
  share_grant answer(double now, double right_ends, const share_ask& a);
  double given(double now, std::size_t budget) const;  // in use at most
  std::size_t sharers(double now) const;
  std::string state(double now) const;  // two with the same text act alike from now on
  // What the answers so far cost, in entries looked at: must not grow with the sharers beyond a logarithm.
  std::uint64_t steps() const;
  std::size_t stored() const;  // grants, of all sharers

 private:
  struct grant {
    std::uint64_t number = 0;
    std::vector<double> amounts;
    double until = 0;  // by this clock, certainly over
  };
  struct sharer {
    std::uint64_t last = 0;  // question
    double heard = 0, seat_until = 0;
    std::vector<double> wants, in_use;  // by budget; in_use: at most, as it was when last looked at
    std::vector<grant> grants;
    double look_at = 0;  // when something of it ends next
  };
  double longest_window() const;
  double of_one(const sharer& s, double now, std::size_t budget) const;
  bool counts(const sharer& s, double now) const;
  double stretch(double ms) const { return stand.allows_drift ? is.stretched(ms) : ms; }
  sharer& admit(std::uint64_t session);
  void wish(std::uint64_t session, sharer& s, const std::vector<double>& wants);
  void give(sharer& s, grant g);
  void settle(std::uint64_t session, sharer& s, double now);
  void forget(double now);

  shares_traits is;
  share_guards stand;
  double from = 0, strangers_from = 0;
  std::map<std::uint64_t, sharer> all;  // by session
  // Kept up with every change, so that an answer doesn't go over all sharers: at some thousands that was more
  // than a core can do.
  std::vector<demand> demands;                       // by budget
  std::vector<double> in_use;                        // by budget, of all sharers
  std::set<std::pair<double, std::uint64_t>> looks;  // by look_at
  std::uint64_t looked = 0;
};

// What one sidecar may spend.
class purse {
 public:
  struct count {
    std::uint64_t granted = 0, denied = 0;
  };

  purse(shares_traits with, std::uint64_t session, share_guards g = {});

  share_ask ask(double now);
  void heard(double now, const share_grant& g);
  double allowed(double now, std::size_t budget) const;               // share and floor
  double left(double now, std::size_t budget);                        // to be spent now
  bool take(double now, std::size_t budget);                          // spent or held, or counted as denied
  void wanted(double now, std::size_t budget) { note(now, budget); }  // in vain, without a try
  void give_back(std::size_t budget);                                 // of what is held at once

  bool shared(double now) const { return now < until; }
  bool seated(double now) const { return now < seat_until; }
  bool full() const { return refused; }  // more sidecars than allowed: this one has nothing
  std::uint64_t session() const { return self; }
  std::string state(double now) const;  // two with the same text act alike from now on
  const count& counted(std::size_t budget) const { return counts[budget]; }

 private:
  void note(double now, std::size_t budget);
  void pass(double now, std::size_t budget);
  double window(std::size_t budget) const { return is.stretched(is.budgets[budget].window); }

  shares_traits is;
  share_guards stand;
  std::uint64_t self, questions = 0, goes_by = 0, void_before = 0;
  std::map<std::uint64_t, double> asked;  // when
  std::vector<double> amounts, floors;
  double until = 0, seat_until = 0;
  bool refused = false;
  std::vector<std::deque<double>> spent, wants;  // when; held: spent alone
  std::vector<double> most_wanted;
  std::vector<count> counts;
};

}  // namespace indigorill
