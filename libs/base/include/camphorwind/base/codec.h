#ifndef CAMPHORWIND_BASE_CODEC_H
#define CAMPHORWIND_BASE_CODEC_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <msgpack.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

/// Packs typed messages with msgpack. A message is an aggregate that names its
/// members once: `MSGPACK_DEFINE(Id_, Amount_)`. Members may be added at the
/// end; a reader leaves members that a shorter message lacks at their default.
/// An enum takes part after `MSGPACK_ADD_ENUM(TheEnum);` at global scope, a
/// duration travels as a count of its own unit.
namespace camphorwind::base {

/// Why bytes could not be unpacked into the message expected.
enum class CodecError { Truncated, WrongShape, TooLarge };

/// Largest message accepted; longer payloads travel as several chunks.
inline constexpr std::size_t MaxMessageBytes = 16UL * 1024 * 1024;

/// Packs \p Message into bytes.
template <class Message> std::string pack(const Message &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Unpacks exactly one message from \p Bytes.
template <class Message>
Result<Message, CodecError> unpack(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return failure(CodecError::TooLarge);
  try {
    std::size_t Offset = 0;
    const msgpack::unpack_limit Limit(1 << 20, 1 << 20, MaxMessageBytes,
                                      MaxMessageBytes, MaxMessageBytes, 32);
    msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Offset, nullptr, nullptr, Limit);
    if (Offset != Bytes.size())
      return failure(CodecError::WrongShape);
    Message Value;
    Handle.get().convert(Value);
    return Value;
  } catch (const msgpack::insufficient_bytes &) {
    return failure(CodecError::Truncated);
  } catch (const msgpack::size_overflow &) {
    return failure(CodecError::TooLarge);
  } catch (const std::exception &) {
    return failure(CodecError::WrongShape);
  }
}

} // namespace camphorwind::base

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag> struct convert<camphorwind::base::Id<Tag>> {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      camphorwind::base::Id<Tag> &Value) const {
      Value = camphorwind::base::Id<Tag>(Object.as<std::string>());
      return Object;
    }
  };

  template <class Tag> struct pack<camphorwind::base::Id<Tag>> {
    template <class Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const camphorwind::base::Id<Tag> &Value) const {
      return Packer.pack(Value.str());
    }
  };

  template <> struct convert<camphorwind::base::Tokens> {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      camphorwind::base::Tokens &Value) const {
      Value = camphorwind::base::Tokens(Object.as<std::int64_t>());
      return Object;
    }
  };

  template <> struct pack<camphorwind::base::Tokens> {
    template <class Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const camphorwind::base::Tokens &Value) const {
      return Packer.pack(Value.count());
    }
  };

  template <class Rep, class Period>
  struct convert<std::chrono::duration<Rep, Period>> {
    const msgpack::object &
    operator()(const msgpack::object &Object,
               std::chrono::duration<Rep, Period> &Value) const {
      Value = std::chrono::duration<Rep, Period>(Object.as<Rep>());
      return Object;
    }
  };

  template <class Rep, class Period>
  struct pack<std::chrono::duration<Rep, Period>> {
    template <class Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const std::chrono::duration<Rep, Period> &Value) const {
      return Packer.pack(Value.count());
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

MSGPACK_ADD_ENUM(camphorwind::base::Ran)
MSGPACK_ADD_ENUM(camphorwind::base::RefusalReason)
MSGPACK_ADD_ENUM(camphorwind::base::RetryReason)

#endif // CAMPHORWIND_BASE_CODEC_H
