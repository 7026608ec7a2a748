/// \file
/// The encoding of datagrams: which bytes are decoded and which are rejected. Fixed bytes are in
/// fixtures_test.cpp.
#include "cluster/envelope.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <variant>

#include "membership/membership.h"

namespace {

using indigorill::decode_envelope;
using indigorill::DecodeError;
using indigorill::encode;
using indigorill::Envelope;
using indigorill::max_datagram_bytes;
using indigorill::Member;
using indigorill::Membership;
using indigorill::SwimMessage;

Envelope make_envelope() {
  Envelope envelope;
  envelope.fleet = "maps";
  envelope.name = "n1";
  envelope.address = "127.0.0.1:7001";
  envelope.incarnation = 77;
  envelope.sequence_number = 3;
  envelope.kind = Envelope::Kind::membership;
  return envelope;
}

/// Returns the error with which the bytes are rejected; fails the test if they are accepted.
DecodeError error_of(const std::string& bytes, const std::string& fleet = "maps") {
  const auto decoded = decode_envelope(bytes, fleet);
  REQUIRE(std::holds_alternative<DecodeError>(decoded));
  return std::get<DecodeError>(decoded);
}

std::string random_bytes(std::mt19937_64& random) {
  std::string bytes(random() % 1400, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

std::string corrupt(std::string bytes, std::mt19937_64& random) {
  for (std::uint64_t n = 1 + random() % 4; n > 0; --n) {
    char& byte = bytes[random() % bytes.size()];
    byte = static_cast<char>(random());
  }
  return bytes;
}

}  // namespace

TEST_CASE("envelope: an encoded envelope is decoded again and invalid or foreign bytes are rejected") {
  Envelope envelope = make_envelope();
  envelope.swim_message = {.kind = SwimMessage::Kind::ping_request,
                           .sequence_number = 9,
                           .target = "n2",
                           .target_address = "127.0.0.1:7002",
                           .updates = {{Member::State::dead, "n3", "127.0.0.1:7003", 5}}};
  const std::string bytes = encode(envelope);
  const auto decoded = decode_envelope(bytes, "maps");
  REQUIRE(std::holds_alternative<Envelope>(decoded));
  CHECK(std::get<Envelope>(decoded).swim_message == envelope.swim_message);
  CHECK(std::get<Envelope>(decoded).incarnation == 77);

  CHECK(error_of(bytes, "books") == DecodeError::other_fleet);
  CHECK(error_of(std::string(max_datagram_bytes + 1, 'a')) == DecodeError::too_long);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(error_of(bytes.substr(0, size)) == DecodeError::malformed);
  }
  std::string later_version = bytes;
  REQUIRE(later_version[1] == 1);
  later_version[1] = 2;
  CHECK(error_of(later_version) == DecodeError::unsupported_version);
  envelope.name = "n1\nall is well";
  CHECK(error_of(encode(envelope)) == DecodeError::malformed);
}

TEST_CASE("envelope: random and corrupted bytes are decoded and processed or rejected without a crash") {
  std::mt19937_64 random(11);
  Envelope envelope = make_envelope();
  for (int i = 0; i < 12; ++i) {
    envelope.swim_message.updates.push_back(
        {Member::State::alive, std::string("m").append(std::to_string(i)), "127.0.0.1:1", 1});
  }
  const std::string valid_bytes = encode(envelope);
  int read_count = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string bytes = i % 2 == 0 ? random_bytes(random) : corrupt(valid_bytes, random);
    const auto decoded = decode_envelope(bytes, "maps");
    if (!std::holds_alternative<Envelope>(decoded)) continue;
    ++read_count;
    const auto& read = std::get<Envelope>(decoded);
    Membership membership({"n0", "127.0.0.1:7000", {}, 1000, 300}, 1, 1, 0);
    membership.on_message(0, read.name, read.address, read.swim_message);
    while (membership.next_message()) continue;
  }
  CHECK(read_count > 0);
  CHECK(read_count < 20000);
}
