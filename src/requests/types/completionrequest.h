#pragma once

#include <cstdint>
#include <string>

namespace cuminslip::requests {

/// API form of the request. The answer uses the same form.
enum class CompletionForm : std::uint8_t
{
  Completion,
  Chat
};

/// A parsed completion or chat completion request.
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
