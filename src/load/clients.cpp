#include "clients.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace indigorill::loading {
namespace {

using lab::rank;
constexpr double ms_per_s = 1000;

}  // namespace

struct clients::connection {
  std::uint64_t name;
  std::size_t sidecar;
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::answer};
  outgoing out;
  std::uint64_t task = 0;  // 0: idle
  std::string rpc;
  bool used = false;  // an answer came over it before
  double meant = 0;
  loop::timer until;
};

clients::clients(loop& in, descriptor_budget& budget, clockwork& with, const lab::scenario& s,
                 std::uint64_t number, std::uint64_t bound, std::vector<sockaddr_in> where)
    : runs(in),
      room(budget),
      clock(with),
      plays(s),
      seed(number),
      most(bound),
      wishes(lab::seed_of(number, lab::use::clients)) {
  double all = 0;
  for (std::size_t i = 0; i < where.size(); ++i) {
    const double weight = std::pow(static_cast<double>(i) + 1, -plays.load.skew);
    sidecars.push_back({where[i], weight, lab::stream(lab::seed_of(seed, lab::use::arrivals, i)), true, {}});
    all += weight;
  }
  for (sidecar& c : sidecars) c.weight /= all;
  lab::stream shares(lab::seed_of(seed, lab::use::shares));
  comes = lab::pace_of(plays, shares);
}

clients::~clients() = default;

void clients::begin() {
  for (std::size_t i = 0; i < sidecars.size(); ++i) next_arrival(i);
}

void clients::next_arrival(std::size_t s) {
  const double mean = ms_per_s / (comes.most * sidecars[s].weight);
  if (!std::isfinite(mean)) return;
  const double when = clock.plan().now() + sidecars[s].arrives.exponential(mean);
  if (when >= plays.length) return;
  // The agenda's clock stands at the intended time, however late the process gets to it.
  clock.at(when, rank::client, [this, s, when] {
    if (sidecars[s].arrives.happens(lab::rate_at(plays, comes, when) * times / comes.most)) arrive(s, when);
    next_arrival(s);
  });
}

void clients::arrive(std::size_t s, double meant) {
  sidecar& c = sidecars[s];
  const auto [method, work] = lab::draw_rpc(plays, c.arrives);
  if (!c.up) return;
  if (got.tasks >= most) {
    ++got.left_out;
    return;
  }
  ++got.tasks;
  const std::uint64_t id = ++next_task;
  tasks[id] = {s, method, meant, work, plays.clients.wait, plays.clients.retries};
  ask(id, meant);
}

void clients::ask(std::uint64_t of, double meant) {
  const task& t = tasks.at(of);
  sidecar& to = sidecars[t.sidecar];
  connection* c = nullptr;
  while (!to.idle.empty() && !c) {
    const auto it = connections.find(to.idle.back());
    to.idle.pop_back();
    if (it == connections.end()) continue;
    c = it->second.get();
    if (c->wire->stale()) {
      connections.erase(it);
      c = nullptr;
    }
  }
  if (!c) {
    descriptor fd = room.left() > 0 ? connect_to(to.where) : descriptor();
    if (!fd) {
      ++got.left_out;
      return conclude(of, fate::lost);
    }
    const std::uint64_t name = ++names;
    auto fresh = std::make_unique<connection>();
    fresh->name = name;
    fresh->sidecar = t.sidecar;
    fresh->wire =
        std::make_unique<stream>(runs, room, std::move(fd), [this, name](std::uint32_t) { ready(name); });
    c = connections.emplace(name, std::move(fresh)).first->second.get();
  }
  const method& how = plays.methods[t.method].is;
  // What is left of the client's time, by its own clock.
  const double left = t.meant + how.deadline - clock.now();
  if (left < 1) {
    release(*c);
    return conclude(of, fate::unanswered);
  }
  c->task = of;
  c->rpc = std::to_string(seed) + "-" + std::to_string(++next_rpc);
  c->meant = meant;
  const bool safe = how.repeats == repeatable::idempotent;
  if (how.repeats == repeatable::non_idempotent) unsafe.insert(c->rpc);
  c->out = {};
  c->out.own((safe ? "GET /" : "POST /") + how.name + " HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + c->rpc +
             "\r\nX-Call-Class: " + how.name + "\r\nX-Budget: " +
             std::to_string(static_cast<long long>(left * 1000)) + "u\r\nX-Work: " + std::to_string(t.work) +
             "\r\n" + (safe ? "\r\n" : "Content-Length: 2\r\n\r\n{}"));
  ++got.sent;
  got.behind.add(std::max(clock.now() - meant, 0.0));
  c->until = runs.at(clock.unix_of(t.meant + how.deadline), [this, name = c->name] {
    const auto it = connections.find(name);
    const std::uint64_t waited = it->second->task;
    connections.erase(it);
    conclude(waited, fate::unanswered);
  });
  write(*c);
}

