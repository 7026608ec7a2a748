// The wire between sidecars, as a stand-in: every datagram goes through it and may be lost, late, doubled,
// out of order or cut off, for each pair and each way by itself.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../lab/chance.h"
#include "../net/datagrams.h"
#include "clockwork.h"
#include "listener.h"

namespace indigorill::loading {

class wire {
 public:
  struct manners {
    double loss = 0, doubled = 0;  // shares of all datagrams
    double delay = 0, jitter = 0;  // ms; jitter: up to so much more, so that they overtake each other
    double late = 0, late_by = 0;  // a share that comes so many ms later still
  };
  struct count {
    std::uint64_t came = 0, passed = 0, lost = 0, cut = 0, doubled = 0, stray = 0, bytes = 0;
  };

  // sidecars: where they listen for datagrams.
  wire(loop& in, std::vector<sockaddr_in> sidecars, manners how, std::uint64_t seed);

  std::string place(std::size_t sidecar) const { return text_of(doors[sidecar]->where()); }  // for others
  void cut(std::size_t from, std::size_t to, bool is);
  void treat(manners how) { now = how; }
  // As if a sidecar, or somebody else, had sent it.
  void inject(std::size_t to, std::string_view bytes) { pass(to, std::string(bytes), 0); }
  // Whether two datagrams of a sidecar's last ones are kept, to be sent again much later.
  const std::vector<std::string>& last_to(std::size_t sidecar) const { return kept[sidecar]; }
  const count& counted() const { return counts; }

 private:
  void carry(std::size_t to, std::string_view bytes, const sockaddr_in& from);
  void pass(std::size_t to, std::string bytes, double wait);

  loop& runs;
  std::vector<sockaddr_in> ends;
  manners now;
  lab::stream chance;
  std::vector<std::unique_ptr<datagrams>> doors;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::vector<std::vector<std::string>> kept;
  std::map<std::uint64_t, loop::timer> on_the_way;
  std::uint64_t serial = 0;
  count counts;
};

}  // namespace indigorill::loading
