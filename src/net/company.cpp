#include "company.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <limits>
#include <random>
#include <system_error>

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 4> states{"alive", "suspect", "dead", "left"};

std::string_view name_of(member::state s) { return states[static_cast<std::size_t>(s)]; }

// Later than that of this sidecar's last start, if the machine's clock is right; if not, the others say so.
std::uint64_t new_incarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

}  // namespace

double company::now() const {
  // Not the loop's clock: that one stands while a machine is suspended, and who slept must know it.
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

company::company(loop& in, logger& log_to, traits with, std::uint64_t seed)
    : runs(in),
      lines(log_to),
      is(std::move(with)),
      others({is.name, is.advertised, is.seeds, is.period, is.timeout}, new_incarnation(), seed, now()),
      chance(static_cast<std::knuth_b::result_type>(seed + 3)) {
  if (!is.voters.empty()) {
    // No session may come twice, whatever the machine's clock says.
    std::random_device any;
    const std::uint64_t session = std::uint64_t{any()} << 32 | any();
    right.emplace(lease::traits{is.name, is.voters, is.lease, is.drift}, session, seed + 1, now());
    if (is.budgets) own.emplace(*is.budgets, session);
  }
  take_place();
}

void company::take_place() {
  try {
    wire = std::make_unique<datagrams>(runs, is.listen,
                                       [this](std::string_view bytes, const sockaddr_in&) { hear(bytes); });
    lines.info() << "member " << is.name << " of " << is.fleet << ", incarnation " << others.incarnation();
    work();
  } catch (const std::system_error& e) {
    // An older process of this sidecar may hold it until it leaves: RPCs go on without.
    constexpr double again = 100;  // ms
    lines.debug() << "no place for datagrams yet: " << e.what();
    next = runs.at(runs.now() + again, [this] { take_place(); });
  }
}

void company::hear(std::string_view bytes) {
  if (gone) return;
  ++counts.heard;
  const auto drop = [&](misfit why) {
    ++counts.dropped[static_cast<std::size_t>(why)];
    lines.debug() << "datagram of " << bytes.size() << " bytes dropped: " << name_of(why);
  };
  const auto got = decode_envelope(bytes, is.fleet);
  if (const auto* why = std::get_if<misfit>(&got)) return drop(*why);
  const envelope& e = std::get<envelope>(got);
  if (const auto why = seen.saw(e, now())) return drop(*why);
  if (e.what == envelope::kind::lease && right) right->heard(now(), e.name, e.vote);
  if (e.what == envelope::kind::ask && own) {
    envelope back;
    back.what = envelope::kind::grant;
    back.grants = answer(e.asks);
    send(e.address, std::move(back));
  }
  if (e.what == envelope::kind::grant && own) {
    own->heard(now(), e.grants);
    unheard = 0;
    // Who was asked in vain names the holder. Once for each question: two that name each other would be asked
    // in turn for ever.
    if (e.grants.what == share_grant::kind::not_mine) {
      whom = e.grants.holder;
      if (!whom.empty() && std::exchange(may_ask_on, false)) ask_at = now();
    }
  }
  if (e.what == envelope::kind::gossip) others.heard(now(), e.name, e.address, e.talk);
  work();
}

void company::send(const std::string& to, envelope e) {
  e.fleet = is.fleet;
  e.name = is.name;
  e.address = is.advertised;
  e.incarnation = others.incarnation();
  e.serial = ++serials;
  const std::string bytes = encode(e);
  const auto where = parse_address(to);
  if (!wire || !where || bytes.size() > longest_datagram || !wire->send(*where, bytes)) {
    ++counts.unsent;
    return;
  }
  ++counts.sent;
  counts.bytes_sent += bytes.size();
}

void company::work() {
  if (gone) return;
  others.due(now());
  while (auto l = others.next()) {
    envelope e;
    e.talk = std::move(l->what);
    send(l->to, std::move(e));
  }
  vote();
  ask_for_share();
  note_changes();
  constexpr double least = 1;  // ms; a loop that only turns round its own due times serves nobody
  next = runs.at(
      runs.now() + std::max(least, std::min({others.next_due(), right ? right->next_due() : others.next_due(),
                                             own ? ask_at : others.next_due()}) -
                                       now()),
      [this] { work(); });
}

void company::vote() {
  if (!right) return;
  right->due(now());
  while (auto l = right->next()) {
    envelope e;
    e.what = envelope::kind::lease;
    e.vote = std::move(l->what);
    send(others.address_of(l->to), std::move(e));
  }
}

share_grant company::answer(const share_ask& a) {
  if (!right || !right->holds(now())) {
    share_grant g{share_grant::kind::not_mine, a.session, a.number, 0, 0, {}, {}, {}};
    if (right) g.holder = right->known_holder(now());
    return g;
  }
  if (!divides) {
    divides.emplace(*is.budgets);
    divides->begin(now(), right->quiet_from());
  }
  return divides->answer(now(), right->ends_at(), a);
}

void company::ask_for_share() {
  if (!own || now() < ask_at) return;
  ask_at = now() + is.budgets->share / 3;  // two questions may be lost before a share ends
  const share_ask a = own->ask(now());
  if (right->holds(now())) {
    own->heard(now(), answer(a));
  } else {
    // Whom it knows to divide may be dead: after two questions without an answer any voter is asked.
    constexpr int patience = 2;
    if (unheard++ >= patience) whom.clear();
    if (whom.empty() || whom == is.name || others.address_of(whom).empty()) {
      whom = is.voters[std::uniform_int_distribution<std::size_t>(0, is.voters.size() - 1)(chance)];
      may_ask_on = true;
    }
    envelope e;
    e.what = envelope::kind::ask;
    e.asks = a;
    send(others.address_of(whom), std::move(e));
  }
  if (std::exchange(full, own->full()) != own->full())
    lines.warning() << (full ? "more sidecars than allowed: no part of any budget is ours"
                             : "a place among the sharers is free again");
}

std::optional<std::size_t> company::number_of(std::string_view budget) const {
  if (own)
    for (std::size_t i = 0; i < is.budgets->budgets.size(); ++i)
      if (is.budgets->budgets[i].name == budget) return i;
  return {};
}

double company::left(std::string_view budget) {
  const auto i = number_of(budget);
  return i ? own->left(now(), *i) : std::numeric_limits<double>::infinity();
}

bool company::take(std::string_view budget) {
  const auto i = number_of(budget);
  return !i || own->take(now(), *i);
}

void company::wanted(std::string_view budget) {
  if (const auto i = number_of(budget)) own->wanted(now(), *i);
}

nlohmann::json company::budgets_as_json() {
  const bool is_ours = divides && right->holds(now());
  nlohmann::json all = nlohmann::json::array();
  for (std::size_t i = 0; own && i < is.budgets->budgets.size(); ++i) {
    const budget_of_all& b = is.budgets->budgets[i];
    all.push_back({{"name", b.name},
                   {"whole", b.whole},
                   {"floor", b.floor},
                   {"window_ms", b.window},
                   {"own", own->allowed(now(), i)},
                   {"left", own->left(now(), i)},
                   {"granted", own->counted(i).granted},
                   {"denied", own->counted(i).denied},
                   {"given_by_us", is_ours ? divides->given(now(), i) : 0}});
  }
  return {{"budgets", all},
          {"shared", own && own->shared(now())},
          {"seated", own && own->seated(now())},
          {"full", own && own->full()},
          {"sharers", is_ours ? divides->sharers(now()) : 0}};
}

void company::note_changes() {
  // What it gave is known to nobody else, and others may give after it: it begins anew with the next right.
  if (divides && !right->holds(now())) divides.reset();
  const std::string known = right ? right->known_holder(now()) : "";
  if (std::exchange(holder, known) != known)
    lines.info() << (holder.empty() ? "nobody is known to divide" : "the right to divide is with " + holder);
  for (const auto& [name, m] : others.view()) {
    const auto [it, fresh] = noted.emplace(name, m.is);
    if (!fresh && it->second == m.is) continue;
    lines.info() << "member " << name << " at " << m.address << " is " << name_of(m.is);
    it->second = m.is;
  }
  if (noted.size() > others.view().size())
    std::erase_if(noted, [&](const auto& n) { return others.view().count(n.first) == 0; });
  if (std::exchange(displaced, others.displaced()) != others.displaced())
    lines.warning() << (displaced ? "another process has the name " : "again the only one with the name ")
                    << is.name;
}

void company::leave() {
  if (gone) return;
  if (right) right->leave(now());
  vote();
  others.leave();
  while (auto l = others.next()) {
    envelope e;
    e.talk = std::move(l->what);
    send(l->to, std::move(e));
  }
  gone = true;
  next.drop();
  wire.reset();  // a newer process of this sidecar may have the place
}

nlohmann::json company::as_json() const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [name, m] : others.view())
    all.push_back(
        {{"name", name}, {"address", m.address}, {"state", name_of(m.is)}, {"incarnation", m.incarnation}});
  nlohmann::json by_state, dropped;
  const auto n = others.by_state();
  for (std::size_t i = 0; i < n.size(); ++i) by_state[std::string(states[i])] = n[i];
  for (std::size_t i = 0; i < misfits; ++i)
    dropped[std::string(indigorill::name_of(static_cast<misfit>(i)))] = counts.dropped[i];
  const auto& c = others.counted();
  nlohmann::json dividing;
  if (right)
    dividing = {{"holder", right->known_holder(now())},
                {"holds", right->holds(now())},
                {"left_ms", right->holds(now()) ? right->ends_at() - now() : 0},
                {"ballot", right->number().round},
                {"votes", right->votes()},
                {"abstains", right->votes() && right->abstains(now())}};
  return {{"fleet", is.fleet},
          {"right", dividing},
          {"name", is.name},
          {"address", is.advertised},
          {"incarnation", others.incarnation()},
          {"displaced", others.displaced()},
          {"doubt", others.doubt()},
          {"by_state", by_state},
          {"others", all},
          {"datagrams",
           {{"sent", counts.sent},
            {"unsent", counts.unsent},
            {"heard", counts.heard},
            {"bytes_sent", counts.bytes_sent},
            {"dropped", dropped}}},
          {"probes",
           {{"sent", c.probes},
            {"indirect", c.indirect},
            {"unanswered", c.unanswered},
            {"refuted", c.refuted},
            {"slept", c.slept}}}};
}

}  // namespace indigorill
