#include "cluster/envelope.h"

#include <array>

namespace indigorill {
namespace {

using nlohmann::json;

constexpr int format_version = 1;  // a later one is not guessed at
constexpr std::size_t envelope_field_count = 8, swim_message_field_count = 5,
                      member_field_count = 4, lease_message_field_count = 7, quota_request_field_count = 5,
                      quota_grant_field_count = 8;
// Rounds and spans that no sound process reaches: what counts beyond them would come to its end.
constexpr std::uint64_t max_ballot_round = std::uint64_t{1} << 48;
constexpr double max_duration_ms = 86400000;  // ms

// Reads an array's entries one by one; the first that doesn't fit spoils the whole.
class ArrayReader {
 public:
  ArrayReader(const json& of, std::size_t fields)
      : array_(of), valid_(of.is_array() && of.size() == fields) {}

  std::string read_text() {
    const json* j = next_element();
    if (j && j->is_string() && j->get_ref<const std::string&>().size() <= max_name_bytes) return *j;
    valid_ = false;
    return {};
  }
  std::uint64_t read_unsigned(std::uint64_t most = UINT64_MAX) {
    const json* j = next_element();
    if (j && j->is_number_unsigned() && j->get<std::uint64_t>() <= most) return j->get<std::uint64_t>();
    valid_ = false;
    return 0;
  }
  double read_duration_ms() {
    const json* j = next_element();
    const double v = j && j->is_number() ? j->get<double>() : -1;
    if (v >= 0 && v <= max_duration_ms) return v;
    valid_ = false;
    return 0;
  }
  const json& read_element() {
    static const json nothing;
    const json* j = next_element();
    return j ? *j : nothing;
  }
  bool is_valid() const { return valid_; }

