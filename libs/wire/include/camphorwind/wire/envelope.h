#ifndef CAMPHORWIND_WIRE_ENVELOPE_H
#define CAMPHORWIND_WIRE_ENVELOPE_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/result.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

/// Packs one message of a closed set, with a number that tells which it is.
namespace camphorwind::wire {

namespace detail {

/// An envelope is an array of the message's number and the message.
inline constexpr std::uint32_t EnvelopeSize = 2;

template <class Variant, class Message, std::size_t Index = 0>
constexpr std::size_t indexOf() {
  static_assert(Index < std::variant_size_v<Variant>,
                "the set does not contain this message");
  if constexpr (std::is_same_v<std::variant_alternative_t<Index, Variant>,
                               Message>)
    return Index;
  else
    return indexOf<Variant, Message, Index + 1>();
}

template <class Variant, std::size_t Index = 0>
Variant convertAlternative(std::size_t Wanted, const msgpack::object &Body) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (Wanted != Index)
      return convertAlternative<Variant, Index + 1>(Wanted, Body);
    return Body.as<std::variant_alternative_t<Index, Variant>>();
  } else {
    throw msgpack::type_error();
  }
}

} // namespace detail

/// Packs \p Value as the member of \p Variant that it is. Members are numbered
/// in order, so new ones go to the end.
template <class Variant, class Message>
std::string packAs(const Message &Value) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(detail::EnvelopeSize);
  Packer.pack(detail::indexOf<Variant, Message>());
  Packer.pack(Value);
  return {Buffer.data(), Buffer.size()};
}

/// Packs whichever message \p Value holds, numbered by \p Variant.
template <class Variant, class... Messages>
std::string packAny(const std::variant<Messages...> &Value) {
  return std::visit(
      [](const auto &Message) { return packAs<Variant>(Message); }, Value);
}

/// Reads an envelope. Fails with CodecError::WrongShape.
template <class Variant>
base::Result<Variant, base::CodecError> unpackAny(const msgpack::object &From) {
  if (From.type != msgpack::type::ARRAY ||
      From.via.array.size != detail::EnvelopeSize)
    return base::failure(base::CodecError::WrongShape);
  try {
    auto Number = From.via.array.ptr[0].as<std::size_t>();
    return detail::convertAlternative<Variant>(Number, From.via.array.ptr[1]);
  } catch (const std::exception &) {
    return base::failure(base::CodecError::WrongShape);
  }
}

} // namespace camphorwind::wire

#endif // CAMPHORWIND_WIRE_ENVELOPE_H
