#include <cstdlib>
#include <iostream>

#include "options/command.h"

int main(int argc, char** argv) {
  return indigorill::command(
      argc, argv, [](const char* name) { return std::getenv(name); }, std::cout, std::cerr);
}
