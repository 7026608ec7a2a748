#include "envelope.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace indigorill {
namespace {

using nlohmann::json;

constexpr int form = 1;  // a later one is not guessed at
constexpr std::size_t longest_text = 64, fields_of_envelope = 8, fields_of_gossip = 5, fields_of_member = 4,
                      fields_of_vote = 7, fields_of_ask = 5, fields_of_grant = 8;
// Rounds and spans that no sound process reaches: what counts beyond them would come to its end.
constexpr std::uint64_t most_rounds = std::uint64_t{1} << 48;
constexpr double longest_span = 86400000;  // ms

// Reads an array's entries one by one; the first that doesn't fit spoils the whole.
class reader {
 public:
  reader(const json& of, std::size_t fields) : from(of), sound(of.is_array() && of.size() == fields) {}

  std::string text() {
    const json* j = next();
    if (j && j->is_string() && j->get_ref<const std::string&>().size() <= longest_text) return *j;
    sound = false;
    return {};
  }
  std::uint64_t number(std::uint64_t most = UINT64_MAX) {
    const json* j = next();
    if (j && j->is_number_unsigned() && j->get<std::uint64_t>() <= most) return j->get<std::uint64_t>();
    sound = false;
    return 0;
  }
  double span() {
    const json* j = next();
    const double v = j && j->is_number() ? j->get<double>() : -1;
    if (v >= 0 && v <= longest_span) return v;
    sound = false;
    return 0;
  }
  const json& any() {
    static const json nothing;
    const json* j = next();
    return j ? *j : nothing;
  }
  bool fits() const { return sound; }

 private:
  const json* next() { return sound ? &from[at++] : nullptr; }
  const json& from;
  std::size_t at = 0;
  bool sound;
};

json of_member(const member& m) { return {m.name, m.address, m.incarnation, static_cast<int>(m.is)}; }

bool read_member(const json& j, member& m) {
  reader r(j, fields_of_member);
  m.name = r.text();
  m.address = r.text();
  m.incarnation = r.number();
  m.is = static_cast<member::state>(r.number(static_cast<int>(member::state::left)));
  return r.fits() && plain_name(m.name) && plain_name(m.address);
}

bool read_gossip(const json& j, gossip& g) {
  reader r(j, fields_of_gossip);
  g.what = static_cast<gossip::kind>(r.number(static_cast<int>(gossip::kind::page)));
  g.number = r.number();
  g.target = r.text();
  g.target_at = r.text();
  const json& news = r.any();
  if (!r.fits() || !news.is_array()) return false;
  for (const json& n : news)
    if (!read_member(n, g.news.emplace_back())) return false;
  return (g.target.empty() || plain_name(g.target)) && (g.target_at.empty() || plain_name(g.target_at));
}

json of_vote(const lease_word& w) {
  return {
      static_cast<int>(w.what), w.number.round, w.number.session, w.holder, w.session, w.remaining, w.quiet};
}

bool read_vote(const json& j, lease_word& w) {
  reader r(j, fields_of_vote);
  w.what = static_cast<lease_word::kind>(r.number(static_cast<int>(lease_word::kind::released)));
  w.number.round = r.number(most_rounds);
  w.number.session = r.number();
  w.holder = r.text();
  w.session = r.number();
  w.remaining = r.span();
  w.quiet = r.span();
  return r.fits() && (w.holder.empty() || plain_name(w.holder));
}

json of_ask(const share_ask& a) { return {a.session, a.number, a.goes_by, a.seat_left, a.wants}; }

bool read_units(const json& j, std::vector<double>& units) {
  constexpr double most = 1e9;
  if (!j.is_array()) return false;
  for (const json& n : j)
    if (!n.is_number() || !(units.emplace_back(n.get<double>()) >= 0 && units.back() <= most)) return false;
  return true;
}

bool read_ask(const json& j, share_ask& a) {
  reader r(j, fields_of_ask);
  a.session = r.number();
  a.number = r.number();
  a.goes_by = r.number();
  a.seat_left = r.span();
  return read_units(r.any(), a.wants) && r.fits();
}

json of_grant(const share_grant& g) {
  return {static_cast<int>(g.what), g.session, g.number, g.lasts, g.seat, g.amounts, g.floors, g.holder};
}

bool read_grant(const json& j, share_grant& g) {
  reader r(j, fields_of_grant);
  g.what = static_cast<share_grant::kind>(r.number(static_cast<int>(share_grant::kind::not_mine)));
  g.session = r.number();
  g.number = r.number();
  g.lasts = r.span();
  g.seat = r.span();
  if (!read_units(r.any(), g.amounts) || !read_units(r.any(), g.floors)) return false;
  g.holder = r.text();
  return r.fits() && (g.holder.empty() || plain_name(g.holder));
}

}  // namespace

