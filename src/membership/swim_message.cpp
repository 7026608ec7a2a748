#include "membership/swim_message.h"

#include <array>
#include <tuple>

namespace indigorill {
namespace {

// Bound on the updates of a message, which keeps its datagram well under 1,400 bytes: no path between two
// members fragments a datagram of that size.
constexpr std::size_t max_update_bytes = 900;
// Size of one update without its texts: its incarnation, its state and the headers of its four fields.
constexpr std::size_t encoded_numbers_bytes = 14;

std::size_t encoded_bytes(const Member& member) {
  return member.name.size() + member.address.size() + encoded_numbers_bytes;
}

}  // namespace

std::string_view name_of(Member::State state) {
  constexpr std::array<std::string_view, member_state_count> names{"alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(state)];
}

bool is_live(const Member& member) {
  return member.state == Member::State::alive || member.state == Member::State::suspect;
}

bool supersedes(const Member& newer, const Member& older) {
  return std::tie(newer.incarnation, newer.state, newer.address) >
         std::tie(older.incarnation, older.state, older.address);
}

UpdateAppender::UpdateAppender(SwimMessage& message) : updates_(message.updates) {
  for (const Member& member : updates_) used_bytes_ += encoded_bytes(member);
}

bool UpdateAppender::append(const Member& member) {
  if (used_bytes_ + encoded_bytes(member) > max_update_bytes) return false;
  used_bytes_ += encoded_bytes(member);
  updates_.push_back(member);
  return true;
}

void UpdateAppender::prepend(const Member& member) {
  used_bytes_ += encoded_bytes(member);
  updates_.insert(updates_.begin(), member);
}

void UpdateAppender::reserve(const Member& member) { used_bytes_ += encoded_bytes(member); }

std::size_t UpdateAppender::max_updates() { return max_update_bytes / encoded_numbers_bytes; }

}  // namespace indigorill
