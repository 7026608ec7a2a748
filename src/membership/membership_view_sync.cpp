/// \file
/// Membership's anti-entropy: joining, the exchange of full views, and reconnection after a partition.
#include <algorithm>
#include <array>

#include "membership/membership.h"

namespace indigorill {
namespace {

using Kind = SwimMessage::Kind;

// Probe rounds between two requests for a page of another member's view, which repair views that differ.
constexpr std::uint64_t view_sync_interval_rounds = 5;
// Probe rounds between two pings of a dead member and a seed, which reconnect the sides of a healed
// partition.
constexpr std::uint64_t reconnect_interval_rounds = 5;
// When many members start at once, the first view pages list only a few of them, so a new member reads the
// full view again in these probe rounds.
constexpr std::array<std::uint64_t, 2> view_reread_rounds{4, 10};

}  // namespace

void Membership::join(double now) {
  next_join_at_ = now + config_.probe_interval_ms;
  // The member drawn here is not used, since request_view_page draws another one. The draw is kept so that
  // runs with a given seed stay reproducible.
  if (random_alive_member().empty()) {
    for (const std::string& seed : config_.seed_addresses) {
      if (seed != self_.address) request_view_page_from(seed);
    }
  } else {
    request_view_page();
  }
  if (is_only_seed()) joined_ = true;
}

bool Membership::is_only_seed() const {
  return config_.seed_addresses.empty() ||
         (config_.seed_addresses.size() == 1 && config_.seed_addresses.front() == self_.address);
}

void Membership::synchronize_view(double now) {
  if (std::find(view_reread_rounds.begin(), view_reread_rounds.end(), probe_round_) !=
      view_reread_rounds.end()) {
    view_cursor_.clear();
    joined_ = false;
    next_join_at_ = now;
  } else if (probe_round_ % view_sync_interval_rounds == 0 && joined_) {
    view_cursor_ = random_alive_member();
    request_view_page();
  }
}

// The two sides of a partition declare each other dead and no longer probe each other. Pings of dead members
// and of seeds reconnect the two sides after the partition has healed.
void Membership::reconnect(double now) {
  if (probe_round_ % reconnect_interval_rounds != 0) return;
  members_.forget_ended(now);
  const std::vector<const Member*> dead_members = members_.dead_members();
  if (!dead_members.empty()) {
    const Member& dead = *dead_members[random_index(dead_members.size())];
    ping(dead.address, dead.name);
  }
  if (!config_.seed_addresses.empty()) {
    const std::string& seed = config_.seed_addresses[random_index(config_.seed_addresses.size())];
    if (seed != self_.address) ping(seed);
  }
}

void Membership::request_view_page() {
  const std::string name = random_alive_member();
  if (!name.empty()) request_view_page_from(address_of(name));
}

void Membership::request_view_page_from(const std::string& address) {
  send(address,
       {.kind = Kind::view_request, .sequence_number = ++last_sequence_number_, .target = view_cursor_});
}

void Membership::send_view_page(const std::string& reply_address, const SwimMessage& request) {
  SwimMessage page{.kind = Kind::view_page, .sequence_number = request.sequence_number};
  UpdateAppender updates(page);
  updates.reserve(self_);
  const MemberTable::Entries& entries = members_.entries();
  auto next = entries.upper_bound(request.target);
  while (next != entries.end() && updates.append(next->second)) ++next;
  if (next != entries.end()) {
    page.target = page.updates.back().name;
  } else {
    // The page reaches the end of the view; the remaining room is filled with entries from the beginning.
    next = entries.begin();
    while (next != entries.end() && next->first <= request.target && updates.append(next->second)) ++next;
  }
  send(reply_address, std::move(page));
}

void Membership::on_view_page(double now, const std::string& reply_address, const SwimMessage& page) {
  if (joined_) return;
  joined_ = page.target.empty();
  view_cursor_ = page.target;
  next_join_at_ = now + config_.probe_interval_ms;
  if (!joined_) request_view_page_from(reply_address);
}

}  // namespace indigorill
