#pragma once

#include "program/instance.h"

/// The listeners' request handlers. Front task only.
namespace cuminslip::program {

auto
HandleCaller(Instance& aInstance,
             const wire::HttpRequest& aRequest,
             const wire::ResponderPtr& aResponder) -> void;

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

/// Name of whoever has aKey among aKeys; none when nobody has. Compares in
/// constant time.
auto
FindKeyOwner(const std::vector<KeyEntry>& aKeys, std::string_view aKey)
  -> std::optional<std::string>;

} // namespace cuminslip::program
