// Who of the fleet is there, as one sidecar sees it: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with Lifeguard's
// refinements (Dadgar, Phillips, Currey, 2017). No I/O; clock and chance are given. A view is a hint: nothing
// that must not happen may rest on it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigorill {

// What is said of one member. Of two, the one with the later incarnation holds, then the later state.
struct member {
  enum class state : std::uint8_t { alive, suspect, dead, left } is = state::alive;
  std::string name, address;
  std::uint64_t incarnation = 0;
  bool operator==(const member&) const = default;
};
bool overrides(const member& a, const member& b);

// One message between two members; news travels on all of them.
struct gossip {
  // relay: ping another one for me; nack: it has not answered so far; ask, page: part of the whole view
  enum class kind : std::uint8_t { ping, ack, relay, nack, ask, page } what = kind::ping;
  std::uint64_t number = 0;       // the asker's own, given back in the answer
  std::string target, target_at;  // relay: whom; ask, page: the name after which it goes on, "" at the ends
  std::vector<member> news;
  bool operator==(const gossip&) const = default;
};

class members {
 public:
  struct traits {
    std::string name, address;       // where others reach this one
    std::vector<std::string> seeds;  // addresses; through any of them it joins
    double period = 1000;            // ms, of one probe
    double timeout = 300;            // ms, for a direct answer
  };
  struct letter {
    std::string to;  // address
    gossip what;
  };
  struct count {
    std::uint64_t probes = 0, indirect = 0, unanswered = 0, refuted = 0, slept = 0, displaced = 0;
  };

  // incarnation: the start's time in ms; one that is behind what others remember is raised when they say so.
  members(traits with, std::uint64_t incarnation, std::uint64_t seed, double now);

  // by, from: the sender's name, and the address to which answers go.
  void heard(double now, const std::string& by, const std::string& from, const gossip& g);
  void due(double now);          // to be called at next_due()
  void leave();                  // says so to a few; nothing is answered after it
  std::optional<letter> next();  // what is to be sent
  double next_due() const;

  std::uint64_t incarnation() const { return self.incarnation; }
  bool displaced() const { return out_of_name; }  // another process has this name and is the later one
  const std::map<std::string, member>& view() const { return known; }  // of the others
  std::array<std::size_t, 4> by_state() const;                         // of the others, in the states' order
  std::string address_of(const std::string& name) const;               // "" if unknown
  int doubt() const { return health; }  // 0: answers come as they should; up to 8: this process is slow
  const count& counted() const { return counts; }

 private:
  struct probe {
    std::string target;
    std::uint64_t number = 0;
    double direct_until = 0, until = 0;
    bool answered = true, asked_others = false;
    std::size_t relays = 0, nacks = 0;
  };
  struct suspicion {
    double since = 0;
    std::set<std::string> from;  // who said so of itself; the more, the shorter
  };
  struct errand {  // a ping on behalf of another
    std::string for_address;
    std::uint64_t number = 0;
    double nack_at = 0, until = 0;
    bool nacked = false;
  };

  bool learn(double now, const member& m, const std::string& by, bool tell);
  void learn_of_self(const member& m);
  void say(const member& m) { unsaid[m.name] = 0; }
  void send(const std::string& to, gossip g, const std::string& about = {});
  void begin_probe(double now);
  void end_probe(double now);
  void ask_others();
  void judge_suspects(double now);
  void catch_up(double now);
  void ask_for_page();
  double suspected_until(const suspicion& s) const;
  std::size_t there() const;  // alive or suspect, this one included
  std::string any_alive(const std::string& but = {});
  double stretch() const { return 1 + health; }

  traits is;
  member self;
  std::knuth_b chance;
  bool out_of_name = false, gone = false, joined = false;
  int health = 0;
  std::map<std::string, member> known;
  std::map<std::string, double> ended;  // when the dead and those that left were first seen so
  std::map<std::string, suspicion> suspects;
  std::map<std::string, int> unsaid;  // news, and how often it was sent
  std::vector<std::string> ring;      // whom to probe next, from the end
  std::size_t living = 0;             // of known: alive or suspect
  probe now_probed;
  std::map<std::uint64_t, errand> errands;
  std::uint64_t numbers = 0, turn = 0;
  std::string cursor;  // of the page asked for
  double next_turn, next_join;
  std::vector<letter> out;
  count counts;
};

}  // namespace indigorill
