/// \file
/// A text digest of an object's state, for exhaustive exploration in tests: two objects with the same digest
/// behave alike from now on.
#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock/clock_drift.h"

namespace indigorill {

/// Collects numbers into a text. Points in time are written relative to `now`, so that states that differ
/// only by a shift in time have equal digests.
class StateDigest {
 public:
  explicit StateDigest(Milliseconds now) : now_(now) {}

  /// Writes a value, truncated to a multiple of 1/16: values with the same multiple are taken as equal.
  StateDigest& put(double value) {
    constexpr double steps_per_unit = 16;
    std::array<char, 32> digits;
    const auto rounded = static_cast<std::int64_t>(value * steps_per_unit);
    text_.append(digits.data(), std::to_chars(digits.begin(), digits.end(), rounded).ptr);
    text_.push_back(' ');
    return *this;
  }
  StateDigest& put_integer(std::uint64_t value) { return put(static_cast<double>(value)); }
  /// Writes the time left until `when`; all points in the past are equal.
  StateDigest& put_remaining(Milliseconds when) { return put(std::max(0.0, when - now_)); }
  /// Writes the time since `when`; all points longer ago than `limit` are equal.
  StateDigest& put_elapsed(Milliseconds when, Milliseconds limit) {
    return put(std::min(now_ - when, limit));
  }
  StateDigest& put_text(std::string_view value) {
    text_.append(value);
    return *this;
  }

  Milliseconds now() const { return now_; }
  const std::string& text() const { return text_; }

 private:
  Milliseconds now_;
  std::string text_;
};

}  // namespace indigorill
