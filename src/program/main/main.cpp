#include "program/serve.h"

#include <iostream>
#include <string>
#include <vector>

auto
main(int aCount, char** aArguments) -> int
{
  const auto arguments =
    std::vector<std::string>(aArguments + 1, aArguments + aCount);
  if (arguments.size() == 3 && arguments[0] == "serve" &&
      arguments[1] == "--settings") {
    return cuminslip::program::Serve(arguments[2], std::cerr);
  }
  std::cerr << "usage: cuminslip serve --settings FILE\n";
  return 1;
}
