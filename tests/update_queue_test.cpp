/// \file
/// The selection of updates that are piggybacked on messages, and the number of times that each is sent.
#include "membership/update_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace {

using indigorill::Member;
using indigorill::MemberTable;
using indigorill::SwimMessage;
using indigorill::UpdateAppender;
using indigorill::UpdateQueue;

MemberTable make_table(int size) {
  MemberTable members;
  for (int i = 0; i < size; ++i) {
    members.put(0, {Member::State::alive, std::string("n").append(std::to_string(i)),
                    std::string("10.0.0.1:").append(std::to_string(i)), 1});
  }
  return members;
}

SwimMessage next_message(UpdateQueue& queue, const MemberTable& members, const std::string& excluded = {}) {
  SwimMessage message;
  UpdateAppender updates(message);
  queue.append_to(updates, members, excluded, 1 + members.live_count());
  return message;
}

}  // namespace

TEST_CASE("update queue: the latest update of a member is sent as often as the fleet size requires") {
  MemberTable members = make_table(9);
  UpdateQueue queue;
  queue.enqueue("n1");
  queue.enqueue("unknown");
  members.put(1, {Member::State::suspect, "n1", "10.0.0.1:1", 2});
  for (int i = 0; i < 5; ++i) {  // four times log10(11), rounded up
    const SwimMessage message = next_message(queue, members);
    REQUIRE(message.updates.size() == 1);
    CHECK(message.updates.front() == *members.find("n1"));
  }
  CHECK(next_message(queue, members).updates.empty());
}

TEST_CASE("update queue: the least often sent updates go first and an excluded one is not counted as sent") {
  const MemberTable members = make_table(100);
  UpdateQueue queue;
  for (const auto& [name, member] : members.entries()) queue.enqueue(name);
  std::map<std::string, int> times_sent;
  while (times_sent.size() < 99) {
    const SwimMessage message = next_message(queue, members, "n7");
    REQUIRE_FALSE(message.updates.empty());
    for (const Member& member : message.updates) ++times_sent[member.name];
  }
  for (const auto& entry : times_sent) {
    CAPTURE(entry.first);
    CHECK(entry.second <= 2);
  }
  CHECK(next_message(queue, members).updates.front().name == "n7");
}
