#include <cstdlib>
#include <iostream>

#include "net/sidecar.h"

int main() {
  using namespace indigorill;
  try {
    const char* word = std::getenv("INDIGORILL_LOG");
    logger lines(std::cerr, parse_level(word ? word : "").value_or(level::info));
    run_sidecar(
        read_start(std::getenv), [] { return read_again(std::getenv); }, lines);
  } catch (const std::exception& e) {
    std::cerr << "indigorill: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