 private:
  const json* next_element() { return valid_ ? &array_[position_++] : nullptr; }
  const json& array_;
  std::size_t position_ = 0;
  bool valid_;
};

json encode_member(const Member& m) { return {m.name, m.address, m.incarnation, static_cast<int>(m.state)}; }

bool decode_member(const json& j, Member& m) {
  ArrayReader r(j, member_field_count);
  m.name = r.read_text();
  m.address = r.read_text();
  m.incarnation = r.read_unsigned();
  m.state = static_cast<Member::State>(r.read_unsigned(static_cast<int>(Member::State::left)));
  return r.is_valid() && is_valid_name(m.name) && is_valid_name(m.address);
}

bool decode_swim_message(const json& j, SwimMessage& g) {
  ArrayReader r(j, swim_message_field_count);
  g.kind = static_cast<SwimMessage::Kind>(r.read_unsigned(static_cast<int>(SwimMessage::Kind::view_page)));
  g.sequence_number = r.read_unsigned();
  g.target = r.read_text();
  g.target_address = r.read_text();
  const json& news = r.read_element();
  if (!r.is_valid() || !news.is_array()) return false;
  for (const json& n : news)
    if (!decode_member(n, g.updates.emplace_back())) return false;
  return (g.target.empty() || is_valid_name(g.target)) &&
         (g.target_address.empty() || is_valid_name(g.target_address));
}

json encode_lease_message(const LeaseMessage& w) {
  return {static_cast<int>(w.type),
          w.ballot.round,
          w.ballot.session,
          w.holder,
          w.holder_session,
          w.remaining_ms,
          w.previous_leases_remaining_ms};
}

bool decode_lease_message(const json& j, LeaseMessage& w) {
  ArrayReader r(j, lease_message_field_count);
  w.type = static_cast<LeaseMessage::Type>(r.read_unsigned(static_cast<int>(LeaseMessage::Type::released)));
  w.ballot.round = r.read_unsigned(max_ballot_round);
  w.ballot.session = r.read_unsigned();
  w.holder = r.read_text();
  w.holder_session = r.read_unsigned();
  w.remaining_ms = r.read_duration_ms();
  w.previous_leases_remaining_ms = r.read_duration_ms();
  return r.is_valid() && (w.holder.empty() || is_valid_name(w.holder));
}

json encode_quota_request(const QuotaRequest& a) {
  return {a.session, a.request_number, a.oldest_grant_in_use, a.registration_remaining_ms, a.demands};
}

bool decode_amounts(const json& j, std::vector<double>& units) {
  constexpr double most = 1e9;
  if (!j.is_array()) return false;
  for (const json& n : j)
    if (!n.is_number() || !(units.emplace_back(n.get<double>()) >= 0 && units.back() <= most)) return false;
  return true;
}

bool decode_quota_request(const json& j, QuotaRequest& a) {
  ArrayReader r(j, quota_request_field_count);
  a.session = r.read_unsigned();
  a.request_number = r.read_unsigned();
  a.oldest_grant_in_use = r.read_unsigned();
  a.registration_remaining_ms = r.read_duration_ms();
  return decode_amounts(r.read_element(), a.demands) && r.is_valid();
}

json encode_quota_grant(const QuotaGrant& g) {
  return {static_cast<int>(g.status), g.session, g.request_number,      g.duration_ms,
          g.registration_duration_ms, g.amounts, g.guaranteed_minimums, g.leader};
}

bool decode_quota_grant(const json& j, QuotaGrant& g) {
  ArrayReader r(j, quota_grant_field_count);
  g.status =
      static_cast<QuotaGrant::Status>(r.read_unsigned(static_cast<int>(QuotaGrant::Status::not_leader)));
  g.session = r.read_unsigned();
  g.request_number = r.read_unsigned();
  g.duration_ms = r.read_duration_ms();
  g.registration_duration_ms = r.read_duration_ms();
  if (!decode_amounts(r.read_element(), g.amounts) ||
      !decode_amounts(r.read_element(), g.guaranteed_minimums))
    return false;
  g.leader = r.read_text();
  return r.is_valid() && (g.leader.empty() || is_valid_name(g.leader));
}

}  // namespace

std::string_view name_of(DecodeError m) {
  constexpr std::array<std::string_view, decode_error_count> names{
      "torn", "too_long", "other_form", "foreign", "former", "doubled", "late"};
  return names[static_cast<std::size_t>(m)];
}

std::string encode(const Envelope& e) {
  json body;
  if (e.kind == Envelope::Kind::membership) {
    json news = json::array();
    for (const Member& m : e.swim_message.updates) news.push_back(encode_member(m));
    body = {static_cast<int>(e.swim_message.kind), e.swim_message.sequence_number, e.swim_message.target,
            e.swim_message.target_address, std::move(news)};
  } else if (e.kind == Envelope::Kind::lease) {
    body = encode_lease_message(e.lease_message);
  } else if (e.kind == Envelope::Kind::quota_request) {
    body = encode_quota_request(e.quota_request);
  } else if (e.kind == Envelope::Kind::quota_grant) {
    body = encode_quota_grant(e.quota_grant);
  } else {
    body = e.load_gossip;
  }
  std::string bytes;
  json::to_msgpack(json{format_version, e.fleet, e.name, e.address, e.incarnation, e.sequence_number,
                        static_cast<int>(e.kind), std::move(body)},
                   bytes);
  return bytes;
}

std::variant<Envelope, DecodeError> decode_envelope(std::string_view bytes, std::string_view fleet) {
  if (bytes.size() > max_datagram_bytes) return DecodeError::too_long;
  const json j = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (j.is_discarded() || !j.is_array() || j.empty() || !j[0].is_number_unsigned())
    return DecodeError::malformed;
  if (j[0] != format_version) return DecodeError::unsupported_version;
  ArrayReader r(j, envelope_field_count);
  Envelope e;
  r.read_unsigned();
  e.fleet = r.read_text();
  e.name = r.read_text();
  e.address = r.read_text();
  e.incarnation = r.read_unsigned();
  e.sequence_number = r.read_unsigned();
  e.kind = static_cast<Envelope::Kind>(r.read_unsigned(static_cast<int>(Envelope::Kind::quota_grant)));
  const json& body = r.read_element();
  if (!r.is_valid()) return DecodeError::malformed;
  if (e.fleet != fleet) return DecodeError::other_fleet;
  if (!is_valid_name(e.name) || !is_valid_name(e.address)) return DecodeError::malformed;
  if (e.kind == Envelope::Kind::load_gossip) {
    if (!body.is_string()) return DecodeError::malformed;
    e.load_gossip = body;
  } else if (e.kind == Envelope::Kind::lease) {
    if (!decode_lease_message(body, e.lease_message)) return DecodeError::malformed;
  } else if (e.kind == Envelope::Kind::quota_request) {
    if (!decode_quota_request(body, e.quota_request)) return DecodeError::malformed;
  } else if (e.kind == Envelope::Kind::quota_grant) {
    if (!decode_quota_grant(body, e.quota_grant)) return DecodeError::malformed;
  } else if (!decode_swim_message(body, e.swim_message)) {
    return DecodeError::malformed;
  }
  return e;
}

std::optional<DecodeError> ReplayFilter::check(const Envelope& e, double now) {
  constexpr std::uint64_t width = 64;
  constexpr std::size_t most = 10000;    // senders; past it the silent ones go, else all
  constexpr double forgotten = 3600000;  // ms
  if (senders_.size() >= most) {
    std::erase_if(senders_, [&](const auto& s) { return now - s.second.last_heard_at > forgotten; });
    if (senders_.size() >= most) senders_.clear();
  }
  Sender& s = senders_[e.name];
  if (e.incarnation < s.incarnation) return DecodeError::stale_incarnation;
  if (e.incarnation > s.incarnation)
    s = {e.incarnation, e.sequence_number, 1, now};
  else if (e.sequence_number > s.highest_sequence_number) {
    const std::uint64_t on = e.sequence_number - s.highest_sequence_number;
    s.received_window = on >= width ? 1 : (s.received_window << on) | 1;
    s.highest_sequence_number = e.sequence_number;
  } else {
    const std::uint64_t behind = s.highest_sequence_number - e.sequence_number;
    if (behind >= width) return DecodeError::outside_window;
    if (s.received_window >> behind & 1) return DecodeError::duplicate;
    s.received_window |= std::uint64_t{1} << behind;
  }
  s.last_heard_at = now;
  return {};
}

}  // namespace indigorill
