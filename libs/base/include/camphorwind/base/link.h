#ifndef CAMPHORWIND_BASE_LINK_H
#define CAMPHORWIND_BASE_LINK_H

#include <concepts>
#include <utility>

namespace camphorwind::base {

/// A way to one peer that may drop, delay, repeat or swallow messages.
/// `send` returns whether the message was handed over for sending; `false`
/// proves that it never left.
template <class T, class Message>
concept Link = requires(T &Target, Message Value) {
  { Target.send(std::move(Value)) } -> std::same_as<bool>;
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_LINK_H
