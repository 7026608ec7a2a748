#include "cluster/replay_filter.h"

#include <array>

namespace indigorill {
namespace {

constexpr std::uint64_t window_bits = 64;
// Bounds the memory that datagrams of forged senders can take up.
constexpr std::size_t max_senders = 10000;
// Once there are too many senders, those that were silent for longer than this are removed first.
constexpr double sender_retention_ms = 3600000;

}  // namespace

std::string_view name_of(ReplayError error) {
  constexpr std::array<std::string_view, replay_error_count> names{"former", "doubled", "late"};
  return names[static_cast<std::size_t>(error)];
}

std::optional<ReplayError> ReplayFilter::check(const Envelope& envelope, double now) {
  limit_senders(now);
  Sender& sender = senders_[envelope.name];
  const std::optional<ReplayError> error = update_window(sender, envelope);
  if (!error) sender.last_heard_at = now;
  return error;
}

std::optional<ReplayError> ReplayFilter::update_window(Sender& sender, const Envelope& envelope) {
  if (envelope.incarnation < sender.incarnation) return ReplayError::stale_incarnation;
  if (envelope.incarnation > sender.incarnation) {
    sender.incarnation = envelope.incarnation;
    sender.highest_sequence_number = envelope.sequence_number;
    sender.received_window = 1;
    return {};
  }
  if (envelope.sequence_number > sender.highest_sequence_number) {
    const std::uint64_t advance = envelope.sequence_number - sender.highest_sequence_number;
    sender.received_window = advance >= window_bits ? 1 : (sender.received_window << advance) | 1;
    sender.highest_sequence_number = envelope.sequence_number;
    return {};
  }
  const std::uint64_t age = sender.highest_sequence_number - envelope.sequence_number;
  if (age >= window_bits) return ReplayError::outside_window;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((sender.received_window & bit) != 0) return ReplayError::duplicate;
  sender.received_window |= bit;
  return {};
}

void ReplayFilter::limit_senders(double now) {
  if (senders_.size() < max_senders) return;
  std::erase_if(senders_,
                [&](const auto& entry) { return now - entry.second.last_heard_at > sender_retention_ms; });
  if (senders_.size() >= max_senders) senders_.clear();
}

}  // namespace indigorill
