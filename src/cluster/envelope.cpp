#include "cluster/envelope.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/array_reader.h"
#include "cluster/message_codec.h"
#include "membership/member_name.h"

namespace indigorill {
namespace {

using nlohmann::json;

// The first element of each datagram. Datagrams of another version are rejected.
constexpr int format_version = 1;
constexpr std::size_t envelope_field_count = 8;

json encode_body(const Envelope& envelope) {
  switch (envelope.kind) {
    case Envelope::Kind::membership:
      return encode_swim_message(envelope.swim_message);
    case Envelope::Kind::load_gossip:
      return envelope.load_gossip;
    case Envelope::Kind::lease:
      return encode_lease_message(envelope.lease_message);
    case Envelope::Kind::quota_request:
      return encode_quota_request(envelope.quota_request);
    case Envelope::Kind::quota_grant:
      return encode_quota_grant(envelope.quota_grant);
  }
  return {};
}

// Moves the decoded message, if any, into the target. Returns whether there was one.
template <class Message>
bool assign(Message& target, std::optional<Message> decoded) {
  if (!decoded) return false;
  target = std::move(*decoded);
  return true;
}

// Decodes the body as the message that the envelope's kind names. Returns whether the body is valid.
bool decode_body(const json& body, Envelope& envelope) {
  switch (envelope.kind) {
    case Envelope::Kind::membership:
      return assign(envelope.swim_message, decode_swim_message(body));
    case Envelope::Kind::load_gossip:
      if (!body.is_string()) return false;
      envelope.load_gossip = body;
      return true;
    case Envelope::Kind::lease:
      return assign(envelope.lease_message, decode_lease_message(body));
    case Envelope::Kind::quota_request:
      return assign(envelope.quota_request, decode_quota_request(body));
    case Envelope::Kind::quota_grant:
      return assign(envelope.quota_grant, decode_quota_grant(body));
  }
  return false;
}

}  // namespace

std::string_view name_of(DecodeError error) {
  constexpr std::array<std::string_view, decode_error_count> names{"torn", "too_long", "other_form",
                                                                   "foreign"};
  return names[static_cast<std::size_t>(error)];
}

std::string encode(const Envelope& envelope) {
  const json fields =
      json::array({format_version, envelope.fleet, envelope.name, envelope.address, envelope.incarnation,
                   envelope.sequence_number, static_cast<int>(envelope.kind), encode_body(envelope)});
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return bytes;
}

std::variant<Envelope, DecodeError> decode_envelope(std::string_view bytes, std::string_view fleet) {
  if (bytes.size() > max_datagram_bytes) return DecodeError::too_long;
  constexpr bool is_strict = true;  // no bytes may follow the array
  constexpr bool may_throw = false;
  const json fields = json::from_msgpack(bytes.begin(), bytes.end(), is_strict, may_throw);
  if (!fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) return DecodeError::malformed;
  if (fields[0] != format_version) return DecodeError::unsupported_version;

  ArrayReader reader(fields, envelope_field_count);
  Envelope envelope;
  reader.read_unsigned();  // the version
  envelope.fleet = reader.read_text();
  envelope.name = reader.read_text();
  envelope.address = reader.read_text();
  envelope.incarnation = reader.read_unsigned();
  envelope.sequence_number = reader.read_unsigned();
  envelope.kind = reader.read_enum(Envelope::Kind::quota_grant);
  const json& body = reader.read_element();
  if (!reader.is_valid()) return DecodeError::malformed;
  if (envelope.fleet != fleet) return DecodeError::other_fleet;
  if (!is_valid_name(envelope.name) || !is_valid_name(envelope.address)) return DecodeError::malformed;
  if (!decode_body(body, envelope)) return DecodeError::malformed;
  return envelope;
}

}  // namespace indigorill
