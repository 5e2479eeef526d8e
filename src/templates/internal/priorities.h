#pragma once

#include "documents/section.h"
#include "templates/types/template.h"

#include <array>

namespace cuminslip::templates {

inline constexpr auto kPriorityChoices = std::array{
  documents::Choice<Priority>{ "urgent", Priority::Urgent },
  documents::Choice<Priority>{ "normal", Priority::Normal },
  documents::Choice<Priority>{ "patient", Priority::Patient },
};

} // namespace cuminslip::templates
