#include "load/wire.h"

#include <algorithm>

#include "load/process.h"

namespace indigorill::loading {

DatagramProxy::DatagramProxy(EventLoop& in, std::vector<sockaddr_in> sidecars, NetworkConditions how,
                             std::uint64_t seed)
    : loop_(in),
      sidecar_addresses_(std::move(sidecars)),
      conditions_(how),
      random_(seed),
      recent_datagrams_(sidecar_addresses_.size()) {
  for (std::size_t i = 0; i < sidecar_addresses_.size(); ++i)
    sockets_.push_back(std::make_unique<DatagramSocket>(
        loop_, loopback_at(0),
        [this, i](std::string_view bytes, const sockaddr_in& from) { forward(i, bytes, from); }));
}

void DatagramProxy::set_partitioned(std::size_t from, std::size_t to, bool is) {
  if (is)
    partitioned_.insert({from, to});
  else
    partitioned_.erase({from, to});
}

void DatagramProxy::forward(std::size_t to, std::string_view bytes, const sockaddr_in& from) {
  ++counters_.received;
  const auto it = std::find_if(sidecar_addresses_.begin(), sidecar_addresses_.end(),
                               [&](const sockaddr_in& e) { return e.sin_port == from.sin_port; });
  if (it == sidecar_addresses_.end()) {
    ++counters_.unknown_sender;
    return;
  }
  const auto sender = static_cast<std::size_t>(it - sidecar_addresses_.begin());
  if (partitioned_.count({sender, to}) > 0) {
    ++counters_.partitioned;
    return;
  }
  if (random_.bernoulli(conditions_.loss)) {
    ++counters_.lost;
    return;
  }
  counters_.bytes += bytes.size();
  constexpr std::size_t remembered = 64;
  std::vector<std::string>& last = recent_datagrams_[to];
  if (last.size() == remembered) last.erase(last.begin());
  last.emplace_back(bytes);
  const auto wait = [&] {
    return conditions_.delay_ms + conditions_.jitter_ms * random_.uniform() +
           (random_.bernoulli(conditions_.late) ? conditions_.late_by_ms : 0);
  };
  if (random_.bernoulli(conditions_.duplicated)) {
    ++counters_.duplicated;
    deliver(to, std::string(bytes), wait());
  }
  deliver(to, std::string(bytes), wait());
}

void DatagramProxy::deliver(std::size_t to, std::string bytes, double wait) {
  ++counters_.forwarded;
  if (wait <= 0) {
    sockets_[to]->send(sidecar_addresses_[to], bytes);
    return;
  }
  const std::uint64_t name = ++last_delayed_id_;
  delayed_[name] = loop_.schedule_at(loop_.now() + wait, [this, name, to, held = std::move(bytes)] {
    sockets_[to]->send(sidecar_addresses_[to], held);
    delayed_.erase(name);
  });
}

}  // namespace indigorill::loading
