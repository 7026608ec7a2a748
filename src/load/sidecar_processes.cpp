#include "load/sidecar_processes.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "load/http_get.h"
#include "load/http_response.h"
#include "load/loopback.h"

namespace indigorill::load_generator {
namespace {

constexpr double admin_timeout_ms = 1000;
constexpr double condition_interval_ms = 50;
constexpr double ms_per_second = 1000;

std::string sidecar_name(std::size_t sidecar) { return std::string("n").append(std::to_string(sidecar)); }

std::string quoted_list(const std::vector<std::string>& items) {
  std::string list;
  for (const std::string& item : items) list.append(list.empty() ? "\"" : ", \"").append(item).append("\"");
  return list;
}

std::string format_options(const GossipOptions& gossip, const DatagramProxy& proxy,
                           const sockaddr_in& listen_address, std::size_t sidecar) {
  std::vector<std::string> seeds;
  for (std::size_t seed = 0; seed < static_cast<std::size_t>(gossip.seed_count); ++seed) {
    if (seed != sidecar) seeds.push_back(proxy.address_for_peers(seed));
  }
  std::vector<std::string> voters;
  for (std::size_t voter = 0; voter < static_cast<std::size_t>(gossip.voter_count); ++voter)
    voters.push_back(sidecar_name(voter));
  std::ostringstream text;
  text << "[members]\n"
       << "fleet = \"" << gossip.cluster_name << "\"\n"
       << "listen = \"" << format_address(listen_address) << "\"\n"
       << "advertise = \"" << proxy.address_for_peers(sidecar) << "\"\n"
       << "seeds = [" << quoted_list(seeds) << "]\n"
       << "period_ms = " << gossip.probe_interval_ms << "\n"
       << "timeout_ms = " << gossip.probe_timeout_ms << "\n"
       << "lease_ms = " << gossip.lease_ms << "\n"
       << "voters = [" << quoted_list(voters) << "]\n";
  if (gossip.retries_per_second > 0) {
    text << "[budgets]\n"
         << "most = " << gossip.max_quota_holders << "\n"
         << "share_ms = " << gossip.quota_refresh_ms << "\n"
         << "seat_s = " << gossip.registration_lease_ms / ms_per_second << "\n"
         << "[budgets.further_picks]\n"
         << "a_second = " << gossip.retries_per_second << "\n"
         << "floor = " << gossip.guaranteed_minimum << "\n";
  }
  return text.str();
}

}  // namespace

void write_file(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file.flush()) throw std::runtime_error("can't write " + path.string());
}

SidecarProcesses::SidecarProcesses(EventLoop& loop, const std::string& command,
                                   std::vector<sockaddr_in> addresses, const ConfigFactory& make_config,
                                   const std::optional<GossipOptions>& gossip, std::uint64_t seed)
    : loop_(loop), addresses_(std::move(addresses)) {
  std::vector<sockaddr_in> datagram_addresses(gossip ? addresses_.size() : 0);
  // These ports stay reserved until the proxy has bound its own sockets, so that the kernel gives it none of
  // them.
  std::vector<FileDescriptor> reservations;
  for (sockaddr_in& address : datagram_addresses) {
    reservations.push_back(reserve_datagram_port(address));
    admin_addresses_.push_back(reserve_port());
  }
  if (gossip)
    datagram_proxy_ = std::make_unique<DatagramProxy>(loop_, datagram_addresses, gossip->conditions, seed);
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    SidecarProcess::Environment environment = write_files(i, make_config(i), gossip, datagram_addresses);
    const std::string log_file = directory_.path / (sidecar_name(i) + ".log");
    processes_.push_back(std::make_unique<SidecarProcess>(command, std::move(environment), log_file));
  }
}

// Writes the files of one sidecar and returns the environment variables that name them.
SidecarProcess::Environment SidecarProcesses::write_files(
    std::size_t sidecar, nlohmann::json config, const std::optional<GossipOptions>& gossip,
    const std::vector<sockaddr_in>& datagram_addresses) {
  constexpr int json_indent = 1;
  const std::filesystem::path config_file = directory_.path / (sidecar_name(sidecar) + ".json");
  SidecarProcess::Environment environment{{"LB_CONFIG", config_file}};
  if (gossip) {
    const std::filesystem::path options_file = directory_.path / (sidecar_name(sidecar) + ".toml");
    config["admin_addr"] = format_address(admin_addresses_[sidecar]);
    environment.emplace_back("TMPDIR", directory_.path);
    environment.emplace_back("INDIGORILL_OPTIONS", options_file);
    write_file(options_file, format_options(*gossip, *datagram_proxy_, datagram_addresses[sidecar], sidecar));
  }
  write_file(config_file, config.dump(json_indent));
  return environment;
}

void SidecarProcesses::replace_config(std::size_t sidecar, const nlohmann::json& config) const {
  constexpr int json_indent = 1;
  // The file is written under another name and then renamed, so that the sidecar never reads a part of it.
  const std::filesystem::path config_file = directory_.path / (sidecar_name(sidecar) + ".json");
  const std::filesystem::path written = directory_.path / (sidecar_name(sidecar) + ".json.new");
  write_file(written, config.dump(json_indent));
  std::filesystem::rename(written, config_file);
}

bool SidecarProcesses::wait_until_ready(std::size_t sidecar, double timeout_ms) {
  return load_generator::wait_until_ready(loop_, addresses_[sidecar], timeout_ms,
                                          [&] { return processes_[sidecar]->has_exited(); });
}

nlohmann::json SidecarProcesses::admin_query(std::size_t sidecar, const std::string& path) {
  const auto answer = http_get(loop_, admin_addresses_[sidecar], path, admin_timeout_ms);
  if (!answer || answer->status != ok_status) return {};
  const nlohmann::json parsed = nlohmann::json::parse(answer->body, nullptr, false);
  return parsed.is_discarded() ? nlohmann::json() : parsed;
}

std::string SidecarProcesses::membership_view(std::size_t sidecar, std::size_t other) {
  const nlohmann::json view = admin_query(sidecar, "/-/members");
  if (!view.is_object()) return "";
  for (const auto& member : view.at("others")) {
    if (member.at("name") == sidecar_name(other)) return member.at("state");
  }
  return "";
}

bool SidecarProcesses::wait_until(const std::function<bool()>& condition, double timeout_ms) {
  const double end_ms = loop_.now() + timeout_ms;
  while (!condition()) {
    if (loop_.now() >= end_ms) return false;
    run_for(condition_interval_ms);
  }
  return true;
}

void SidecarProcesses::run_for(double duration_ms) {
  const double end_ms = loop_.now() + duration_ms;
  while (loop_.now() < end_ms) loop_.run_once(end_ms - loop_.now());
}

}  // namespace indigorill::load_generator
