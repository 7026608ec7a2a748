/// \file
/// Which datagrams of a sender are accepted, judged by its incarnation and their sequence numbers.
#include "cluster/replay_filter.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace {

using indigorill::Envelope;
using indigorill::ReplayError;
using indigorill::ReplayFilter;

Envelope make_envelope(const std::string& name, std::uint64_t incarnation, std::uint64_t sequence_number) {
  Envelope envelope;
  envelope.fleet = "maps";
  envelope.name = name;
  envelope.address = "127.0.0.1:1";
  envelope.incarnation = incarnation;
  envelope.sequence_number = sequence_number;
  return envelope;
}

}  // namespace

TEST_CASE(
    "replay filter: a datagram that is a duplicate or too late or of an earlier incarnation is dropped") {
  struct Row {
    std::uint64_t incarnation;
    std::uint64_t sequence_number;
    std::optional<ReplayError> error;
  };
  const Row rows[] = {
      {5, 10, {}},  {5, 10, ReplayError::duplicate},       {5, 12, {}},
      {5, 11, {}},  {5, 11, ReplayError::duplicate},       {5, 200, {}},
      {5, 137, {}}, {5, 136, ReplayError::outside_window}, {4, 300, ReplayError::stale_incarnation},
      {6, 1, {}},   {6, 1, ReplayError::duplicate},        {5, 201, ReplayError::stale_incarnation}};
  ReplayFilter filter;
  for (const Row& row : rows) {
    CAPTURE(row.sequence_number);
    CHECK(filter.check(make_envelope("n1", row.incarnation, row.sequence_number), 0) == row.error);
  }
  CHECK_FALSE(filter.check(make_envelope("n2", 1, 1), 0));
}
