#include "load/load_faults.h"

#include <sys/socket.h>

#include <csignal>
#include <set>
#include <utility>

#include "emulator/workload.h"
#include "event/socket.h"

namespace indigorill::load_generator {
namespace {

using emulator::EventPriority;
using emulator::Fault;
using emulator::RandomStream;
using Kind = emulator::Fault::Kind;

constexpr double ready_interval_ms = 5;  // between attempts to connect to a restarted sidecar

void schedule_event(const FaultTargets& targets, double time_ms, emulator::EventQueue::Callback callback) {
  targets.bed.clock.schedule(time_ms, EventPriority::fault, std::move(callback));
}

void schedule_load_surge(const FaultTargets& targets, const Fault& fault) {
  LoadClients& clients = targets.clients;
  const double factor = fault.factor;
  schedule_event(targets, fault.start_ms, [&clients, factor] { clients.multiply_rate(factor); });
  schedule_event(targets, fault.start_ms + fault.duration_ms,
                 [&clients, factor] { clients.multiply_rate(1 / factor); });
}

// Cuts the given sidecars off from all others, or connects them again. `one_way` affects only datagrams to
// the given sidecars.
void set_partition(SidecarProcesses& sidecars, const std::set<std::size_t>& cut_off, bool one_way,
                   bool is_partitioned) {
  DatagramProxy& proxy = sidecars.datagram_proxy();
  for (std::size_t other = 0; other < sidecars.size(); ++other) {
    if (cut_off.count(other) > 0) continue;
    for (const std::size_t sidecar : cut_off) {
      proxy.set_partitioned(other, sidecar, is_partitioned);
      if (!one_way) proxy.set_partitioned(sidecar, other, is_partitioned);
    }
  }
}

void schedule_gossip_partition(const FaultTargets& targets, const Fault& fault, RandomStream& random) {
  SidecarProcesses& sidecars = *targets.sidecars;
  const auto sample = emulator::sample_indices(sidecars.size(), fault.share, random);
  const std::set<std::size_t> cut_off(sample.begin(), sample.end());
  const bool one_way = fault.one_way;
  schedule_event(targets, fault.start_ms,
                 [&sidecars, cut_off, one_way] { set_partition(sidecars, cut_off, one_way, true); });
  schedule_event(targets, fault.start_ms + fault.duration_ms,
                 [&sidecars, cut_off, one_way] { set_partition(sidecars, cut_off, one_way, false); });
}

bool accepts_connections(const sockaddr_in& address) {
  const FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  return socket && ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

// Starts the application of a sidecar once the sidecar accepts connections. The wait does not block other
// applications.
void start_application_when_ready(LoadTestBed& bed, LoadClients& clients, std::size_t sidecar) {
  if (accepts_connections(bed.sidecar_addresses[sidecar])) return clients.on_sidecar_started(sidecar);
  bed.clock.schedule(bed.clock.now() + ready_interval_ms, EventPriority::client,
                     [&bed, &clients, sidecar] { start_application_when_ready(bed, clients, sidecar); });
}

// Emulates a machine that stands still: the application stops with its sidecar, and the application's open
// requests are lost.
void schedule_suspension(const FaultTargets& targets, std::size_t sidecar, double start_ms, double end_ms) {
  SidecarProcess& process = targets.sidecars->process(sidecar);
  LoadClients& clients = targets.clients;
  schedule_event(targets, start_ms, [&process, &clients, sidecar] {
    process.send_signal(SIGSTOP);
    clients.on_sidecar_stopped(sidecar);
  });
  schedule_event(targets, end_ms, [&process, &clients, sidecar] {
    process.send_signal(SIGCONT);
    clients.on_sidecar_started(sidecar);
  });
}

void schedule_restart(const FaultTargets& targets, std::size_t sidecar, Kind kind, double start_ms,
                      double end_ms) {
  SidecarProcess& process = targets.sidecars->process(sidecar);
  LoadClients& clients = targets.clients;
  LoadTestBed& bed = targets.bed;
  schedule_event(targets, start_ms, [&process, &clients, sidecar, kind] {
    if (kind == Kind::terminate_sidecars)
      process.send_signal(SIGTERM);
    else
      process.kill_and_wait();
    clients.on_sidecar_stopped(sidecar);
  });
  schedule_event(targets, end_ms, [&process, &clients, &bed, sidecar] {
    process.kill_and_wait();  // in case the process got SIGTERM and has not exited
    process.start();
    start_application_when_ready(bed, clients, sidecar);
  });
}

void schedule_sidecar_fault(const FaultTargets& targets, const Fault& fault, RandomStream& random) {
  for (const std::size_t sidecar : emulator::sample_indices(targets.sidecars->size(), fault.share, random)) {
    const double start_ms = fault.start_ms + fault.spread_ms * random.uniform();
    const double end_ms = start_ms + fault.duration_ms;
    if (fault.kind == Kind::suspend_sidecars)
      schedule_suspension(targets, sidecar, start_ms, end_ms);
    else
      schedule_restart(targets, sidecar, fault.kind, start_ms, end_ms);
  }
}

}  // namespace

bool is_sidecar_fault(Kind kind) {
  return kind == Kind::restart_sidecars || kind == Kind::suspend_sidecars ||
         kind == Kind::terminate_sidecars || kind == Kind::gossip_partition;
}

void schedule_fault(const FaultTargets& targets, const Fault& fault, std::size_t index, std::uint64_t seed) {
  if (fault.kind == Kind::load_surge) return schedule_load_surge(targets, fault);
  if (!is_sidecar_fault(fault.kind)) return targets.bed.fleet->schedule_fault(fault, index);
  RandomStream random(emulator::derive_seed(seed, emulator::RandomPurpose::fault_schedule, index + 1));
  if (fault.kind == Kind::gossip_partition) return schedule_gossip_partition(targets, fault, random);
  schedule_sidecar_fault(targets, fault, random);
}

}  // namespace indigorill::load_generator
