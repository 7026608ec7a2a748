#include <iostream>

#include "sim_adapter/sim_protocol.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    indigorill::run_sim_adapter(std::cin, std::cout);
  } catch (const std::exception& e) {
    std::cerr << "indigorill: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
