/// \file
/// What SWIM members tell each other: entries about single members, and the messages that carry them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

/// What is known of one member.
struct Member {
  /// In ascending precedence within one incarnation.
  enum class State : std::uint8_t { alive, suspect, dead, left };

  State state = State::alive;
  std::string name;
  std::string address;            ///< Where it receives datagrams, "address:port".
  std::uint64_t incarnation = 0;  ///< Raised by the member itself alone.
  bool operator==(const Member&) const = default;
};

constexpr std::size_t member_state_count = 4;

/// "alive", "suspect", "dead" or "left".
std::string_view name_of(Member::State state);

/// Whether the member is thought to run: alive or suspect.
bool is_live(const Member& member);

/// Whether `newer` replaces `older`, both of the same name: the later incarnation wins, then the later state.
/// The addresses decide between the rest, so that all members keep the same one of two.
bool supersedes(const Member& newer, const Member& older);

/// One message between two members. Updates are piggybacked on all kinds.
struct SwimMessage {
  /// The values are those of the wire format.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    ping_request,  ///< Ping the target on behalf of the sender.
    nack,          ///< The target of a ping request has not answered so far.
    view_request,  ///< Send me the entries whose names come after the target's.
    view_page,     ///< Entries of the sender's view.
  };

  Kind kind = Kind::ping;
  std::uint64_t sequence_number = 0;  ///< Chosen by whoever asks, and repeated in the answer.
  /// ping_request: the name of the member to ping. view_request, view_page: the last name of the page before,
  /// or of this page; empty at the beginning and at the end of the view.
  std::string target = {};
  std::string target_address = {};  ///< ping_request: where to ping it.
  std::vector<Member> updates = {};
  bool operator==(const SwimMessage&) const = default;
};

/// Appends updates to a message for as long as its datagram stays under the bound on its size.
class UpdateAppender {
 public:
  /// Updates that the message has already are counted. The message must outlive this object.
  explicit UpdateAppender(SwimMessage& message);

  /// Returns whether there was room; if not, the message is left as it was.
  bool append(const Member& member);
  /// Puts the member first, whether or not there is room.
  void prepend(const Member& member);
  /// Leaves room for a member that is added by somebody else.
  void reserve(const Member& member);
  /// No message can hold more updates than this.
  static std::size_t max_updates();

 private:
  std::vector<Member>& updates_;
  std::size_t used_bytes_ = 0;
};

}  // namespace indigorill
