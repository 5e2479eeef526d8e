#include "documents/readfile.h"

#include <fstream>
#include <sstream>

namespace cuminslip::documents {

auto
ReadFile(const std::string& aPath) -> leaf::result<std::string>
{
  const auto file = std::ifstream(aPath, std::ios::binary);
  auto text = std::ostringstream{};
  if (file) {
    text << file.rdbuf();
  }
  if (!file) {
    return leaf::new_error(Findings{
      { { { aPath, 0, 0 }, "", "can't be read", "a readable file" } } });
  }
  return text.str();
}

} // namespace cuminslip::documents
