// A datagram between sidecars: who sends it, and what it says, as MessagePack (nlohmann::json). Bytes to
// facts and back; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "../lease/lease.h"
#include "../shares/shares.h"
#include "members.h"

namespace indigorill {

struct envelope {
  std::string fleet, name, address;  // of the sender; the address is where it is to be answered
  std::uint64_t incarnation = 0, serial = 0;
  enum class kind : std::uint8_t { gossip, news, lease, ask, grant } what = kind::gossip;
  gossip talk = {};
  lease_word vote = {};
  share_ask asks = {};
  share_grant grants = {};
  std::string told = {};  // the balancer's news, as src/peers writes it
};

// Why a datagram is dropped. former, doubled, late: told by the sender's incarnation and serial.
enum class misfit : std::uint8_t { torn, too_long, other_form, foreign, former, doubled, late };
constexpr std::size_t misfits = 7;
std::string_view name_of(misfit m);

// No path between two sidecars has to cut such a datagram up (IPv4 over Ethernet, tunnels included, takes
// 1,400).
constexpr std::size_t longest_datagram = 1300;

// Names go into log lines and pages of staff, and many into one datagram: 64 letters, digits and -_.:/ at
// most.
bool plain_name(std::string_view name);

std::string encode(const envelope& e);
// fleet: ours; what is of another one is foreign.
std::variant<envelope, misfit> decode_envelope(std::string_view bytes, std::string_view fleet);

// Which datagrams of a sender came already: a window over its serials, as in RFC 4303, 3.4.3. What is
// doubled, or from before its last restart, or so late that it can't be told from doubled, is not heard
// again.
class seen_serials {
 public:
  // None where it is to be heard.
  std::optional<misfit> saw(const envelope& e, double now);

 private:
  struct sender {
    std::uint64_t incarnation = 0, last = 0, window = 0;
    double heard = 0;
  };
  std::map<std::string, sender, std::less<>> senders;
};

}  // namespace indigorill
