/// \file
/// A text that stands for the state of an object, for exhaustive exploration in tests: two objects with the
/// same digest behave alike from now on.
#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock/clock_drift.h"

namespace indigorill {

/// Collects numbers into a text. Points in time are written relative to `now`, so that states which differ by
/// a shift in time alone are equal.
class StateDigest {
 public:
  explicit StateDigest(Milliseconds now) : now_(now) {}

  /// To a sixteenth; what differs by less is taken for equal.
  StateDigest& put(double value) {
    constexpr double steps_per_unit = 16;
    std::array<char, 32> digits;
    const auto rounded = static_cast<std::int64_t>(value * steps_per_unit);
    text_.append(digits.data(), std::to_chars(digits.begin(), digits.end(), rounded).ptr);
    text_.push_back(' ');
    return *this;
  }
  StateDigest& put_integer(std::uint64_t value) { return put(static_cast<double>(value)); }
  /// The time left until `when`; all that is past is equal.
  StateDigest& put_remaining(Milliseconds when) { return put(std::max(0.0, when - now_)); }
  /// The time since `when`; all that is longer ago than `limit` is equal.
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
