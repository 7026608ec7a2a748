#include "load/datagram_proxy.h"

#include <algorithm>

#include "load/loopback.h"

namespace indigorill::load_generator {
namespace {

constexpr std::size_t max_recent_datagrams = 64;  // for each sidecar

}  // namespace

DatagramProxy::DatagramProxy(EventLoop& loop, std::vector<sockaddr_in> sidecars,
                             const NetworkConditions& conditions, std::uint64_t seed)
    : loop_(loop),
      sidecar_addresses_(std::move(sidecars)),
      conditions_(conditions),
      random_(seed),
      recent_datagrams_(sidecar_addresses_.size()) {
  for (std::size_t i = 0; i < sidecar_addresses_.size(); ++i) {
    sockets_.push_back(std::make_unique<DatagramSocket>(
        loop_, loopback_at(0),
        [this, i](std::string_view bytes, const sockaddr_in& sender) { forward(i, bytes, sender); }));
  }
}

std::string DatagramProxy::address_for_peers(std::size_t sidecar) const {
  return format_address(sockets_[sidecar]->local_address());
}

void DatagramProxy::set_partitioned(std::size_t from, std::size_t to, bool is_partitioned) {
  if (is_partitioned)
    partitioned_.insert({from, to});
  else
    partitioned_.erase({from, to});
}

void DatagramProxy::forward(std::size_t recipient, std::string_view bytes, const sockaddr_in& sender) {
  ++counters_.received;
  const auto found =
      std::find_if(sidecar_addresses_.begin(), sidecar_addresses_.end(),
                   [&](const sockaddr_in& address) { return address.sin_port == sender.sin_port; });
  if (found == sidecar_addresses_.end()) {
    ++counters_.unknown_sender;
    return;
  }
  const auto sender_index = static_cast<std::size_t>(found - sidecar_addresses_.begin());
  if (partitioned_.count({sender_index, recipient}) > 0) {
    ++counters_.partitioned;
    return;
  }
  if (random_.bernoulli(conditions_.loss)) {
    ++counters_.lost;
    return;
  }
  counters_.bytes += bytes.size();
  keep_recent(recipient, bytes);
  if (random_.bernoulli(conditions_.duplicated)) {
    ++counters_.duplicated;
    deliver(recipient, std::string(bytes), draw_delay());
  }
  deliver(recipient, std::string(bytes), draw_delay());
}

void DatagramProxy::keep_recent(std::size_t recipient, std::string_view bytes) {
  std::vector<std::string>& recent = recent_datagrams_[recipient];
  if (recent.size() == max_recent_datagrams) recent.erase(recent.begin());
  recent.emplace_back(bytes);
}

double DatagramProxy::draw_delay() {
  const double delay_ms = conditions_.delay_ms + conditions_.jitter_ms * random_.uniform();
  return delay_ms + (random_.bernoulli(conditions_.late) ? conditions_.late_by_ms : 0);
}

void DatagramProxy::deliver(std::size_t recipient, std::string bytes, double delay_ms) {
  ++counters_.forwarded;
  if (delay_ms <= 0) {
    sockets_[recipient]->send(sidecar_addresses_[recipient], bytes);
    return;
  }
  const std::uint64_t id = ++last_delayed_id_;
  delayed_[id] =
      loop_.schedule_at(loop_.now() + delay_ms, [this, id, recipient, datagram = std::move(bytes)] {
        sockets_[recipient]->send(sidecar_addresses_[recipient], datagram);
        delayed_.erase(id);
      });
}

}  // namespace indigorill::load_generator
