#ifndef CAMPHORWIND_CONFIG_MESSAGES_H
#define CAMPHORWIND_CONFIG_MESSAGES_H

#include "camphorwind/base/codec.h"
#include "camphorwind/config/diff.h"
#include "camphorwind/config/revision.h"

#include <string>

/// Messages by which linked processes spread the configuration, both ways.
namespace camphorwind::config {

/// The highest revision that the sender knows of, in force there or not.
struct Announce {
  Revision Known_;
  /// Whether the sender has made sure, since its start, that it knows the
  /// revision that was in force there before.
  bool Settled_ = false;
  MSGPACK_DEFINE(Known_, Settled_)
};

/// Asks for the text of a revision.
struct ContentRequest {
  Revision Wanted_;
  /// What the sender has; a patch from it suffices.
  Revision Have_;
  MSGPACK_DEFINE(Wanted_, Have_)
};

/// Answers a ContentRequest, and is not sent if the peer lacks the text.
struct Content {
  Revision Revision_;
  /// Version 0: Text_ is the whole text. Else Change_ applies to this one.
  Revision Base_;
  Patch Change_;
  std::string Text_;
  MSGPACK_DEFINE(Revision_, Base_, Change_, Text_)
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_MESSAGES_H
