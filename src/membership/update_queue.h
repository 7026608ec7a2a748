/// \file
/// Dissemination: which updates are still to be piggybacked on messages, and how often.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/swim_message.h"

namespace indigorill {

/// Updates that are spread at present, by the name of the member. What is sent is always the table's latest.
class UpdateQueue {
 public:
  /// Spreads what is known of the member; from the beginning if it is spread already.
  void enqueue(const std::string& name) { times_sent_[name] = 0; }

  /// Appends as many updates as fit, those that were sent least often first, and counts them as sent.
  /// \param excluded the name of a member whose update is left out; it is not counted either.
  /// \param live_count members that are alive or suspect, this one included: it decides on how often each
  /// update is sent.
  void append_to(UpdateAppender& message, const MemberTable& members, const std::string& excluded,
                 std::size_t live_count);

 private:
  std::vector<std::pair<int, std::string>> least_sent(const std::string& excluded) const;

  std::map<std::string, int> times_sent_;
};

}  // namespace indigorill
