#include "cluster/message_codec.h"

#include "cluster/array_reader.h"
#include "membership/member_name.h"

namespace indigorill {
namespace {

using nlohmann::json;

// Number of elements of each array.
constexpr std::size_t member_field_count = 4;
constexpr std::size_t swim_message_field_count = 5;
constexpr std::size_t lease_message_field_count = 7;
constexpr std::size_t quota_request_field_count = 5;
constexpr std::size_t quota_grant_field_count = 8;

// No correct process reaches this round; a ballot at the end of the integer's range could not be exceeded.
constexpr std::uint64_t max_ballot_round = std::uint64_t{1} << 48;

json encode_member(const Member& member) {
  return json::array({member.name, member.address, member.incarnation, static_cast<int>(member.state)});
}

std::optional<Member> decode_member(const json& body) {
  ArrayReader reader(body, member_field_count);
  Member member;
  member.name = reader.read_text();
  member.address = reader.read_text();
  member.incarnation = reader.read_unsigned();
  member.state = reader.read_enum(Member::State::left);
  if (!reader.is_valid() || !is_valid_name(member.name) || !is_valid_name(member.address)) return {};
  return member;
}

std::optional<std::vector<Member>> decode_members(const json& body) {
  if (!body.is_array()) return {};
  std::vector<Member> members;
  for (const json& element : body) {
    std::optional<Member> member = decode_member(element);
    if (!member) return {};
    members.push_back(std::move(*member));
  }
  return members;
}

// Decodes the amounts of units, one for each budget.
std::optional<std::vector<double>> decode_amounts(const json& body) {
  constexpr double max_amount = 1e9;
  if (!body.is_array()) return {};
  std::vector<double> amounts;
  for (const json& element : body) {
    if (!element.is_number()) return {};
    const auto amount = element.get<double>();
    const bool is_in_range = amount >= 0 && amount <= max_amount;  // false for NaN too
    if (!is_in_range) return {};
    amounts.push_back(amount);
  }
  return amounts;
}

}  // namespace

json encode_swim_message(const SwimMessage& message) {
  json updates = json::array();
  for (const Member& member : message.updates) updates.push_back(encode_member(member));
  return json::array({static_cast<int>(message.kind), message.sequence_number, message.target,
                      message.target_address, std::move(updates)});
}

std::optional<SwimMessage> decode_swim_message(const json& body) {
  ArrayReader reader(body, swim_message_field_count);
  SwimMessage message;
  message.kind = reader.read_enum(SwimMessage::Kind::view_page);
  message.sequence_number = reader.read_unsigned();
  message.target = reader.read_optional_name();
  message.target_address = reader.read_optional_name();
  std::optional<std::vector<Member>> updates = decode_members(reader.read_element());
  if (!reader.is_valid() || !updates) return {};
  message.updates = std::move(*updates);
  return message;
}

json encode_lease_message(const LeaseMessage& message) {
  return json::array({static_cast<int>(message.type), message.ballot.round, message.ballot.session,
                      message.holder, message.holder_session, message.remaining_ms,
                      message.previous_leases_remaining_ms});
}

std::optional<LeaseMessage> decode_lease_message(const json& body) {
  ArrayReader reader(body, lease_message_field_count);
  LeaseMessage message;
  message.type = reader.read_enum(LeaseMessage::Type::released);
  message.ballot.round = reader.read_unsigned(max_ballot_round);
  message.ballot.session = reader.read_unsigned();
  message.holder = reader.read_optional_name();
  message.holder_session = reader.read_unsigned();
  message.remaining_ms = reader.read_duration_ms();
  message.previous_leases_remaining_ms = reader.read_duration_ms();
  if (!reader.is_valid()) return {};
  return message;
}

json encode_quota_request(const QuotaRequest& request) {
  return json::array({request.session, request.request_number, request.oldest_grant_in_use,
                      request.registration_remaining_ms, request.demands});
}

std::optional<QuotaRequest> decode_quota_request(const json& body) {
  ArrayReader reader(body, quota_request_field_count);
  QuotaRequest request;
  request.session = reader.read_unsigned();
  request.request_number = reader.read_unsigned();
  request.oldest_grant_in_use = reader.read_unsigned();
  request.registration_remaining_ms = reader.read_duration_ms();
  std::optional<std::vector<double>> demands = decode_amounts(reader.read_element());
  if (!reader.is_valid() || !demands) return {};
  request.demands = std::move(*demands);
  return request;
}

json encode_quota_grant(const QuotaGrant& grant) {
  return json::array({static_cast<int>(grant.status), grant.session, grant.request_number, grant.duration_ms,
                      grant.registration_duration_ms, grant.amounts, grant.guaranteed_minimums,
                      grant.leader});
}

std::optional<QuotaGrant> decode_quota_grant(const json& body) {
  ArrayReader reader(body, quota_grant_field_count);
  QuotaGrant grant;
  grant.status = reader.read_enum(QuotaGrant::Status::not_leader);
  grant.session = reader.read_unsigned();
  grant.request_number = reader.read_unsigned();
  grant.duration_ms = reader.read_duration_ms();
  grant.registration_duration_ms = reader.read_duration_ms();
  std::optional<std::vector<double>> amounts = decode_amounts(reader.read_element());
  std::optional<std::vector<double>> guaranteed_minimums = decode_amounts(reader.read_element());
  grant.leader = reader.read_optional_name();
  if (!reader.is_valid() || !amounts || !guaranteed_minimums) return {};
  grant.amounts = std::move(*amounts);
  grant.guaranteed_minimums = std::move(*guaranteed_minimums);
  return grant;
}

}  // namespace indigorill
