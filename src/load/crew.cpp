#include "load/crew.h"

#include <algorithm>
#include <fstream>

namespace indigorill::loading {
void write_file(const std::filesystem::path& where, const std::string& text) {
  std::ofstream out(where);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write " + where.string());
}

namespace {

std::string format_options(const GossipOptions& how, const DatagramProxy& between, const sockaddr_in& listen,
                           std::size_t i) {
  std::string seeds;
  for (std::size_t s = 0; s < static_cast<std::size_t>(how.seed_count); ++s)
    if (s != i) seeds.append(seeds.empty() ? "\"" : ", \"").append(between.address_for_peers(s)).append("\"");
  std::ostringstream text;
  text << "[members]\nfleet = \"" << how.cluster_name << "\"\nlisten = \"" << format_address(listen)
       << "\"\nadvertise = \"" << between.address_for_peers(i) << "\"\nseeds = [" << seeds
       << "]\nperiod_ms = " << how.probe_interval_ms << "\ntimeout_ms = " << how.probe_timeout_ms
       << "\nlease_ms = " << how.lease_ms << "\nvoters = [";
  for (int v = 0; v < how.voter_count; ++v) text << (v ? ", " : "") << "\"n" << v << '"';
  text << "]\n";
  if (how.retries_per_second > 0)
    text << "[budgets]\nmost = " << how.max_quota_holders << "\nshare_ms = " << how.quota_refresh_ms
         << "\nseat_s = " << how.registration_lease_ms / 1000
         << "\n[budgets.further_picks]\na_second = " << how.retries_per_second
         << "\nfloor = " << how.guaranteed_minimum << "\n";
  return text.str();
}

}  // namespace

SidecarProcesses::SidecarProcesses(EventLoop& in, std::string command, std::vector<sockaddr_in> at,
                                   const std::function<nlohmann::json(std::size_t)>& config,
                                   const std::optional<GossipOptions>& how, std::uint64_t seed)
    : loop_(in), addresses_(std::move(at)) {
  std::vector<sockaddr_in> ends(how ? addresses_.size() : 0);
  std::vector<FileDescriptor> until_doors_stand;
  for (sockaddr_in& end : ends) {
    until_doors_stand.push_back(reserve_datagram_port(end));
    admin_addresses_.push_back(reserve_port());
  }
  if (how) datagram_proxy_ = std::make_unique<DatagramProxy>(loop_, ends, how->conditions, seed);
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const std::string name = std::string("n").append(std::to_string(i));
    nlohmann::json c = config(i);
    SidecarProcess::Environment with{{"LB_CONFIG", directory_.path / (name + ".json")}};
    if (how) {
      c["admin_addr"] = format_address(admin_addresses_[i]);
      with.emplace_back("TMPDIR", directory_.path);
      with.emplace_back("INDIGORILL_OPTIONS", directory_.path / (name + ".toml"));
      write_file(with.back().second, format_options(*how, *datagram_proxy_, ends[i], i));
    }
    write_file(with.front().second, c.dump(1));
    processes_.push_back(std::make_unique<SidecarProcess>(command, with, directory_.path / (name + ".log")));
  }
}

bool SidecarProcesses::wait_until_ready(std::size_t i, double within) {
  return loading::wait_until_ready(loop_, addresses_[i], within, [&] { return processes_[i]->has_exited(); });
}

nlohmann::json SidecarProcesses::admin_query(std::size_t i, const std::string& path) {
  constexpr double patience = 1000;
  const auto answer = http_get(loop_, admin_addresses_[i], path, patience);
  if (!answer || answer->status != 200) return {};
  const nlohmann::json j = nlohmann::json::parse(answer->body, nullptr, false);
  return j.is_discarded() ? nlohmann::json() : j;
}

bool SidecarProcesses::wait_until(const std::function<bool()>& holds, double within) {
  constexpr double pause = 50;
  for (const double end = loop_.now() + within; !holds();) {
    if (loop_.now() >= end) return false;
    run_for(pause);
  }
  return true;
}

void SidecarProcesses::run_for(double ms) {
  for (const double end = loop_.now() + ms; loop_.now() < end;) loop_.run_once(end - loop_.now());
}

std::string SidecarProcesses::membership_view(std::size_t i, std::size_t other) {
  const nlohmann::json said = admin_query(i, "/-/members");
  const std::string name = std::string("n").append(std::to_string(other));
  if (said.is_object())
    for (const auto& m : said.at("others"))
      if (m.at("name") == name) return m.at("state");
  return "";
}

}  // namespace indigorill::loading
