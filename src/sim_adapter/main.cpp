// The program indigorill-sim-adapter: runs load balancers for the simulator, which writes events to the
// standard input and reads the decisions from the standard output.
#include <exception>
#include <iostream>

#include "sim_adapter/sim_protocol.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    indigorill::run_sim_adapter(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "indigorill: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
