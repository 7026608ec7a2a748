#include "load_gossip/load_gossip_codec.h"

#include <algorithm>
#include <cmath>

namespace indigorill {
namespace {

// The first byte names the format, so that a message of a later format is not misread.
constexpr char complete_format = 'a';
constexpr char delta_format = 'b';
constexpr std::size_t max_message_bytes = 256;

// Digits of base 90: printable characters that JSON does not escape.
constexpr std::string_view digit_alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'()*+,-./:;<=>?@[]^_`{|";
constexpr std::uint32_t radix = 90;
static_assert(digit_alphabet.size() == radix && LoadGossip::sequence_modulus <= radix * radix &&
              LoadGossip::endpoint_tag_count <= radix * radix);

constexpr int sequence_digits = 2;
constexpr int tenant_count_digits = 1;
constexpr int arrivals_digits = 1;
constexpr int tag_digits = 2;
constexpr int load_digits = 1;

// Attempts in flight and failures share one digit, with 18 and 5 possible values.
constexpr std::uint32_t max_in_flight = 17;
constexpr std::uint32_t max_failures = 4;
static_assert((max_in_flight + 1) * (max_failures + 1) <= radix);

void append_digits(std::string& text, std::uint32_t value, int count) {
  for (int i = 0; i < count; ++i) {
    text += digit_alphabet[value % radix];
    value /= radix;
  }
}

// Removes a number of `count` digits from the front of `bytes`; none if they don't start with one.
std::optional<std::uint32_t> take_digits(std::string_view& bytes, int count) {
  const auto size = static_cast<std::size_t>(count);
  if (bytes.size() < size) return {};
  std::uint32_t value = 0;
  std::uint32_t unit = 1;
  for (const char byte : bytes.substr(0, size)) {
    const std::size_t digit = digit_alphabet.find(byte);
    if (digit == std::string_view::npos) return {};
    value += static_cast<std::uint32_t>(digit) * unit;
    unit *= radix;
  }
  bytes.remove_prefix(size);
  return value;
}

std::uint32_t round_and_clamp(double value, std::uint32_t max) {
  return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, static_cast<double>(max)));
}

}  // namespace

std::string encode_load_gossip(const LoadGossip& gossip) {
  constexpr std::uint32_t max_digit = radix - 1;  // for the number of tenants, and the arrivals/s of each
  const std::size_t tenant_count = std::min<std::size_t>(gossip.arrivals_per_s.size(), max_digit);
  std::string text(1, gossip.is_complete ? complete_format : delta_format);
  append_digits(text, gossip.sequence % LoadGossip::sequence_modulus, sequence_digits);
  append_digits(text, static_cast<std::uint32_t>(tenant_count), tenant_count_digits);
  for (std::size_t i = 0; i < tenant_count; ++i)
    append_digits(text, round_and_clamp(gossip.arrivals_per_s[i], max_digit), arrivals_digits);
  for (const LoadGossip::EndpointLoad& load : gossip.endpoint_loads) {
    if (text.size() + tag_digits + load_digits > max_message_bytes) break;
    const std::uint32_t in_flight = round_and_clamp(load.in_flight, max_in_flight);
    const std::uint32_t failures = round_and_clamp(load.failures, max_failures);
    append_digits(text, load.endpoint_tag % LoadGossip::endpoint_tag_count, tag_digits);
    append_digits(text, in_flight * (max_failures + 1) + failures, load_digits);
  }
  return text;
}

std::optional<LoadGossip> decode_load_gossip(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > max_message_bytes) return {};
  const char format = bytes.front();
  if (format != complete_format && format != delta_format) return {};
  bytes.remove_prefix(1);
  LoadGossip gossip;
  gossip.is_complete = format == complete_format;
  const auto sequence = take_digits(bytes, sequence_digits);
  const auto tenant_count = take_digits(bytes, tenant_count_digits);
  if (!sequence || !tenant_count) return {};
  gossip.sequence = *sequence;
  for (std::uint32_t i = 0; i < *tenant_count; ++i) {
    const auto arrivals = take_digits(bytes, arrivals_digits);
    if (!arrivals) return {};
    gossip.arrivals_per_s.push_back(*arrivals);
  }
  while (!bytes.empty()) {
    const auto tag = take_digits(bytes, tag_digits);
    const auto load = take_digits(bytes, load_digits);
    if (!tag || !load) return {};
    const std::uint32_t in_flight = *load / (max_failures + 1);
    const std::uint32_t failures = *load % (max_failures + 1);
    gossip.endpoint_loads.push_back({*tag, static_cast<double>(in_flight), static_cast<double>(failures)});
  }
  return gossip;
}

}  // namespace indigorill
