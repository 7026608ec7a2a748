// The wire between sidecars, as a stand-in: every datagram goes through it and may be lost, late, doubled,
// out of order or cut off, for each pair and each way by itself.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/datagram_socket.h"
#include "emulator/random_stream.h"
#include "load/clockwork.h"
#include "load/listener.h"

namespace indigorill::loading {

class DatagramProxy {
 public:
  struct NetworkConditions {
    double loss = 0, duplicated = 0;     // shares of all datagrams
    double delay_ms = 0, jitter_ms = 0;  // ms; jitter: up to so much more, so that they overtake each other
    double late = 0, late_by_ms = 0;     // a share that comes so many ms later still
  };
  struct Counters {
    std::uint64_t received = 0, forwarded = 0, lost = 0, partitioned = 0, duplicated = 0, unknown_sender = 0,
                  bytes = 0;
  };

  // sidecars: where they listen for datagrams.
  DatagramProxy(EventLoop& in, std::vector<sockaddr_in> sidecars, NetworkConditions how, std::uint64_t seed);

  std::string address_for_peers(std::size_t sidecar) const {
    return format_address(sockets_[sidecar]->local_address());
  }  // for others
  void set_partitioned(std::size_t from, std::size_t to, bool is);
  void set_conditions(NetworkConditions how) { conditions_ = how; }
  // As if a sidecar, or somebody else, had sent it.
  void inject(std::size_t to, std::string_view bytes) { deliver(to, std::string(bytes), 0); }
  // Whether two datagrams of a sidecar's last ones are kept, to be sent again much later.
  const std::vector<std::string>& recent_datagrams_to(std::size_t sidecar) const {
    return recent_datagrams_[sidecar];
  }
  const Counters& counters() const { return counters_; }

 private:
  void forward(std::size_t to, std::string_view bytes, const sockaddr_in& from);
  void deliver(std::size_t to, std::string bytes, double wait);

  EventLoop& loop_;
  std::vector<sockaddr_in> sidecar_addresses_;
  NetworkConditions conditions_;
  emulator::RandomStream random_;
  std::vector<std::unique_ptr<DatagramSocket>> sockets_;
  std::set<std::pair<std::size_t, std::size_t>> partitioned_;
  std::vector<std::vector<std::string>> recent_datagrams_;
  std::map<std::uint64_t, EventLoop::Timer> delayed_;
  std::uint64_t last_delayed_id_ = 0;
  Counters counters_;
};

}  // namespace indigorill::loading