bool plain_name(std::string_view name) {
  constexpr std::string_view others = "-_.:/";
  return !name.empty() && name.size() <= longest_text &&
         std::all_of(name.begin(), name.end(), [&](unsigned char c) {
           return std::isalnum(c) || others.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

std::string_view name_of(misfit m) {
  constexpr std::array<std::string_view, misfits> names{"torn",   "too_long", "other_form", "foreign",
                                                        "former", "doubled",  "late"};
  return names[static_cast<std::size_t>(m)];
}

std::string encode(const envelope& e) {
  json body;
  if (e.what == envelope::kind::gossip) {
    json news = json::array();
    for (const member& m : e.talk.news) news.push_back(of_member(m));
    body = {static_cast<int>(e.talk.what), e.talk.number, e.talk.target, e.talk.target_at, std::move(news)};
  } else if (e.what == envelope::kind::lease) {
    body = of_vote(e.vote);
  } else if (e.what == envelope::kind::ask) {
    body = of_ask(e.asks);
  } else if (e.what == envelope::kind::grant) {
    body = of_grant(e.grants);
  } else {
    body = e.told;
  }
  std::string bytes;
  json::to_msgpack(json{form, e.fleet, e.name, e.address, e.incarnation, e.serial, static_cast<int>(e.what),
                        std::move(body)},
                   bytes);
  return bytes;
}

std::variant<envelope, misfit> decode_envelope(std::string_view bytes, std::string_view fleet) {
  if (bytes.size() > longest_datagram) return misfit::too_long;
  const json j = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (j.is_discarded() || !j.is_array() || j.empty() || !j[0].is_number_unsigned()) return misfit::torn;
  if (j[0] != form) return misfit::other_form;
  reader r(j, fields_of_envelope);
  envelope e;
  r.number();
  e.fleet = r.text();
  e.name = r.text();
  e.address = r.text();
  e.incarnation = r.number();
  e.serial = r.number();
  e.what = static_cast<envelope::kind>(r.number(static_cast<int>(envelope::kind::grant)));
  const json& body = r.any();
  if (!r.fits()) return misfit::torn;
  if (e.fleet != fleet) return misfit::foreign;
  if (!plain_name(e.name) || !plain_name(e.address)) return misfit::torn;
  if (e.what == envelope::kind::news) {
    if (!body.is_string()) return misfit::torn;
    e.told = body;
  } else if (e.what == envelope::kind::lease) {
    if (!read_vote(body, e.vote)) return misfit::torn;
  } else if (e.what == envelope::kind::ask) {
    if (!read_ask(body, e.asks)) return misfit::torn;
  } else if (e.what == envelope::kind::grant) {
    if (!read_grant(body, e.grants)) return misfit::torn;
  } else if (!read_gossip(body, e.talk)) {
    return misfit::torn;
  }
  return e;
}

std::optional<misfit> seen_serials::saw(const envelope& e, double now) {
  constexpr std::uint64_t width = 64;
  constexpr std::size_t most = 10000;    // senders; past it the silent ones go, else all
  constexpr double forgotten = 3600000;  // ms
  if (senders.size() >= most) {
    std::erase_if(senders, [&](const auto& s) { return now - s.second.heard > forgotten; });
    if (senders.size() >= most) senders.clear();
  }
  sender& s = senders[e.name];
  if (e.incarnation < s.incarnation) return misfit::former;
  if (e.incarnation > s.incarnation)
    s = {e.incarnation, e.serial, 1, now};
  else if (e.serial > s.last) {
    const std::uint64_t on = e.serial - s.last;
    s.window = on >= width ? 1 : (s.window << on) | 1;
    s.last = e.serial;
  } else {
    const std::uint64_t behind = s.last - e.serial;
    if (behind >= width) return misfit::late;
    if (s.window >> behind & 1) return misfit::doubled;
    s.window |= std::uint64_t{1} << behind;
  }
  s.heard = now;
  return {};
}

}  // namespace indigorill
