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
  ForwardedRequest(Forwarding &Shared, net::HttpRequest Request,
                   std::shared_ptr<net::HttpExchange> Out);

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
    routing::DirectAttemptId Pooled_ = 0;
    base::TimePoint SentAt_{};
    base::TimePoint LastByteAt_{};
    bool HeadSeen_ = false;
    bool NotExecuted_ = false;
    bool Streaming_ = false;
    unsigned Status_ = 0;
    net::HttpHeaders Headers_;
    std::string Body_;
    bool Signed_ = false;
  };

  std::optional<base::RefusalReason> admit();
  std::optional<base::RefusalReason> identify();
  /// Whether the source of the configuration has been silent for so long that
  /// what is missing from it may exist by now.
  bool viewMayBeOld() const;
  /// Sets aside tokens. Returns false if the request has to wait or is over.
  bool reserve();
  void logReservation(budget::EscrowRefusal Why, base::Tokens Bound,
                      base::TimePoint Now) const;
  void place();
  void send(const routing::Placement &Where,
            const routing::PlacementRequest &Wanted);
  routing::PlacementRequest demand() const;
  net::HttpHeaders attemptHeaders(const ListedEndpoint &To,
                                  const routing::Placement &Where);

  net::HeadVerdict onHead(const net::OriginHead &Head);
  void onBody(std::string_view Data);
  void onEvents(const std::string &Events);
  void onEnd(const base::Result<void, net::OriginError> &Result);
  void onAnswerWhole();
  void onStreamWhole();
  /// The attempt proved that the request has not run.
  void onNotRun(std::string_view Why, bool Arrived);
  /// The request may have run, and there is no whole answer.
  void onBroken(std::string_view Why, routing::FailureKind Kind);
  /// Whether another endpoint may be tried now; takes from the retry bound.
  bool takeRetry(bool Arrived);
  void closeAttempt(routing::FailureKind Kind);
  void checkSilence(base::TimePoint Now);

  void onHangup();
  void refuse(base::RefusalReason Reason,
              std::optional<base::Duration> RetryAfter = std::nullopt);
  void passOn(unsigned Status, const net::HttpHeaders &Headers,
              std::string Body);
  void abort(base::RefusalReason Reason);
  /// Ends the request: settles tokens, counts, logs.
  void finish(std::string_view Outcome, unsigned Status);
  base::Duration timeLeft(base::TimePoint Now) const;
  base::Tokens spentTokens() const;

  Forwarding &Shared_;
  net::HttpRequest Request_;
  std::shared_ptr<net::HttpExchange> Out_;
  std::shared_ptr<const std::string> Body_;
  /// The configuration that the request began with.
  ViewPtr View_;
  const Route *Route_ = nullptr;
  const Account *Account_ = nullptr;
  const Pool *PoolTraits_ = nullptr;
  base::PoolId Pool_;
  RequestFacts Facts_;
  base::TimePoint ArrivedAt_{};
  base::TimePoint Deadline_{};
  /// When the caller stops waiting, which may be before the route's timeout.
  base::TimePoint CallerDeadline_{};

  std::optional<base::TimePoint> WaitingForTokens_;
  base::Tokens Reserved_;
  bool HasReservation_ = false;

  routing::Placement Placed_;
  Attempt Attempt_;
  bool Sending_ = false;
  std::vector<base::EndpointId> Tried_;
  /// Sends that the endpoint may have received.
  unsigned Arrivals_ = 0;
  /// Endpoints on which the request may have run.
  unsigned Runs_ = 0;
  unsigned Sends_ = 0;
  EventStream Events_;
  bool StreamStarted_ = false;
  std::optional<base::TimePoint> FirstByteAt_;
  bool Finished_ = false;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H
