#include <iostream>

#include "emulator/cli.h"

int main(int argc, char** argv) { return indigorill::lab::run_command(argc, argv, std::cout, std::cerr); }
