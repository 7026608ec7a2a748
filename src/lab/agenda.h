// The emulator's clock: what is due, in one stated order. Equal times fall by rank (troubles change the world
// first, then servers end work, then the network delivers, then the list, timers and clients), equal ranks in
// the order in which they were put down.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace indigorill::lab {

enum class rank : std::uint8_t { trouble, server, network, list, timer, client };

class agenda {
 public:
  using task = std::function<void()>;

  double now() const { return clock; }
  bool empty() const { return heap.empty(); }
  double next_at() const { return heap.front().at; }

  // What is put down for the past is due now: the clock never goes back.
  void at(double when, rank of, task what) {
    heap.push_back({std::max(when, clock), of, ++put_down, std::move(what)});
    std::push_heap(heap.begin(), heap.end(), later);
  }

  // The next one, unless it is due after `end`; then the clock stands at `end`.
  bool step(double end) {
    if (heap.empty() || heap.front().at > end) {
      clock = std::max(clock, end);
      return false;
    }
    std::pop_heap(heap.begin(), heap.end(), later);
    const item due = std::move(heap.back());
    heap.pop_back();
    clock = due.at;
    due.what();
    return true;
  }

 private:
  struct item {
    double at;
    rank of;
    std::uint64_t order;
    task what;
  };
  static bool later(const item& a, const item& b) {
    if (a.at != b.at) return a.at > b.at;
    if (a.of != b.of) return a.of > b.of;
    return a.order > b.order;
  }

  double clock = 0;
  std::uint64_t put_down = 0;
  std::vector<item> heap;
};

}  // namespace indigorill::lab
