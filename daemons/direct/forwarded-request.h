#ifndef CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H
#define CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H

#include "forwarding.h"

#include "camphorwind/base/reasons.h"
#include "camphorwind/direct/event-stream.h"
#include "camphorwind/direct/headers.h"
#include "camphorwind/net/http-server.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::direct {

/// One caller's request from its arrival to its final answer: admission,
/// attempts, and what the caller is told.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  ForwardedRequest(ForwardingContext &Context, net::HttpRequest Request,
                   std::shared_ptr<net::HttpExchange> Exchange);

  /// Admits the request and makes its first attempt, or answers it.
  void start();
  /// Follows time: deadline, waiting for tokens, silent endpoints.
  void tick(base::TimePoint Now);
  /// Tokens may have become available.
  void retryReservation();

private:
  /// What is known of the attempt in progress.
  struct Attempt {
    net::OriginCallId Call_ = 0;
    routing::DirectAttemptId PoolAttempt_ = 0;
    base::TimePoint SentAt_{};
    base::TimePoint LastByteAt_{};
    bool HeadReceived_ = false;
    bool NotExecuted_ = false;
    bool Streaming_ = false;
    unsigned Status_ = 0;
    net::HttpHeaders Headers_;
    std::string Body_;
    bool Signed_ = false;
  };

  std::optional<base::RefusalReason> admit();
  std::optional<base::RefusalReason> authenticate();
  /// Whether the source of the configuration has been silent for so long that
  /// what is missing from it may exist by now.
  bool viewMayBeStale() const;
  /// Sets aside tokens. Returns false if the request has to wait or is over.
  bool reserveTokens();
  void logReservationRefusal(budget::EscrowRefusal Refusal,
                             base::Tokens MaxTokens, base::TimePoint Now) const;
  void placeAttempt();
  void sendAttempt(const routing::Placement &Placement,
                   const routing::PlacementRequest &PlacementRequest);
  routing::PlacementRequest makePlacementRequest() const;
  net::HttpHeaders attemptHeaders(const ListedEndpoint &Target,
                                  const routing::Placement &Placement);

  net::HeadVerdict onHead(const net::OriginHead &Head);
  void onBody(std::string_view Data);
  void onEvents(const std::string &Events);
  void onEnd(const base::Result<void, net::OriginError> &Result);
  void onResponseComplete();
  void onStreamComplete();
  /// The attempt proved that the request has not run.
  void onNotExecuted(std::string_view Reason, bool MayHaveArrived);
  /// The request may have run, and there is no whole answer.
  void onAttemptFailed(std::string_view Reason, routing::FailureKind Kind);
  /// Whether another endpoint may be tried now; takes from the retry bound.
  bool allowRetry(bool MayHaveArrived);
  void recordFailure(routing::FailureKind Kind);
  void checkStall(base::TimePoint Now);

  void onCallerDisconnect();
  void refuse(base::RefusalReason Reason,
              std::optional<base::Duration> RetryAfter = std::nullopt);
  void respondWith(unsigned Status, const net::HttpHeaders &Headers,
                   std::string Body);
  void abortStream(base::RefusalReason Reason);
  /// Ends the request: settles tokens, counts, logs.
  void finish(std::string_view Outcome, unsigned Status);
  base::Duration remainingTime(base::TimePoint Now) const;
  base::Tokens spentTokens() const;

  ForwardingContext &Context_;
  net::HttpRequest Request_;
  std::shared_ptr<net::HttpExchange> Exchange_;
  std::shared_ptr<const std::string> Body_;
  /// The configuration that the request began with.
  ViewPtr View_;
  const Route *Route_ = nullptr;
  const Account *Account_ = nullptr;
  const Pool *PoolConfig_ = nullptr;
  base::PoolId Pool_;
  RequestMetadata RequestMetadata_;
  base::TimePoint ArrivedAt_{};
  base::TimePoint Deadline_{};
  /// When the caller stops waiting, which may be before the route's timeout.
  base::TimePoint CallerDeadline_{};

  std::optional<base::TimePoint> TokenWaitStart_;
  base::Tokens ReservedTokens_;
  bool HasReservation_ = false;

  routing::Placement Placement_;
  Attempt Attempt_;
  bool AttemptActive_ = false;
  std::vector<base::EndpointId> Tried_;
  /// Sends that the endpoint may have received.
  unsigned PossibleArrivals_ = 0;
  /// Endpoints on which the request may have run.
  unsigned PossibleRuns_ = 0;
  unsigned Sends_ = 0;
  EventStream EventStream_;
  bool StreamStarted_ = false;
  std::optional<base::TimePoint> FirstByteAt_;
  bool Finished_ = false;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H
