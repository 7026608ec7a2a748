/// \file
/// Dissemination: the updates that are still to be piggybacked on messages, and the number of times that each
/// was sent.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/swim_message.h"

namespace indigorill {

/// The updates that are being disseminated, by the name of the member. The entry that is sent is always the
/// latest one in the member table.
class UpdateQueue {
 public:
  /// Starts to disseminate the member's entry. If it is being disseminated already, it starts anew.
  void enqueue(const std::string& name) { times_sent_[name] = 0; }

  /// Appends as many updates as fit, the least often sent ones first, and counts them as sent.
  /// \param excluded the name of a member whose update is neither appended nor counted.
  /// \param live_count the number of members that are alive or suspect, this one included; it determines how
  /// often each update is sent.
  void append_to(UpdateAppender& message, const MemberTable& members, const std::string& excluded,
                 std::size_t live_count);

 private:
  std::vector<std::pair<int, std::string>> least_sent(const std::string& excluded) const;

  std::map<std::string, int> times_sent_;
};

}  // namespace indigorill
