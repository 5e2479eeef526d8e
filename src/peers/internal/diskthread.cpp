#include "peers/internal/diskthread.h"

#include "base/clock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminslip {

namespace {

constexpr auto kRetryDelay = Millis(200);
constexpr auto kSpaceCheckInterval = Seconds(2);

} // namespace

DiskThread::DiskThread(ControlStore aStore,
                       std::function<void(const DiskReport&)> aOnReport)
  : mStore(std::move(aStore))
  , mOnReport(std::move(aOnReport))
  , mThread([this] { Run(); })
{
}

DiskThread::~DiskThread()
{
  {
    const auto lock = std::lock_guard(mMutex);
    mQueue.mIsStopping = true;
  }
  mChanged.notify_one();
  mThread.join();
}

auto
DiskThread::Submit(std::vector<DiskWrite> aWrites, Revision aFloor) -> void
{
  {
    const auto lock = std::lock_guard(mMutex);
    std::move(
      aWrites.begin(), aWrites.end(), std::back_inserter(mQueue.mWrites));
    mQueue.mFloor = std::max(mQueue.mFloor, aFloor);
  }
  mChanged.notify_one();
}

auto
DiskThread::TakeBatch() -> Batch
{
  auto lock = std::unique_lock(mMutex);
  mChanged.wait_for(lock, kSpaceCheckInterval, [this] {
    return mQueue.mIsStopping || !mQueue.mWrites.empty() ||
           mQueue.mFloor > mStore.mFloor;
  });
  auto batch = std::move(mQueue);
  mQueue = {};
  mQueue.mIsStopping = batch.mIsStopping;
  return batch;
}

auto
DiskThread::WaitForRetry() -> bool
{
  auto lock = std::unique_lock(mMutex);
  return !mChanged.wait_for(
    lock, kRetryDelay, [this] { return mQueue.mIsStopping; });
}

auto
DiskThread::Report(IoStatus aStatus) -> void
{
  const auto isFull = aStatus == IoStatus::Full || IsStoreFull(mStore);
  mWasFull = isFull;
  mOnReport({ aStatus, mDone, mStore.mFloor, isFull, mStore.mFigures });
}

auto
DiskThread::WriteBatch(const Batch& aBatch) -> bool
{
  auto status = WriteToStore(mStore, aBatch.mWrites, aBatch.mFloor);
  while (status == IoStatus::Full) {
    Report(status);
    if (!WaitForRetry()) {
      return false;
    }
    status = WriteToStore(mStore, aBatch.mWrites, aBatch.mFloor);
  }
  if (status == IoStatus::Done && !aBatch.mWrites.empty()) {
    mDone = aBatch.mWrites.back().mId;
  }
  Report(status);
  return status == IoStatus::Done;
}

auto
DiskThread::Run() -> void
{
  Report(IoStatus::Done);
  while (true) {
    const auto batch = TakeBatch();
    if (batch.mIsStopping) {
      return;
    }
    if (batch.mWrites.empty() && batch.mFloor <= mStore.mFloor) {
      if (IsStoreFull(mStore) != mWasFull) {
        Report(IoStatus::Done);
      }
      continue;
    }
    if (!WriteBatch(batch)) {
      return;
    }
  }
}

} // namespace cuminslip
