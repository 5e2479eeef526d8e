#include "control/controlcodec.h"
#include "control/types/controlevents.h"
#include "peers/internal/controlnode.h"

#include <filesystem>
#include <random>

namespace cuminslip {

namespace {

auto
RandomNumber() -> std::uint64_t
{
  auto device = std::random_device();
  constexpr auto kHalf = 32U;
  return (std::uint64_t{ device() } << kHalf) | device();
}

} // namespace

auto
OpenControlNode(const std::string& aFolder,
                const InstanceId& aInstance,
                const std::string& aAddress,
                ControlNodeHooks aHooks)
  -> leaf::result<std::unique_ptr<ControlNode>>
{
  auto ec = std::error_code{};
  std::filesystem::create_directories(aFolder, ec);
  BOOST_LEAF_AUTO(opened,
                  OpenStore(LocalFileSystem(), aFolder, {}, RandomNumber()));
  auto state = ControlState{};
  if (opened.mDisk.mSnapshot.mIndex > 0) {
    BOOST_LEAF_ASSIGN(state,
                      DecodeControlState(*opened.mDisk.mSnapshot.mState));
  }
  LogEvent(kStoreOpenedEvent,
           { { "member", opened.mStore.mVote.mMember },
             { "boot", opened.mStore.mVote.mBoot },
             { "snapshot", opened.mDisk.mSnapshot.mIndex },
             { "entries",
               static_cast<std::uint64_t>(opened.mDisk.mEntries.size()) } });
  if (opened.mDroppedBytes > 0) {
    LogEvent(kStoreTailDroppedEvent, { { "bytes", opened.mDroppedBytes } });
  }
  auto core = StartCore({},
                        aInstance,
                        aAddress,
                        std::move(opened.mDisk),
                        RandomNumber(),
                        aHooks.mNow());
  return std::make_unique<ControlNode>(std::move(core),
                                       std::move(state),
                                       std::move(opened.mStore),
                                       std::move(aHooks));
}

} // namespace cuminslip
