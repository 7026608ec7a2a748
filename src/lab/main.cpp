#include <iostream>

#include "cli.h"

int main(int argc, char** argv) { return indigorill::lab::command(argc, argv, std::cout, std::cerr); }
