// Checks the four rules on what happened, from the record alone: it knows neither the model nor the module.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "record.h"

namespace indigorill::lab {

struct breach {
  int rule;  // 1 to 4
  double at;
  std::uint64_t rpc;  // 0: concerns none
  std::uint32_t server, sidecar;
  std::string text;
};

// One line, as people read it.
std::string describe(const breach& b);

class auditor : public witness {
 public:
  struct bounds {
    double grace = 500, cold_multiple = 3, cold_span = 1500;
  };

  explicit auditor(bounds b) : within(b) {}

  void saw(const entry& e) override;

  const std::vector<breach>& breaches() const { return found; }  // the first of them
  std::uint64_t count(int rule) const { return counts.at(static_cast<std::size_t>(rule) - 1); }
  std::uint64_t count() const { return counts[0] + counts[1] + counts[2] + counts[3]; }
  double worst_cold() const { return worst; }  // of the stated multiple, over all cold servers and spans

 private:
  struct pick {
    std::uint32_t server;
    double decided;
    bool out = true, may_have_run = true, began = false, served = false;
  };
  struct rpc {
    std::uint32_t sidecar;
    repeatable repeats;
    group drops;
    double remembers, deadline;
    bool over = false, answered = false;
    int runs = 0;
    std::map<int, pick> picks;
  };
  struct server {
    double capacity = 0, started = 0, cold_from = 1, cold_for = 0;
    int zone = 0, cell = 0;
    struct piece {
      double at, work;
    };
    std::deque<piece> sent;  // work of sidecars that were told of this start
    double sent_work = 0;
    bool broken = false;  // said once for each start
  };

  void found_breach(int rule, const entry& e, std::string text);
  rpc* open(const entry& e, const char* doing);
  void taken(const entry& e);
  void decided(const entry& e);
  void written(const entry& e);
  void came(const entry& e);
  void began(const entry& e);
  void pick_over(const entry& e);
  void answered(const entry& e);
  void died(const entry& e);
  void at_end(const entry& e);
  void drop_if_done(std::uint64_t id);
  static const pick* first_that_may_have_run(const rpc& r, int before);

  bounds within;
  std::vector<breach> found;
  std::array<std::uint64_t, 4> counts{};
  std::unordered_map<std::uint64_t, rpc> rpcs;
  std::unordered_set<std::uint64_t> done;
  std::unordered_map<std::uint32_t, server> servers;
  std::map<std::pair<std::uint32_t, std::uint32_t>, double> told_to_stop;  // sidecar, server: when
  std::map<std::pair<std::uint32_t, std::uint32_t>, double> told_of_start;
  double worst = 0;
};

}  // namespace indigorill::lab
