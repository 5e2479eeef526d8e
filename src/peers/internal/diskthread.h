#pragma once

#include "control/controlstore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cuminslip {

/// What the disk did.
struct DiskReport
{
  IoStatus mStatus = IoStatus::Done;
  /// Last write that is durable, and the commit floor that is.
  std::uint64_t mDone = 0;
  Revision mFloor = 0;
  bool mIsFull = false;
  StoreCounters mFigures;
};

/// Thread that writes the control store. All writes that wait are made durable
/// together, with one sync for their records. A full disk is tried again until
/// it takes them.
class DiskThread
{
public:
  /// aOnReport runs on the disk thread.
  DiskThread(ControlStore aStore,
             std::function<void(const DiskReport&)> aOnReport);
  DiskThread(const DiskThread&) = delete;
  auto operator=(const DiskThread&) -> DiskThread& = delete;

  /// Waits for the write under way; what was not begun is left out.
  ~DiskThread();

  /// Queues writes and a commit floor. Thread safe.
  auto Submit(std::vector<DiskWrite> aWrites, Revision aFloor) -> void;

private:
  struct Batch
  {
    std::vector<DiskWrite> mWrites;
    Revision mFloor = 0;
    bool mIsStopping = false;
  };

  auto Run() -> void;
  auto TakeBatch() -> Batch;
  auto WriteBatch(const Batch& aBatch) -> bool;
  auto Report(IoStatus aStatus) -> void;
  auto WaitForRetry() -> bool;

  ControlStore mStore;
  std::function<void(const DiskReport&)> mOnReport;
  std::uint64_t mDone = 0;
  bool mWasFull = false;
  std::mutex mMutex;
  std::condition_variable mChanged;
  Batch mQueue;
  std::thread mThread;
};

} // namespace cuminslip
