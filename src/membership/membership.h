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
struct Member {
  enum class State : std::uint8_t { alive, suspect, dead, left } state = State::alive;
  std::string name, address;
  std::uint64_t incarnation = 0;
  bool operator==(const Member&) const = default;
};
bool supersedes(const Member& a, const Member& b);

// One message between two members; news travels on all of them.
struct SwimMessage {
  // relay: ping another one for me; nack: it has not answered so far; ask, page: part of the whole view
  enum class Kind : std::uint8_t { ping, ack, ping_request, nack, view_request, view_page } kind = Kind::ping;
  std::uint64_t sequence_number = 0;  // the asker's own, given back in the answer
  std::string target,
      target_address;  // relay: whom; ask, page: the name after which it goes on, "" at the ends
  std::vector<Member> updates;
  bool operator==(const SwimMessage&) const = default;
};

class Membership {
 public:
  struct Config {
    std::string name, address;                // where others reach this one
    std::vector<std::string> seed_addresses;  // addresses; through any of them it joins
    double probe_interval_ms = 1000;          // ms, of one probe
    double probe_timeout_ms = 300;            // ms, for a direct answer
  };
  struct OutgoingMessage {
    std::string recipient;  // address
    SwimMessage message;
  };
  struct Counters {
    std::uint64_t probes_sent = 0, indirect_probes = 0, failed_probes = 0, refutations = 0, pauses = 0,
                  displacements = 0;
  };

  // incarnation: the start's time in ms; one that is behind what others remember is raised when they say so.
  Membership(Config with, std::uint64_t incarnation, std::uint64_t seed, double now);

  // by, from: the sender's name, and the address to which answers go.
  void on_message(double now, const std::string& by, const std::string& from, const SwimMessage& g);
  void on_timer(double now);                      // to be called at next_due()
  void leave();                                   // says so to a few; nothing is answered after it
  std::optional<OutgoingMessage> next_message();  // what is to be sent
  double next_timer_at() const;

  std::uint64_t incarnation() const { return self_.incarnation; }
  bool is_displaced() const { return displaced_; }  // another process has this name and is the later one
  const std::map<std::string, Member>& view() const { return members_; }  // of the others
  std::array<std::size_t, 4> count_by_state() const;      // of the others, in the states' order
  std::string address_of(const std::string& name) const;  // "" if unknown
  int local_health() const {
    return local_health_;
  }  // 0: answers come as they should; up to 8: this process is slow
  const Counters& counters() const { return counters_; }

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence_number = 0;
    double direct_deadline = 0, deadline = 0;
    bool answered = true, indirect_started = false;
    std::size_t indirect_requests = 0, nacks_received = 0;
  };
  struct Suspicion {
    double started_at = 0;
    std::set<std::string> accusers;  // who said so of itself; the more, the shorter
  };
  struct IndirectProbe {  // a ping on behalf of another
    std::string requester_address;
    std::uint64_t requester_sequence_number = 0;
    double nack_at = 0, expires_at = 0;
    bool nack_sent = false;
  };

  bool apply_update(double now, const Member& m, const std::string& by, bool tell);
  void apply_update_about_self(const Member& m);
  void enqueue_update(const Member& m) { pending_updates_[m.name] = 0; }
  void send(const std::string& to, SwimMessage g, const std::string& about = {});
  void start_probe(double now);
  void finish_probe(double now);
  void start_indirect_probe();
  void expire_suspicions(double now);
  void compensate_for_pause(double now);
  void request_view_page();
  double suspicion_deadline(const Suspicion& s) const;
  std::size_t live_count() const;  // alive or suspect, this one included
  std::string random_alive_member(const std::string& but = {});
  double health_multiplier() const { return 1 + local_health_; }

  Config config_;
  Member self_;
  std::knuth_b random_;
  bool displaced_ = false, has_left_ = false, joined_ = false;
  int local_health_ = 0;
  std::map<std::string, Member> members_;
  std::map<std::string, double> ended_at_;  // when the dead and those that left were first seen so
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, int> pending_updates_;  // news, and how often it was sent
  std::vector<std::string> probe_order_;        // whom to probe next, from the end
  std::size_t live_peer_count_ = 0;             // of known: alive or suspect
  Probe current_probe_;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;
  std::uint64_t last_sequence_number_ = 0, probe_round_ = 0;
  std::string view_cursor_;  // of the page asked for
  double next_probe_at_, next_join_at_;
  std::vector<OutgoingMessage> outbox_;
  Counters counters_;
};

}  // namespace indigorill
