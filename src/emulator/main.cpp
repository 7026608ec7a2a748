#include <iostream>

#include "emulator/command_line.h"

int main(int argc, char** argv) {
  return indigorill::emulator::run_command(argc, argv, std::cout, std::cerr);
}
