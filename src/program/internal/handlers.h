#pragma once

#include "program/instance.h"

/// The listeners' request handlers. Front task only.
namespace cuminslip::program {

auto
HandleCaller(Instance& aInstance,
             const wire::HttpRequest& aRequest,
             const wire::ResponderPtr& aResponder) -> void;

/// Returns the answer to a caller whose request is refused before it is whole.
auto
WriteCallerRefusal(const wire::HttpRequest& aRequest, int aStatus)
  -> wire::HttpResponse;

auto
HandleOperator(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void;

auto
HandleEndpoint(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void;

auto
HandlePlatform(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void;

} // namespace cuminslip::program
