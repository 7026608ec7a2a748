#include "handover.h"

#include <nlohmann/json.hpp>

namespace indigorill {
namespace {

using nlohmann::json;

// Its own name and a number that rises with each change of the form: another program's file, or one of
// another version, is not guessed at.
constexpr const char* format = "indigorill-handover-1";

constexpr const char* stages[] = {"starting", "serving", "leaving"};

std::optional<json> opened(const std::string& text, const char* kind) {
  json j = json::parse(text, nullptr, false);
  if (!j.is_object() || j.value("format", json()) != format || j.value("kind", json()) != kind) return {};
  return j;
}

}  // namespace

std::string encode(const record& r) {
  return json{{"format", format}, {"kind", "record"}, {"at", stages[static_cast<int>(r.at)]},
              {"born", r.born},   {"bans", r.bans},   {"made_room", r.made_room}}
      .dump();
}

std::string encode(const bans& b) {
  return json{
      {"format", format}, {"kind", "bans"}, {"revision", b.revision}, {"out", b.out}, {"back", b.back}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<record> decode_record(const std::string& text) try {
  const auto j = opened(text, "record");
  if (!j) return {};
  record r;
  const std::string at = j->at("at");
  int stage = 0;
  while (stage < 3 && at != stages[stage]) ++stage;
  if (stage == 3) return {};
  r.at = static_cast<record::stage>(stage);
  r.born = j->at("born");
  r.bans = j->at("bans");
  r.made_room = j->at("made_room");
  return r;
} catch (const json::exception&) {
  return {};
}

std::optional<bans> decode_bans(const std::string& text) try {
  const auto j = opened(text, "bans");
  if (!j) return {};
  bans b;
  b.revision = j->at("revision");
  for (const json& id : j->at("out")) b.out.insert(id.get<std::string>());
  for (const auto& [id, when] : j->at("back").items()) b.back[id] = when.get<double>();
  return b;
} catch (const json::exception&) {
  return {};
}

void take_out(bans& b, const std::string& id) {
  b.out.insert(id);
  b.back.erase(id);
}

void put_back(bans& b, const std::string& id, double now) {
  if (b.out.erase(id)) b.back[id] = now;
  constexpr double day = 24 * 3600 * 1000.0;  // whatever started before that is warm
  std::erase_if(b.back, [&](const auto& other) { return other.second < now - day; });
}

void handover::sees(std::optional<record> of_other, bool other_lives) {
  lives = other_lives;
  other = lives ? of_other : std::nullopt;
}

bool handover::accepts() const {
  if (own.at == record::stage::starting) return false;
  return !hurries();
}

double handover::share() const {
  // Both at once may hold no more than one alone, from the newcomer's first moment: it starts on what the
  // elder's reserve leaves over, a tenth, and is at its half when the elder says that it has made room.
  constexpr double half = 0.5, least = 0.1;
  if (!lives) return 1;
  if (elder()) return half;
  return other && other->made_room ? half : least;
}

}  // namespace indigorill
