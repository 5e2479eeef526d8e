#pragma once

#include "wire/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cuminslip::wire {

/// The response side of one caller's request, a struct of functions so that
/// tests stand in for it. Each must be ended by mRespond, mFinish or mAbort,
/// also for a caller that is gone: its connection is kept until then. After
/// mAbort or mFinish, and once the caller is gone, the others do nothing. For
/// the thread of the caller's listener.
struct CallerPort
{
  std::function<void(HttpResponse)> mRespond;
  std::function<void(int aStatus, const Headers&)> mStartStream;
  std::function<void(std::string_view aPiece)> mSendPiece;
  std::function<void()> mFinish;
  std::function<void()> mAbort;
  std::function<bool()> mIsClosed;
  std::function<std::size_t()> mUnsentBytes;
};

} // namespace cuminslip::wire
