// Sidecars as real processes that talk over the stand-in wire: started, stopped, killed and asked by their
// number.
#pragma once

#include <nlohmann/json.hpp>

#include "process.h"
#include "wire.h"

namespace indigorill::loading {

// How they talk; absent: they don't, and no options file is written.
struct talking {
  std::string fleet = "crew";
  double period = 1000, timeout = 300;  // ms
  int seeds = 2;                        // the first so many are told to all
  wire::manners manners = {};
  int voters = 0;  // the first so many
  double lease = 10000;
  double share = 2000, seat = 60000;    // ms
  double further_picks = 0, floor = 0;  // a second, over all; 0: no budget
  int most = 100;
};

void write_file(const std::filesystem::path& where, const std::string& text);

class crew {
 public:
  // config: of one sidecar, given where it listens.
  crew(loop& in, std::string command, std::vector<sockaddr_in> places,
       const std::function<nlohmann::json(std::size_t)>& config, const std::optional<talking>& how,
       std::uint64_t seed);

  std::size_t size() const { return places.size(); }
  const sockaddr_in& place(std::size_t i) const { return places[i]; }
  process& at(std::size_t i) { return *sidecars[i]; }
  void start(std::size_t i) { sidecars[i]->start(); }
  bool await(std::size_t i, double within);  // until it serves
  // What it says on its second address, as JSON; null where it says nothing within a second.
  nlohmann::json asked(std::size_t i, const std::string& path);
  // Goes on until this holds, so many ms at most; asks every 50 ms.
  bool until(const std::function<bool()>& holds, double within);
  void pass(double ms);
  wire& between() { return *talk; }
  // How sidecar i sees another: "alive", "suspect", "dead", "left"; "" if it doesn't know it.
  std::string sees(std::size_t i, std::size_t other);

 private:
  loop& runs;
  folder files;
  std::vector<sockaddr_in> places, staff;
  std::vector<std::unique_ptr<process>> sidecars;
  std::unique_ptr<wire> talk;
};

}  // namespace indigorill::loading
