/// \file
/// A proxy through which all datagrams between sidecars pass. It can lose, delay, duplicate and reorder them,
/// and cut off each direction of each pair of sidecars separately.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/datagram_socket.h"
#include "emulator/random_stream.h"
#include "event/event_loop.h"

namespace indigorill::load_generator {

class DatagramProxy {
 public:
  /// `loss`, `duplicated` and `late` are probabilities for each datagram.
  struct NetworkConditions {
    double loss = 0;
    double duplicated = 0;
    double delay_ms = 0;
    double jitter_ms = 0;  ///< maximum of a random additional delay, which lets datagrams overtake each other
    double late = 0;
    double late_by_ms = 0;  ///< further delay of a late datagram
  };
  struct Counters {
    std::uint64_t received = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t lost = 0;
    std::uint64_t partitioned = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t unknown_sender = 0;
    std::uint64_t bytes = 0;
  };

  /// `sidecars`: their addresses for datagrams. The event loop must outlive the proxy.
  DatagramProxy(EventLoop& loop, std::vector<sockaddr_in> sidecars, const NetworkConditions& conditions,
                std::uint64_t seed);

  /// Address at which other sidecars reach this one.
  std::string address_for_peers(std::size_t sidecar) const;
  void set_partitioned(std::size_t from, std::size_t to, bool is_partitioned);
  void set_conditions(const NetworkConditions& conditions) { conditions_ = conditions; }
  /// Delivers a datagram as if a sidecar or another host had sent it, without loss, delay or partition.
  void inject(std::size_t recipient, std::string_view bytes) { deliver(recipient, std::string(bytes), 0); }
  /// The last datagrams forwarded to a sidecar, kept so that they can be replayed much later.
  const std::vector<std::string>& recent_datagrams_to(std::size_t sidecar) const {
    return recent_datagrams_[sidecar];
  }
  const Counters& counters() const { return counters_; }

 private:
  struct Direction {
    std::size_t from;
    std::size_t to;
    bool operator<(const Direction& other) const {
      return std::pair(from, to) < std::pair(other.from, other.to);
    }
  };

  void forward(std::size_t recipient, std::string_view bytes, const sockaddr_in& sender);
  void keep_recent(std::size_t recipient, std::string_view bytes);
  double draw_delay();
  void deliver(std::size_t recipient, std::string bytes, double delay_ms);

  EventLoop& loop_;
  std::vector<sockaddr_in> sidecar_addresses_;
  NetworkConditions conditions_;
  emulator::RandomStream random_;
  std::vector<std::unique_ptr<DatagramSocket>> sockets_;
  std::set<Direction> partitioned_;
  std::vector<std::vector<std::string>> recent_datagrams_;
  std::map<std::uint64_t, EventLoop::Timer> delayed_;
  std::uint64_t last_delayed_id_ = 0;
  Counters counters_;
};

}  // namespace indigorill::load_generator
