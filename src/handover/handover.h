// What two processes of one sidecar make of each other while the newer takes over from the older: who takes
// new connections, who hurries its clients along, and how much of the limits each may use. No I/O: told what
// the other one's record says and whether it lives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace indigorill {

// What a process says of itself to the other.
struct record {
  enum class stage { starting, serving, leaving } at = stage::starting;
  double born = 0;         // Unix ms; the older process is the elder
  std::uint64_t bans = 0;  // the revision of the bans that is in force here
  bool made_room = false;  // it keeps to its part of the limits
  bool operator==(const record&) const = default;
};

// The endpoints out by hand, as all processes of a sidecar have agreed.
struct bans {
  std::uint64_t revision = 0;
  std::set<std::string, std::less<>> out;
  // When the others were put back, Unix ms: a newcomer must take them for as cold as the elder does.
  std::map<std::string, double, std::less<>> back;
  bool operator==(const bans&) const = default;
};

void take_out(bans& b, const std::string& id);
void put_back(bans& b, const std::string& id, double now);

std::string encode(const record& r);
std::string encode(const bans& b);
// None for what is torn, foreign or of another format: it is taken for nothing.
std::optional<record> decode_record(const std::string& text);
std::optional<bans> decode_bans(const std::string& text);

class handover {
 public:
  explicit handover(double born) { own.born = born; }

  const record& self() const { return own; }

  void sees(std::optional<record> of_other, bool other_lives);
  void serves() { own.at = record::stage::serving; }
  void leaves() { own.at = record::stage::leaving; }
  void applied(std::uint64_t revision) { own.bans = revision; }
  void made_room(bool has) { own.made_room = has; }

  bool paired() const { return lives; }
  // Where the other one's record can't be read, who still starts takes itself for the newcomer.
  bool newcomer() const {
    return lives && (other ? other->born < own.born : own.at == record::stage::starting);
  }
  bool elder() const { return lives && !newcomer(); }

  // Takes new connections. An elder leaves them to a newcomer that serves, a newcomer begins when it is told
  // to serve; whoever is left alone takes all.
  bool accepts() const;
  // Each answer ends its connection, so that clients move over before the elder is told to stop.
  bool hurries() const { return elder() && other && other->at == record::stage::serving; }
  // The part of the limits that is its own. A newcomer has less than half until the elder has made room.
  double share() const;
  // The elder keeps to its part, so that a newcomer may take connections.
  bool has_room() const { return !newcomer() || (other && other->made_room); }
  // What was asked of one is in force in both.
  bool agreed(std::uint64_t revision) const { return !lives || (other && other->bans >= revision); }

 private:
  record own;
  std::optional<record> other;
  bool lives = false;
};

}  // namespace indigorill
