/// Hash functions for seeds, for the jitter of schedules and for rendezvous hashing.
#pragma once

#include <cstdint>

namespace indigorill {

/// The finalizer of SplitMix64: spreads the entropy of a key over all 64 bits.
constexpr std::uint64_t splitmix64_finalize(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// A fraction from 0 to 1 that depends on the key alone.
constexpr double unit_fraction(std::uint64_t key) {
  return static_cast<double>(splitmix64_finalize(key)) * 0x1p-64;
}

/// FNV-1a over the bytes of an id.
template <class Text>
constexpr std::uint64_t fnv1a_hash(const Text& text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const unsigned char byte : text) hash = (hash ^ byte) * 1099511628211ULL;
  return hash;
}

/// Score of an endpoint for a routing key; the key prefers the endpoint with the highest score.
constexpr std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t id_hash) {
  return splitmix64_finalize(id_hash ^ splitmix64_finalize(key));
}

}  // namespace indigorill
