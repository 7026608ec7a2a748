#include <cstdlib>
#include <iostream>

#include "net/sidecar.h"
#include "options/command.h"

int main(int argc, char** argv) {
  indigorill::hold_signals();
  return indigorill::command(
      argc, argv, [](const char* name) { return std::getenv(name); }, std::cout, std::cerr);
}
