#include <iostream>

#include "load/command_line.h"

int main(int argc, char** argv) {
  return indigorill::load_generator::run_command(argc, argv, std::cout, std::cerr);
}
