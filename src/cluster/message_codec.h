/// \file
/// The bodies of datagrams, one for each kind of message, as arrays of MessagePack (nlohmann::json).
///
/// The bodies are arrays rather than objects, since the names of fields would take up most of a datagram. The
/// order of the elements is the wire format. Each decoder returns nothing if any part of the body is invalid.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "lease/lease_message.h"
#include "membership/swim_message.h"
#include "quota/quota_message.h"

namespace indigorill {

nlohmann::json encode_swim_message(const SwimMessage& message);
std::optional<SwimMessage> decode_swim_message(const nlohmann::json& body);

nlohmann::json encode_lease_message(const LeaseMessage& message);
std::optional<LeaseMessage> decode_lease_message(const nlohmann::json& body);

nlohmann::json encode_quota_request(const QuotaRequest& request);
std::optional<QuotaRequest> decode_quota_request(const nlohmann::json& body);

nlohmann::json encode_quota_grant(const QuotaGrant& grant);
std::optional<QuotaGrant> decode_quota_grant(const nlohmann::json& body);

}  // namespace indigorill
