#include "membership/member_table.h"

namespace indigorill {
namespace {

// Bounds the memory that a large fleet or forged datagrams can take up.
constexpr std::size_t max_members = 10000;
// Dead members are pinged now and then while they are in the table, so that the two sides of a partition that
// heals within this time find each other again.
constexpr double dead_member_retention_ms = 600000;

}  // namespace

const Member* MemberTable::find(const std::string& name) const {
  const auto entry = entries_.find(name);
  return entry == entries_.end() ? nullptr : &entry->second;
}

bool MemberTable::is_full() const { return entries_.size() >= max_members; }

std::array<std::size_t, member_state_count> MemberTable::count_by_state() const {
  std::array<std::size_t, member_state_count> counts{};
  for (const auto& [name, member] : entries_) ++counts[static_cast<std::size_t>(member.state)];
  return counts;
}

std::vector<std::string> MemberTable::alive_names(const std::string& excluded) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : entries_) {
    if (member.state == Member::State::alive && name != excluded) names.push_back(name);
  }
  return names;
}

std::vector<std::string> MemberTable::live_names() const {
  std::vector<std::string> names;
  for (const auto& [name, member] : entries_) {
    if (is_live(member)) names.push_back(name);
  }
  return names;
}

std::vector<const Member*> MemberTable::dead_members() const {
  std::vector<const Member*> members;
  for (const auto& [name, ended_at] : ended_at_) {
    const Member* member = find(name);
    if (member->state == Member::State::dead) members.push_back(member);
  }
  return members;
}

void MemberTable::put(double now, const Member& member) {
  const auto [entry, is_new] = entries_.try_emplace(member.name, member);
  const bool was_live = !is_new && is_live(entry->second);
  entry->second = member;
  if (was_live) --live_count_;
  if (is_live(member)) {
    ++live_count_;
    ended_at_.erase(member.name);
  } else {
    ended_at_.emplace(member.name, now);
  }
}

void MemberTable::forget_ended(double now) {
  for (auto ended = ended_at_.begin(); ended != ended_at_.end();) {
    if (now - ended->second <= dead_member_retention_ms) {
      ++ended;
      continue;
    }
    entries_.erase(ended->first);
    ended = ended_at_.erase(ended);
  }
}

}  // namespace indigorill
