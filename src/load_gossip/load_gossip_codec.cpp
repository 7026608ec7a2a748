#include "load_gossip/load_gossip_codec.h"

#include <algorithm>
#include <cmath>

namespace indigorill {
namespace {

// A form is told by its first byte, so that a later one is not guessed at.
constexpr char complete_format = 'a', delta_format = 'b';
constexpr std::size_t max_message_bytes = 256;

// Digits of base 90: printable, and none that JSON would write as two bytes.
constexpr std::string_view digit_alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'()*+,-./:;<=>?@[]^_`{|";
constexpr std::uint32_t radix = 90;
static_assert(digit_alphabet.size() == radix && LoadGossip::sequence_modulus <= radix * radix &&
              LoadGossip::endpoint_tag_count <= radix * radix);

void append_digits(std::string& to, std::uint32_t value, int places) {
  for (int i = 0; i < places; ++i, value /= radix) to += digit_alphabet[value % radix];
}

// Takes a number off the front; none where there is no such.
std::optional<std::uint32_t> take(std::string_view& from, int places) {
  if (from.size() < static_cast<std::size_t>(places)) return {};
  std::uint32_t value = 0, unit = 1;
  for (int i = 0; i < places; ++i, unit *= radix) {
    const std::size_t digit = digit_alphabet.find(from[static_cast<std::size_t>(i)]);
    if (digit == std::string_view::npos) return {};
    value += static_cast<std::uint32_t>(digit) * unit;
  }
  from.remove_prefix(static_cast<std::size_t>(places));
  return value;
}

// RPCs in hand and failures share one digit: 18 by 5.
constexpr std::uint32_t max_in_flight = 17, max_failures = 4;

std::uint32_t round_and_clamp(double value, std::uint32_t most) {
  return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, static_cast<double>(most)));
}

}  // namespace

std::string encode_load_gossip(const LoadGossip& n) {
  constexpr std::uint32_t most = radix - 1;  // of tenants, and of a tenant's RPCs a second
  const std::size_t tenants = std::min<std::size_t>(n.arrivals_per_s.size(), most);
  std::string text(1, n.is_complete ? complete_format : delta_format);
  append_digits(text, n.sequence % LoadGossip::sequence_modulus, 2);
  append_digits(text, static_cast<std::uint32_t>(tenants), 1);
  for (std::size_t i = 0; i < tenants; ++i)
    append_digits(text, round_and_clamp(n.arrivals_per_s[i], most), 1);
  for (const LoadGossip::EndpointLoad& s : n.endpoint_loads) {
    if (text.size() + 3 > max_message_bytes) break;
    append_digits(text, s.endpoint_tag % LoadGossip::endpoint_tag_count, 2);
    append_digits(text,
                  round_and_clamp(s.in_flight, max_in_flight) * (max_failures + 1) +
                      round_and_clamp(s.failures, max_failures),
                  1);
  }
  return text;
}

std::optional<LoadGossip> decode_load_gossip(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > max_message_bytes ||
      (bytes.front() != complete_format && bytes.front() != delta_format))
    return {};
  LoadGossip n;
  n.is_complete = bytes.front() == complete_format;
  bytes.remove_prefix(1);
  const auto serial = take(bytes, 2), tenants = take(bytes, 1);
  if (!serial || !tenants) return {};
  n.sequence = *serial;
  for (std::uint32_t i = 0; i < *tenants; ++i) {
    const auto rate = take(bytes, 1);
    if (!rate) return {};
    n.arrivals_per_s.push_back(*rate);
  }
  while (!bytes.empty()) {
    const auto server = take(bytes, 2), known = take(bytes, 1);
    if (!server || !known) return {};
    n.endpoint_loads.push_back({*server, static_cast<double>(*known / (max_failures + 1)),
                                static_cast<double>(*known % (max_failures + 1))});
  }
  return n;
}

}  // namespace indigorill
