#include <cstdlib>
#include <iostream>

#include "net/sidecar.h"
#include "options/command.h"

int main(int argc, char** argv) {
  indigorill::block_signals();
  return indigorill::run_command_line(
      argc, argv, [](const char* name) { return std::getenv(name); }, std::cout, std::cerr);
}
