/// \file
/// The messages between SWIM members, and the entries about single members that they carry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

/// An entry about one member.
struct Member {
  /// The states in ascending precedence within one incarnation.
  enum class State : std::uint8_t { alive, suspect, dead, left };

  State state = State::alive;
  std::string name;
  std::string address;            ///< Address at which the member receives datagrams, "address:port".
  std::uint64_t incarnation = 0;  ///< Raised only by the member itself.
  bool operator==(const Member&) const = default;
};

constexpr std::size_t member_state_count = 4;

/// "alive", "suspect", "dead" or "left".
std::string_view name_of(Member::State state);

/// Whether the member is considered running: alive or suspect.
bool is_live(const Member& member);

/// Whether `newer` replaces `older`, two entries with the same name: the higher incarnation wins, then the
/// state of higher precedence. A tie is broken by the address, so that all members keep the same entry.
bool supersedes(const Member& newer, const Member& older);

/// One message between two members. Updates are piggybacked on all kinds.
struct SwimMessage {
  /// The values are those of the wire format.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    ping_request,  ///< Requests a ping of the target on behalf of the sender.
    nack,          ///< The target of a ping request has not answered so far.
    view_request,  ///< Requests the entries whose names come after `target`.
    view_page,     ///< Entries of the sender's view.
  };

  Kind kind = Kind::ping;
  std::uint64_t sequence_number = 0;  ///< Chosen by the requester and repeated in the reply.
  /// ping_request: the name of the member to ping. view_request: the name after which the page begins, empty
  /// for the beginning of the view. view_page: the last name of this page, empty at the end of the view.
  std::string target = {};
  std::string target_address = {};  ///< ping_request: the address of the member to ping.
  std::vector<Member> updates = {};
  bool operator==(const SwimMessage&) const = default;
};

/// Appends updates to a message while its datagram stays within the bound on its size.
class UpdateAppender {
 public:
  /// Counts the updates that the message already has. The message must outlive this object.
  explicit UpdateAppender(SwimMessage& message);

  /// Returns whether there was room; if not, the message is unchanged.
  bool append(const Member& member);
  /// Inserts the member as the first update, whether or not there is room.
  void prepend(const Member& member);
  /// Reserves room for a member that is added later by other code.
  void reserve(const Member& member);
  /// Upper bound on the updates that fit into a message.
  static std::size_t max_updates();

 private:
  std::vector<Member>& updates_;
  std::size_t used_bytes_ = 0;
};

}  // namespace indigorill
