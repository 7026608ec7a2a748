// What decides at an emulated sidecar: the real module, or a baseline to compare it with. Baselines are here
// for measuring only; the sidecar never runs one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "indigorill/balance.h"

namespace indigorill::lab {

class brain {
 public:
  virtual ~brain() = default;
  virtual void listed(double now, bool whole, bool asked, const std::vector<endpoint>& entries) = 0;
  virtual void list_failed(double now) = 0;
  virtual void rpc_arrived(double now, const arrival& what) = 0;
  virtual void pick_ended(double now, const std::string& rpc, int pick, ending how, double took,
                          bool concluded, const load& report) = 0;
  virtual void probe_ended(double now, const std::string& server, ending how, const load& report) = 0;
  virtual void client_left(double now, const std::string& rpc) = 0;
  virtual void resting(const std::string& server, std::size_t connections) = 0;
  virtual void barred(const std::string& server, bool is) = 0;
  virtual void woken(double now, std::uint64_t wake) = 0;
  virtual std::optional<decision> next() = 0;
};

enum class policy { module, random, round_robin, two_choices, true_state };

std::optional<policy> policy_named(const std::string& word);
std::string name_of(policy p);

// How long an RPC sent to this server now would truly take there, for the policy that sees the true state.
using oracle = std::function<double(const std::string& server)>;

std::unique_ptr<brain> make_brain(policy p, const terrain& where, std::uint64_t seed, double now,
                                  oracle truth);

}  // namespace indigorill::lab
