#include "station.h"

#include <algorithm>

namespace indigorill::lab {

station::station(agenda& in, traits is, std::uint64_t seed, events to_tell)
    : due(in), has(is), chance(seed), tell(std::move(to_tell)), faulty(is.error_share) {}

double station::warmth() const {
  if (since <= 0 || has.cold_for <= 0) return 1;
  return std::min(1.0, has.cold_from + (1 - has.cold_from) * (due.now() - since) / has.cold_for);
}

double station::rate() const { return has.speed * warmth() / slowness; }

double station::work_ahead() const {
  std::vector<double> free(static_cast<std::size_t>(has.cores), std::max(due.now(), stalled));
  for (std::size_t i = 0; i < busy.size(); ++i) free[i] = busy[i].ends;
  for (const job& j : waiting) {
    const auto next = std::min_element(free.begin(), free.end());
    *next += j.work / rate();
  }
  return *std::min_element(free.begin(), free.end()) - due.now();
}

// A cold server that gets more than a multiple of what it can do, counted as a budget over a span, falls.
void station::weigh(double work) {
  if (!running || has.fall_multiple <= 0 || warmth() >= 1) return;
  sent.push_back({due.now(), work});
  sent_work += work;
  while (sent.front().first <= due.now() - has.fall_span) {
    sent_work -= sent.front().second;
    sent.pop_front();
  }
  const double can = has.cores * has.speed * warmth() * has.fall_span;
  pressure = std::max(pressure, sent_work / can);
  if (sent_work <= has.fall_multiple * can) return;
  die();
  if (tell.fell) tell.fell();
}

void station::come(std::uint64_t id, double work) {
  weigh(work);
  if (!running) return tell.ended(id, outcome::lost, 0);
  if (chance.happens(faulty)) return tell.ended(id, outcome::error, held() + 1);
  if (static_cast<int>(busy.size()) >= has.cores && static_cast<int>(waiting.size()) >= has.queue)
    return tell.ended(id, outcome::full, held());
  waiting.push_back({id, work, 0, 0});
  begin_next();
}

void station::begin_next() {
  while (running && !waiting.empty() && static_cast<int>(busy.size()) < has.cores) {
    job j = waiting.front();
    waiting.pop_front();
    j.ends = std::max(due.now(), stalled) + j.work / rate();
    j.turn = ++turns;
    busy.push_back(j);
    put_down(j);
    if (tell.began) tell.began(j.id);
  }
}

void station::put_down(const job& j) {
  due.at(j.ends, rank::server, [this, id = j.id, turn = j.turn] { finish(id, turn); });
}

void station::finish(std::uint64_t id, std::uint64_t turn) {
  const auto it =
      std::find_if(busy.begin(), busy.end(), [&](const job& j) { return j.id == id && j.turn == turn; });
  if (it == busy.end()) return;  // lost with its process, or put off by a stall
  const double in_hand = held();
  busy.erase(it);
  begin_next();
  tell.ended(id, outcome::served, in_hand);
}

void station::withdraw(std::uint64_t id) {
  std::erase_if(waiting, [&](const job& j) { return j.id == id; });
}

void station::die() {
  running = false;
  std::vector<std::uint64_t> gone;
  for (const job& j : busy) gone.push_back(j.id);
  for (const job& j : waiting) gone.push_back(j.id);
  busy.clear();
  waiting.clear();
  for (const std::uint64_t id : gone) tell.ended(id, outcome::lost, 0);
}

void station::start_cold() {
  running = true;
  since = due.now();
  stalled = 0;
  sent.clear();
  sent_work = 0;
}

void station::stall(double until) {
  const double longer = until - std::max(due.now(), stalled);
  if (longer <= 0) return;
  stalled = until;
  for (job& j : busy) {
    j.ends += longer;
    j.turn = ++turns;
    put_down(j);
  }
}

}  // namespace indigorill::lab
