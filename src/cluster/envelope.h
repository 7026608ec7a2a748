// A datagram between sidecars: who sends it, and what it says, as MessagePack (nlohmann::json). Bytes to
// facts and back; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "lease/leader_lease.h"
#include "membership/member_name.h"
#include "membership/swim_message.h"
#include "quota/quota.h"

namespace indigorill {

struct Envelope {
  std::string fleet, name, address;  // of the sender; the address is where it is to be answered
  std::uint64_t incarnation = 0, sequence_number = 0;
  enum class Kind : std::uint8_t {
    membership,
    load_gossip,
    lease,
    quota_request,
    quota_grant
  } kind = Kind::membership;
  SwimMessage swim_message = {};
  LeaseMessage lease_message = {};
  QuotaRequest quota_request = {};
  QuotaGrant quota_grant = {};
  std::string load_gossip = {};  // the balancer's news, as src/peers writes it
};

// Why a datagram is dropped. former, doubled, late: told by the sender's incarnation and serial.
enum class DecodeError : std::uint8_t {
  malformed,
  too_long,
  unsupported_version,
  other_fleet,
  stale_incarnation,
  duplicate,
  outside_window
};
constexpr std::size_t decode_error_count = 7;
std::string_view name_of(DecodeError m);

// No path between two sidecars has to cut such a datagram up (IPv4 over Ethernet, tunnels included, takes
// 1,400).
constexpr std::size_t max_datagram_bytes = 1300;

std::string encode(const Envelope& e);
// fleet: ours; what is of another one is foreign.
std::variant<Envelope, DecodeError> decode_envelope(std::string_view bytes, std::string_view fleet);

// Which datagrams of a sender came already: a window over its serials, as in RFC 4303, 3.4.3. What is
// doubled, or from before its last restart, or so late that it can't be told from doubled, is not heard
// again.
class ReplayFilter {
 public:
  // None where it is to be heard.
  std::optional<DecodeError> check(const Envelope& e, double now);

 private:
  struct Sender {
    std::uint64_t incarnation = 0, highest_sequence_number = 0, received_window = 0;
    double last_heard_at = 0;
  };
  std::map<std::string, Sender, std::less<>> senders_;
};

}  // namespace indigorill
