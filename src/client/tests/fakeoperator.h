#pragma once

#include "wire/httpserver.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// A hand-written operator server on a thread that all of them share.
namespace cuminslip::client::testing {

class FakeOperator
{
public:
  /// Answers the request; a status of 0 breaks the connection.
  using Answer = std::function<wire::HttpResponse(const wire::HttpRequest&)>;

  explicit FakeOperator(Answer aAnswer);
  ~FakeOperator();
  FakeOperator(const FakeOperator&) = delete;
  FakeOperator(FakeOperator&&) = delete;
  auto operator=(const FakeOperator&) -> FakeOperator& = delete;
  auto operator=(FakeOperator&&) -> FakeOperator& = delete;

  auto Address() const -> std::string;
  /// Requests seen so far. Thread safe.
  auto Seen() -> std::vector<wire::HttpRequest>;

private:
  auto Handle(const wire::HttpRequest& aRequest,
              const wire::ResponderPtr& aResponder) -> void;

  Answer mAnswer;
  std::mutex mMutex;
  std::vector<wire::HttpRequest> mSeen;
  wire::HttpServerPtr mServer;
};

} // namespace cuminslip::client::testing
