// Runs the scenario files named on the command line.
#include <fstream>
#include <iostream>

#include "world/scenario.h"

int main(int argc, char** argv) {
  int bad = 0;
  for (int i = 1; i < argc; ++i) {
    std::ifstream in(argv[i]);
    if (!in) {
      std::cerr << argv[i] << ": cannot be read\n";
      return 2;
    }
    try {
      auto complaints = world::runScenario(in);
      for (const auto& c : complaints) std::cout << argv[i] << ": " << c << "\n";
      bad += !complaints.empty();
    } catch (const std::exception& e) {
      std::cerr << argv[i] << ": " << e.what() << "\n";
      return 2;
    }
  }
  return argc < 2 ? 2 : bad > 0;
}