void clients::write(connection& c) {
  if (!c.out.done() && !c.wire->write(c.out)) broke(c);
}

void clients::ready(std::uint64_t which) {
  clock.catch_up();
  for (;;) {
    const auto it = connections.find(which);
    if (it == connections.end()) return;
    connection& c = *it->second;
    if (!c.out.done() && !c.wire->write(c.out)) return broke(c);
    std::size_t n = 0;
    const stream::got was = c.wire->read(c.reader.room(), n);
    if (was == stream::got::nothing) return;
    if (was != stream::got::some) return broke(c);
    c.reader.fed(n);
    if (c.reader.now() == http::reader::state::broken) return broke(c);
    if (c.reader.now() != http::reader::state::whole) continue;
    const http::message m = c.reader.take();
    if (c.task == 0) return broke(c);
    answered(c, m);
  }
}

void clients::answered(connection& c, const http::message& m) {
  const std::uint64_t of = c.task;
  const std::string id = c.rpc;
  const task& t = tasks.at(of);
  const method& how = plays.methods[t.method].is;
  const bool in_time = clock.now() - t.meant <= how.latency_target;
  double advice = 0;
  if (const auto after = m.find("Retry-After")) {
    double seconds = 0;
    std::from_chars(after->data(), after->data() + after->size(), seconds);
    advice = seconds * ms_per_s;
  }
  if (m.keeps)
    release(c);
  else
    connections.erase(c.name);
  if (m.status == 200) return conclude(of, in_time ? fate::ok : fate::late);
  const bool pushed = m.status == 429 || m.status == 503;
  if (pushed && how.repeats == repeatable::non_idempotent) got.must_not_have_run.insert(id);
  retry_or(of, pushed ? fate::pushed_back : fate::aborted, advice);
}

// A connection that breaks with an RPC on it loses it; one that the sidecar closed between two is no loss.
void clients::broke(connection& c) {
  const std::uint64_t of = c.task;
  const bool crossed = c.used && of != 0 && !c.reader.begun();
  const double meant = c.meant;
  connections.erase(c.name);
  if (of == 0) return;
  // The close crossed the RPC on its way: it was not read, and is sent once more on a new connection.
  if (crossed && sidecars[tasks.at(of).sidecar].up) return ask(of, meant);
  conclude(of, sidecars[tasks.at(of).sidecar].up ? fate::unanswered : fate::lost);
}

void clients::release(connection& c) {
  c.until.drop();
  c.task = 0;
  c.used = true;
  sidecars[c.sidecar].idle.push_back(c.name);
}

void clients::conclude(std::uint64_t of, fate f) {
  const task t = tasks.at(of);
  tasks.erase(of);
  const method& how = plays.methods[t.method].is;
  const bool counted = t.meant >= plays.warmup && f != fate::lost;
  if (counted) got.offered += how.utility;
  switch (f) {
    case fate::ok:
      ++got.ok;
      if (counted) got.gained += how.utility;
      break;
    case fate::late:
      ++got.late;
      if (counted) got.gained += how.utility * how.late_utility;
      break;
    case fate::pushed_back:
      ++got.pushed_back;
      break;
    case fate::aborted:
      ++got.aborted;
      break;
    case fate::unanswered:
      ++got.unanswered;
      break;
    case fate::lost:
      ++got.lost;
      break;
  }
  if (counted && (f == fate::ok || f == fate::late)) got.answered.add(clock.now() - t.meant);
}

void clients::retry_or(std::uint64_t of, fate f, double advice) {
  task& t = tasks.at(of);
  const method& how = plays.methods[t.method].is;
  const bool harmless = f == fate::pushed_back || how.repeats == repeatable::idempotent;
  const double waits = std::max(t.wait, wishes.happens(plays.clients.heeds) ? advice : 0);
  const double when = clock.now() + waits;
  if (!harmless || t.tries_left <= 0 || when >= t.meant + how.deadline) return conclude(of, f);
  --t.tries_left;
  if (plays.clients.doubles) t.wait *= 2;
  clock.at(when, rank::client, [this, of, when] {
    if (tasks.count(of)) ask(of, when);
  });
}

void clients::died(std::size_t s) {
  sidecars[s].up = false;
  std::vector<std::uint64_t> gone, lost;
  for (const auto& [name, c] : connections)
    if (c->sidecar == s) gone.push_back(name);
  for (const std::uint64_t name : gone) connections.erase(name);
  for (const auto& [id, t] : tasks)
    if (t.sidecar == s) lost.push_back(id);
  for (const std::uint64_t id : lost) conclude(id, fate::lost);
  sidecars[s].idle.clear();
}

void clients::back(std::size_t s) { sidecars[s].up = true; }

}  // namespace indigorill::loading
