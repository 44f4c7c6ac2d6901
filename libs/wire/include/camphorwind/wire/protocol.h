#ifndef CAMPHORWIND_WIRE_PROTOCOL_H
#define CAMPHORWIND_WIRE_PROTOCOL_H

#include "camphorwind/budget/messages.h"
#include "camphorwind/config/messages.h"
#include "camphorwind/request/messages.h"
#include "camphorwind/routing/messages.h"

#include <variant>

/// The messages on links between routers and agents. A router opens one
/// control stream for each connection and one stream for each attempt that it
/// starts or asks about; the agent answers on the stream it was asked on.
/// A message's number is its place in the list: only append.
namespace camphorwind::wire {

using ToAgent =
    std::variant<request::Heartbeat, request::StartAttempt, request::Cancel,
                 request::QueryAttempt, request::ClaimRequest,
                 request::ClaimUpdate, request::ClaimConfirm,
                 request::ClaimRelease, budget::CommitRequest,
                 budget::FallbackCommitRequest, budget::LivenessRequest,
                 budget::SealRequest, config::Announce, config::ContentRequest,
                 config::Content, request::JoinCommit>;

using ToRouter = std::variant<
    request::HeartbeatReply, request::Accepted, request::Refused,
    request::Chunk, request::Finished, request::AttemptStatus,
    request::ClaimReply, request::ClaimConfirmReply, request::ClaimReleaseReply,
    budget::CommitReply, budget::LivenessReply, budget::SealReply,
    budget::WitnessReport, routing::LoadReport, routing::CacheEvent,
    routing::CacheSnapshot, config::Announce, config::ContentRequest,
    config::Content, request::JoinCommitReply>;

} // namespace camphorwind::wire

#endif // CAMPHORWIND_WIRE_PROTOCOL_H
