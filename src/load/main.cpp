#include <iostream>

#include "load/play.h"

int main(int argc, char** argv) { return indigorill::loading::run_command(argc, argv, std::cout, std::cerr); }
