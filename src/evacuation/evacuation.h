#pragma once

#include "base/findings.h"
#include "evacuation/types/evacuations.h"

#include <string>
#include <string_view>

/// The document of evacuated failure domains and the effect of orders on it.
/// Pure functions; thread safe.
namespace cuminslip::evacuation {

/// Reads what FormatEvacuations writes. Fails with Findings.
auto
ParseEvacuations(std::string_view aText) -> leaf::result<Evacuations>;

/// Formats as JSON: {"domains":[{"name":..,"evacuated":..,"changes":..}]}.
auto
FormatEvacuations(const Evacuations& aEvacuations) -> std::string;

auto
IsEvacuated(const Evacuations& aEvacuations, const FailureDomainId& aDomain)
  -> bool;

/// Returns true if the order changes nothing.
auto
IsInForce(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> bool;

/// Returns true if the name of the order's domain is valid and the document has
/// room for it.
auto
IsAcceptable(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> bool;

/// Returns the document with the order carried out; the same one if the order
/// is in force. Precondition: IsAcceptable.
auto
ApplyOrder(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> Evacuations;

/// Returns true if the order may be applied to aPresent though it was based on
/// aRead: its domain did not change in between. Otherwise a newer order for the
/// domain may have overtaken it.
auto
IsStillDue(const Evacuations& aRead,
           const Evacuations& aPresent,
           const EvacuationOrder& aOrder) -> bool;

} // namespace cuminslip::evacuation
