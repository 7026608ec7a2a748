#include "wire.h"

#include <algorithm>

#include "process.h"

namespace indigorill::loading {

wire::wire(loop& in, std::vector<sockaddr_in> sidecars, manners how, std::uint64_t seed)
    : runs(in), ends(std::move(sidecars)), now(how), chance(seed), kept(ends.size()) {
  for (std::size_t i = 0; i < ends.size(); ++i)
    doors.push_back(std::make_unique<datagrams>(
        runs, loopback_at(0),
        [this, i](std::string_view bytes, const sockaddr_in& from) { carry(i, bytes, from); }));
}

void wire::cut(std::size_t from, std::size_t to, bool is) {
  if (is)
    cuts.insert({from, to});
  else
    cuts.erase({from, to});
}

void wire::carry(std::size_t to, std::string_view bytes, const sockaddr_in& from) {
  ++counts.came;
  const auto it = std::find_if(ends.begin(), ends.end(),
                               [&](const sockaddr_in& e) { return e.sin_port == from.sin_port; });
  if (it == ends.end()) {
    ++counts.stray;
    return;
  }
  const auto sender = static_cast<std::size_t>(it - ends.begin());
  if (cuts.count({sender, to}) > 0) {
    ++counts.cut;
    return;
  }
  if (chance.happens(now.loss)) {
    ++counts.lost;
    return;
  }
  counts.bytes += bytes.size();
  constexpr std::size_t remembered = 64;
  std::vector<std::string>& last = kept[to];
  if (last.size() == remembered) last.erase(last.begin());
  last.emplace_back(bytes);
  const auto wait = [&] {
    return now.delay + now.jitter * chance.unit() + (chance.happens(now.late) ? now.late_by : 0);
  };
  if (chance.happens(now.doubled)) {
    ++counts.doubled;
    pass(to, std::string(bytes), wait());
  }
  pass(to, std::string(bytes), wait());
}

void wire::pass(std::size_t to, std::string bytes, double wait) {
  ++counts.passed;
  if (wait <= 0) {
    doors[to]->send(ends[to], bytes);
    return;
  }
  const std::uint64_t name = ++serial;
  on_the_way[name] = runs.at(runs.now() + wait, [this, name, to, held = std::move(bytes)] {
    doors[to]->send(ends[to], held);
    on_the_way.erase(name);
  });
}

}  // namespace indigorill::loading
