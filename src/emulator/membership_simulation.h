/// \file
/// Runs members of the sidecar's membership protocol on an emulated network with loss, delay and jitter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/membership_experiment.h"
#include "emulator/random_stream.h"
#include "membership/membership.h"

namespace indigorill::emulator {

/// Members are identified by index. There is one more member than the experiment's number of sidecars, so
/// that it can join later.
class MembershipSimulation {
 public:
  struct Traffic {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
  };

  explicit MembershipSimulation(const MembershipExperiment& experiment);

  void start(std::size_t index);
  void leave(std::size_t index);
  void crash(std::size_t index) { nodes_[index].running = false; }

  void run_for(double duration_ms);
  /// Runs until each running member sees all other subjects in this state, or until the timeout.
  ConvergenceTime wait_until_known(const std::vector<std::size_t>& subjects, Member::State state);

  /// The number of pairs of running members in which the first considers the second dead.
  std::uint64_t count_false_deaths() const;
  void reset_traffic();
  const Traffic& traffic(std::size_t index) const { return nodes_[index].traffic; }
  std::size_t longest_datagram_bytes() const { return longest_datagram_bytes_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool running = false;
    double next_timer_ms = 0;
    Traffic traffic;
  };

  struct Knowledge {
    std::size_t known = 0;     // pairs in which the observer sees the subject in the expected state
    std::size_t expected = 0;  // all pairs of a running observer and a subject
  };

  static bool sees(const Node& observer, std::size_t subject, Member::State state);
  Knowledge count_knowledge(const std::vector<std::size_t>& subjects, Member::State state) const;
  void send(std::size_t sender, Membership::OutgoingMessage outgoing);
  void process_member(std::size_t index);

  MembershipExperiment experiment_;
  EventQueue events_;
  RandomStream random_;
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> index_by_address_;
  std::uint64_t last_serial_ = 0;
  std::size_t longest_datagram_bytes_ = 0;
};

}  // namespace indigorill::emulator
