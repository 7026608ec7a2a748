// This sidecar among the others: its datagrams, and the membership that they carry. The only place that reads
// the clock for them: one that goes on while the machine sleeps.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>

#include "../members/envelope.h"
#include "datagrams.h"
#include "log.h"

namespace indigorill {

class company {
 public:
  struct traits {
    std::string fleet;                    // datagrams of any other are dropped
    std::string name;                     // the sidecar's own
    sockaddr_in listen{};                 // for datagrams
    std::string advertised;               // where others reach it: address:port
    std::vector<std::string> seeds;       // of those it joins through
    double period = 1000, timeout = 300;  // ms
    // Who grants the right to divide; none: nobody divides.
    std::vector<std::string> voters;
    double lease = 10000;  // ms
    std::optional<shares_traits> budgets;
    double drift = 0.01;  // by how much a clock's rate may be off
  };
  struct count {
    std::uint64_t sent = 0, unsent = 0, heard = 0, bytes_sent = 0;
    std::array<std::uint64_t, misfits> dropped{};
  };

  company(loop& in, logger& log_to, traits with, std::uint64_t seed);

  // What is left to spend of a budget now, and the spending itself, by the clock at that very moment; without
  // that budget there is no bound.
  double left(std::string_view budget);
  bool take(std::string_view budget);
  void wanted(std::string_view budget);  // and not had
  nlohmann::json budgets_as_json();      // for staff

  void leave();                    // says so; nothing is said or heard after it
  nlohmann::json as_json() const;  // for staff
  const count& counted() const { return counts; }

 private:
  void take_place();
  void hear(std::string_view bytes);
  void work();
  void send(const std::string& to, envelope e);
  void vote();
  void ask_for_share();
  share_grant answer(const share_ask& a);
  std::optional<std::size_t> number_of(std::string_view budget) const;
  void note_changes();
  double now() const;  // ms since the machine's start, its sleep included

  loop& runs;
  logger& lines;
  traits is;
  members others;
  std::knuth_b chance;
  std::optional<lease> right;
  std::optional<divider> divides;  // while this one has the right
  std::optional<purse> own;
  double ask_at = 0;
  std::string whom;  // to ask, "": any voter
  int unheard = 0;   // questions since the last answer
  bool may_ask_on = false;
  bool full = false;
  seen_serials seen;
  std::unique_ptr<datagrams> wire;
  loop::timer next;
  std::uint64_t serials = 0;
  bool gone = false;
  std::map<std::string, member::state> noted;
  bool displaced = false;
  std::string holder;
  count counts;
};

}  // namespace indigorill
