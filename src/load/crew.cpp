#include "crew.h"

#include <algorithm>
#include <fstream>

namespace indigorill::loading {
void write_file(const std::filesystem::path& where, const std::string& text) {
  std::ofstream out(where);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write " + where.string());
}

namespace {

std::string options_of(const talking& how, const wire& between, const sockaddr_in& listen, std::size_t i) {
  std::string seeds;
  for (std::size_t s = 0; s < static_cast<std::size_t>(how.seeds); ++s)
    if (s != i) seeds.append(seeds.empty() ? "\"" : ", \"").append(between.place(s)).append("\"");
  std::ostringstream text;
  text << "[members]\nfleet = \"" << how.fleet << "\"\nlisten = \"" << text_of(listen) << "\"\nadvertise = \""
       << between.place(i) << "\"\nseeds = [" << seeds << "]\nperiod_ms = " << how.period
       << "\ntimeout_ms = " << how.timeout << "\nlease_ms = " << how.lease << "\nvoters = [";
  for (int v = 0; v < how.voters; ++v) text << (v ? ", " : "") << "\"n" << v << '"';
  text << "]\n";
  if (how.further_picks > 0)
    text << "[budgets]\nmost = " << how.most << "\nshare_ms = " << how.share
         << "\nseat_s = " << how.seat / 1000 << "\n[budgets.further_picks]\na_second = " << how.further_picks
         << "\nfloor = " << how.floor << "\n";
  return text.str();
}

}  // namespace

crew::crew(loop& in, std::string command, std::vector<sockaddr_in> at,
           const std::function<nlohmann::json(std::size_t)>& config, const std::optional<talking>& how,
           std::uint64_t seed)
    : runs(in), places(std::move(at)) {
  std::vector<sockaddr_in> ends(how ? places.size() : 0);
  std::vector<descriptor> until_doors_stand;
  for (sockaddr_in& end : ends) {
    until_doors_stand.push_back(hold_for_datagrams(end));
    staff.push_back(free_place());
  }
  if (how) talk = std::make_unique<wire>(runs, ends, how->manners, seed);
  for (std::size_t i = 0; i < places.size(); ++i) {
    const std::string name = std::string("n").append(std::to_string(i));
    nlohmann::json c = config(i);
    process::variables with{{"LB_CONFIG", files.path / (name + ".json")}};
    if (how) {
      c["admin_addr"] = text_of(staff[i]);
      with.emplace_back("TMPDIR", files.path);
      with.emplace_back("INDIGORILL_OPTIONS", files.path / (name + ".toml"));
      write_file(with.back().second, options_of(*how, *talk, ends[i], i));
    }
    write_file(with.front().second, c.dump(1));
    sidecars.push_back(std::make_unique<process>(command, with, files.path / (name + ".log")));
  }
}

bool crew::await(std::size_t i, double within) {
  return ready(runs, places[i], within, [&] { return sidecars[i]->ended(); });
}

nlohmann::json crew::asked(std::size_t i, const std::string& path) {
  constexpr double patience = 1000;
  const auto answer = get(runs, staff[i], path, patience);
  if (!answer || answer->status != 200) return {};
  const nlohmann::json j = nlohmann::json::parse(answer->body, nullptr, false);
  return j.is_discarded() ? nlohmann::json() : j;
}

bool crew::until(const std::function<bool()>& holds, double within) {
  constexpr double pause = 50;
  for (const double end = runs.now() + within; !holds();) {
    if (runs.now() >= end) return false;
    pass(pause);
  }
  return true;
}

void crew::pass(double ms) {
  for (const double end = runs.now() + ms; runs.now() < end;) runs.round(end - runs.now());
}

std::string crew::sees(std::size_t i, std::size_t other) {
  const nlohmann::json said = asked(i, "/-/members");
  const std::string name = std::string("n").append(std::to_string(other));
  if (said.is_object())
    for (const auto& m : said.at("others"))
      if (m.at("name") == name) return m.at("state");
  return "";
}

}  // namespace indigorill::loading
