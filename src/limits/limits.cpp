#include "limits.h"

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

// Rates are shared out by the second: shorter slots leave less than one RPC to share, longer ones let a
// server stand idle for longer. Connections by ten: some two idle times, so that few are closed at a change.
constexpr double second = 1000, epoch = 10000;
// A window as long as a slot may meet two of them, and what was opened in one slot may be in use in the next.
constexpr double overlap = 2;
// How often bad luck may break a bound: once in so many slots of one server.
constexpr double bad_luck = 1e-6;

std::uint64_t mix(std::uint64_t h) {  // splitmix64's finaliser
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

std::uint64_t hash(std::string_view text) {  // FNV-1a: the same at every instance
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

double unit(std::uint64_t h) { return static_cast<double>(mix(h) >> 11) * 0x1p-53; }

// The mean that instances may have together by chance, so that they hardly ever are more than `most`. The sum
// of many small chances has no heavier a tail than Poisson's, whose tail is the incomplete gamma function.
double mean_under(double most) {
  return most < 1 ? 0 : boost::math::gamma_p_inv(std::floor(most) + 1, bad_luck);
}

}  // namespace

std::optional<std::string> fault_of(const bounds_of_all& b, const place_among& p) {
  std::ostringstream wrong;
  constexpr double most = 1e7;
  const auto sound = [](double v, double least, double highest) {
    return std::isfinite(v) && v >= least && v <= highest;
  };
  if (!sound(p.instances, 1, most) || p.instances != std::floor(p.instances))
    wrong << "instances is " << p.instances << ", not a whole number from 1 to " << most;
  else if (!sound(p.weight, 1e-3, p.instances))
    wrong << "weight is " << p.weight << ", not 0.001 to the number of instances";
  else if (p.turn && (!sound(*p.turn, 0, most) || *p.turn != std::floor(*p.turn)))
    wrong << "turn is " << *p.turn << ", not a whole number from 0";
  else if (p.turn && p.weight != 1)
    wrong << "weight and turn exclude each other";
  for (const auto& [name, v] :
       {std::pair("connections", b.connections), std::pair("handshakes", b.handshakes),
        std::pair("probes", b.probes), std::pair("list_calls", b.list_calls)})
    if (v != 0 && !sound(v, 1, 1e9) && wrong.str().empty())
      wrong << name << " is " << v << ", not 0 or from 1";
  if (wrong.str().empty()) return {};
  return wrong.str();
}

limits::limits(const bounds_of_all& b, const place_among& p, std::uint64_t identity)
    : place(p), self(identity) {
  const auto plan = [&](kind what, double bound, double length) {
    if (bound <= 0) return;
    share& s = shares[static_cast<std::size_t>(what)];
    s.bounded = true;
    const bool a_rate = what != kind::connection;
    // Of a small bound at least one whole RPC is shared out in a slot.
    s.length = a_rate ? std::max(length, overlap * length / bound) : length;
    const double budget = bound * (a_rate ? s.length / second : 1) / overlap;
    s.whole = std::floor(budget * place.weight / place.instances);
    const double rest = budget - s.whole * place.instances / place.weight;
    s.some = place.turn ? std::floor(rest) : std::min(mean_under(rest) * place.weight / place.instances, 1.0);
  };
  plan(kind::connection, b.connections, epoch);
  plan(kind::handshake, b.handshakes, second);
  plan(kind::probe, b.probes, second);
  plan(kind::list_call, b.list_calls, second);
}

void limits::listed(const std::vector<std::string>& servers) {
  known = servers;
  std::sort(known.begin(), known.end());
  // What was spent at servers that are gone tells nothing more; what is held there is still given back.
  std::erase_if(spent, [&](const auto& s) {
    return !s.first.first.empty() && !std::binary_search(known.begin(), known.end(), s.first.first);
  });
}

// Each instance's slots begin at another moment: else all that wait would ask in the same instant.
std::int64_t limits::slot(kind what, double now) const {
  return static_cast<std::int64_t>(std::floor(now / of(what).length + unit(self)));
}

double limits::again(kind what, double now) const {
  if (!of(what).bounded) return 0;
  // A millisecond late: at the very boundary the old slot could be met again, for ever.
  constexpr double late = 1;
  return (static_cast<double>(slot(what, now) + 1) - unit(self)) * of(what).length - now + late;
}

bool limits::one_more(kind what, std::string_view server, std::int64_t at) const {
  const share& s = of(what);
  if (s.some <= 0) return false;
  const auto rank = static_cast<double>(std::lower_bound(known.begin(), known.end(), server) - known.begin());
  const auto servers = std::max(static_cast<double>(known.size()), 1.0);
  if (place.turn) {
    // Turns go round: the next slot has the next ones. At another server they stand elsewhere, evenly, so
    // that an instance has its turn at some server as often as can be.
    const double from = std::floor(rank * place.instances / servers) + static_cast<double>(at) * s.some;
    const double mine =
        std::fmod(std::fmod(*place.turn + from, place.instances) + place.instances, place.instances);
    return mine < s.some;
  }
  // By chance, but as many of the servers in each slot as the chance says: where that is one or more, an
  // instance is never without any. Seen from a server, its instances are still drawn apart from each other.
  const double shift =
      unit(self ^ mix(static_cast<std::uint64_t>(at) * kinds + static_cast<std::uint64_t>(what) + 1));
  const std::uint64_t salt = mix(self + static_cast<std::uint64_t>(at));
  std::size_t before = 0;  // servers that come earlier in this slot's own order
  const std::uint64_t own = mix(hash(server) ^ salt);
  for (const std::string& other : known) before += mix(hash(other) ^ salt) < own;
  const double first = static_cast<double>(before) * s.some + shift, last = first + s.some;
  return std::floor(last) > std::floor(first);
}

double limits::allowed(kind what, std::string_view server, double now) const {
  const std::int64_t at = slot(what, now);
  return of(what).whole + (one_more(what, server, at) ? 1 : 0);
}

bool limits::may(kind what, std::string_view server, double now) const {
  if (!of(what).bounded) return true;
  if (what == kind::connection) {
    const auto it = connections.find(server);
    return static_cast<double>(it == connections.end() ? 0 : it->second) < allowed(what, server, now);
  }
  const auto it = spent.find({std::string(server), static_cast<std::size_t>(what)});
  const bool this_slot = it != spent.end() && it->second.slot == slot(what, now);
  return (this_slot ? it->second.taken : 0) < allowed(what, server, now);
}

bool limits::take(kind what, std::string_view server, double now) {
  count& c = counts[static_cast<std::size_t>(what)];
  if (!may(what, server, now)) {
    ++c.denied;
    return false;
  }
  ++c.granted;
  if (what == kind::connection) {
    ++connections[std::string(server)];
  } else if (of(what).bounded) {
    used& u = spent[{std::string(server), static_cast<std::size_t>(what)}];
    const std::int64_t at = slot(what, now);
    if (u.slot != at) u = {at, 0};
    ++u.taken;
  }
  return true;
}

bool limits::open(std::string_view server, double now) {
  if (!may_open(server, now)) {
    ++counts[static_cast<std::size_t>(may(kind::connection, server, now) ? kind::handshake
                                                                         : kind::connection)]
          .denied;
    return false;
  }
  return take(kind::handshake, server, now) && take(kind::connection, server, now);
}

void limits::give_back(std::string_view server) {
  const auto it = connections.find(server);
  if (it != connections.end() && --it->second == 0) connections.erase(it);
}

bool limits::keeps(std::string_view server, double now) const {
  if (!of(kind::connection).bounded) return true;
  const auto it = connections.find(server);
  return it == connections.end() || static_cast<double>(it->second) <= allowed(kind::connection, server, now);
}

std::uint64_t limits::held() const {
  std::uint64_t all = 0;
  for (const auto& [server, n] : connections) all += n;
  return all;
}

}  // namespace indigorill
