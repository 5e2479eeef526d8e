#pragma once

#include <cstdint>
#include <string>

namespace cuminslip::requests {

/// Which of the usual request forms a caller used, and so gets answers in.
enum class CompletionForm : std::uint8_t
{
  Completion,
  Chat
};

/// A completion request, whatever its form.
struct CompletionRequest
{
  CompletionForm mForm = CompletionForm::Completion;
  std::string mModel;
  std::string mPrompt;
  std::int64_t mMaxTokens = 256;
  bool mIsStream = false;

  auto operator==(const CompletionRequest&) const -> bool = default;
};

} // namespace cuminslip::requests
