#include "membership/update_queue.h"

#include <algorithm>
#include <cmath>

namespace indigorill {
namespace {

// Each update is sent this many times log10 of the number of members. The value of four is that of memberlist
// and Lifeguard.
constexpr double retransmit_multiplier = 4;

int transmit_limit(std::size_t live_count) {
  return static_cast<int>(
      std::ceil(retransmit_multiplier * std::max(1.0, std::log10(1.0 + static_cast<double>(live_count)))));
}

}  // namespace

std::vector<std::pair<int, std::string>> UpdateQueue::least_sent(const std::string& excluded) const {
  std::vector<std::pair<int, std::string_view>> order;
  for (const auto& [name, times] : times_sent_) {
    if (name != excluded) order.emplace_back(times, name);
  }
  const std::size_t count = std::min(order.size(), UpdateAppender::max_updates());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(order.begin(), end, order.end());
  return {order.begin(), end};
}

void UpdateQueue::append_to(UpdateAppender& message, const MemberTable& members, const std::string& excluded,
                            std::size_t live_count) {
  const int limit = transmit_limit(live_count);
  for (const auto& [times, name] : least_sent(excluded)) {
    const Member* member = members.find(name);
    if (member == nullptr) {
      times_sent_.erase(name);
      continue;
    }
    if (!message.append(*member)) break;
    const int times_sent = times + 1;
    if (times_sent >= limit) {
      times_sent_.erase(name);
    } else {
      times_sent_[name] = times_sent;
    }
  }
}

}  // namespace indigorill
