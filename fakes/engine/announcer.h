#pragma once

#include "fakes/engine/types/enginesettings.h"
#include "wire/httpclient.h"

#include <boost/json.hpp>

#include <functional>
#include <memory>

/// Repeats an endpoint's announcement to instances of its failure domain.
namespace cuminslip::fakes {

/// Supplies the document, with its sequence number, and hears the answer.
struct AnnouncerHandlers
{
  std::function<boost::json::object(std::uint64_t aSequence)> mMakeDocument;
  std::function<void(const boost::json::object& aAnswer)> mOnAnswer;
};

struct Announcer;
struct AnnouncerDeleter
{
  auto operator()(Announcer* aAnnouncer) const -> void;
};
using AnnouncerPtr = std::unique_ptr<Announcer, AnnouncerDeleter>;

/// Announces at once and then at the interval. Owner thread of aLoop only, as
/// all functions here; aLoop and aClient outlive it.
auto
StartAnnouncer(wire::EventLoop& aLoop,
               wire::HttpClient& aClient,
               const AnnounceSettings& aSettings,
               AnnouncerHandlers aHandlers) -> AnnouncerPtr;

/// Announces now, outside the interval.
auto
AnnounceNow(Announcer& aAnnouncer) -> void;

/// While paused nothing is sent.
auto
PauseAnnouncer(Announcer& aAnnouncer, bool aIsPaused) -> void;

/// Number of announcements that were answered with 200.
auto
CountAccepted(const Announcer& aAnnouncer) -> std::uint64_t;

} // namespace cuminslip::fakes
