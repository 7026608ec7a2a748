// The program indigorill-sim-adapter: load balancers that decide for the simulator on standard input and
// output.
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
