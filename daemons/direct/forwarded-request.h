#ifndef CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H
#define CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H

#include "forwarding.h"
#include "token-loans.h"

#include "camphorwind/base/reasons.h"
#include "camphorwind/direct/event-stream.h"
#include "camphorwind/direct/headers.h"
#include "camphorwind/net/http-server.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::direct {

/// One caller's request from arrival to final response: admission, attempts at
/// endpoints, and the response to the caller.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  ForwardedRequest(ForwardingContext &Context, net::HttpRequest Request,
                   std::shared_ptr<net::HttpExchange> Exchange);

  /// Admits the request and starts its first attempt, or refuses it.
  void start();
  /// Checks the deadline, the wait for tokens and stalled attempts.
  void tick(base::TimePoint Now);
  /// Retries the reservation if the request is waiting for tokens; call when
  /// tokens may have become available.
  void retryReservation();
  /// Passes on the events that were held back, unless they still have to be;
  /// call when streams were written to the table.
  void passOnHeldEvents();
  /// Ends the request because the process is about to end: with a response, or
  /// by cutting off the stream if one has started.
  void onProcessEnd();
  /// Returns the bytes of a response that is not whole yet, as far as they are
  /// kept.
  std::size_t collectedBytes() const;
  /// Ends the attempt because its response is larger than it may be.
  void onOversized();

private:
  /// State of an attempt.
  struct Attempt {
    /// 1 for the first attempt of the request.
    unsigned Number_ = 0;
    net::OriginCallId Call_ = 0;
    routing::Placement Placement_;
    /// The endpoint as it was listed when the attempt was sent.
    ListedEndpoint Target_;
    /// Id of the attempt in the pool's endpoint selection.
    routing::DirectAttemptId PoolAttempt_ = 0;
    base::TimePoint SentAt_{};
    /// When the attempt was sent, the response head arrived, or the body went
    /// on; in a stream, only whole events count.
    base::TimePoint LastProgressAt_{};
    /// Longest time between two events of a stream so far.
    base::Duration LongestGap_{0};
    /// Connection on which the response head arrived; 0 until then.
    std::uint64_t Connection_ = 0;
    bool HeadReceived_ = false;
    bool NotExecuted_ = false;
    /// The response may belong to an earlier request on the same connection.
    bool Unattributable_ = false;
    /// The body is forwarded event by event instead of being collected.
    bool Streaming_ = false;
    /// The response is read; false while the caller has not taken enough of it.
    bool Reading_ = true;
    /// The response has neither a length nor chunks: it ends with its
    /// connection.
    bool EndsByClose_ = false;
    /// Events delivered by earlier attempts.
    std::uint64_t EventsBefore_ = 0;
    /// The stream had started: only further events can go on with it.
    bool Continues_ = false;
    /// Bytes after the last complete event when the response ended.
    std::size_t UnfinishedBytes_ = 0;
    unsigned Status_ = 0;
    net::HttpHeaders Headers_;
    std::string Body_;
    bool Signed_ = false;
  };

  /// Resolves the route, account and pool; returns why the request is refused,
  /// if it is.
  std::optional<base::RefusalReason> admit();
  /// Resolves the account of the API key; returns why the request is refused,
  /// if it is.
  std::optional<base::RefusalReason> authenticate();
  /// Whether the configuration source has been unreachable for so long that
  /// routes or keys may have been added unseen.
  bool viewMayBeStale() const;
  /// Finds the software version at which a stream that the caller takes up has
  /// to go on. Returns false if the request was refused or waits for the table.
  bool resolveStream();
  /// Returns what is known of the stream that the caller takes up, or null.
  const StreamOrigin *findStreamOrigin() const;
  /// Takes over the version that began the stream; returns false if it is not
  /// known.
  bool useStreamOrigin();
  /// Takes over the version of the streams that the table lacks, or of all
  /// streams if the caller names none; returns false if that may be several.
  bool assumeFirstVersion();
  /// Handles the end of a lookup. \p TableRead is false if the table could not
  /// be read.
  void onStreamLookup(bool TableRead);
  /// Logs by what the version of a stream is known: "router" if this one began
  /// it, "table", or "order" if the table lacks it and its version is taken for
  /// the one that joined first.
  void logTakenUp(std::string_view KnownBy) const;
  /// Refuses to go on with a stream whose version is not known.
  void refuseUnknownStream(bool TableRead);
  /// Reserves the request's maximum number of tokens. Returns false if the
  /// request has to wait for tokens or was refused.
  bool reserveTokens();
  /// Whether other routers may be asked for a loan, now or soon.
  bool mayAskForLoan(base::TimePoint Now) const;
  /// Asks other routers for the tokens that this one lacks. Returns false if
  /// there is nobody to ask, or they may not be asked now.
  bool startLoan(base::Tokens MaxTokens, base::TimePoint Now);
  /// Handles the answer to startLoan().
  void onLoan(std::optional<TokenLoan> Granted);
  void logReservationRefusal(budget::EscrowRefusal Refusal,
                             base::Tokens MaxTokens, base::TimePoint Now) const;
  /// Chooses an endpoint and sends an attempt to it, or refuses the request.
  void placeAttempt();
  /// Sends an attempt; returns nothing if the endpoint has just left.
  std::optional<Attempt>
  sendAttempt(const routing::Placement &Placement,
              const routing::PlacementRequest &PlacementRequest);
  /// Whether an attempt that was started may still reach its endpoint. After a
  /// pause of the process, the caller may have left, and the endpoint may be
  /// leaving or evacuated.
  bool maySend(const base::EndpointId &Endpoint);
  /// Makes an attempt the current one.
  void useAttempt(Attempt Sent);
  /// Lists the endpoints that must not get the next attempt: those of earlier
  /// attempts, and those of other software versions than the stream's.
  std::vector<base::EndpointId> excludedEndpoints() const;
  routing::PlacementRequest
  makePlacementRequest(std::span<const base::EndpointId> Excluded) const;
  net::HttpHeaders attemptHeaders(const ListedEndpoint &Target,
                                  const routing::Placement &Placement);
  /// Returns the id after which the next attempt has to begin.
  std::optional<std::uint64_t> lastDeliveredId() const;

  /// Handles the head of the response to attempt \p Number.
  net::HeadVerdict onHead(unsigned Number, const net::OriginHead &Head);
  /// Takes the head of a response over into the attempt, unless it belongs to
  /// another request.
  net::HeadVerdict readHead(Attempt &Of, const net::OriginHead &Head);
  /// Logs a response that says that the attempt was not run.
  void logRefused(const Attempt &Of, const net::OriginHead &Head,
                  const ResponseMetadata &Response) const;
  /// Applies what the endpoint of an attempt states about itself in a response.
  void applyEndpointState(const Attempt &Of, const ResponseMetadata &Response,
                          base::TimePoint Now);
  /// Takes over the request limit that the endpoint of an attempt states, or
  /// that it states none any more.
  void applyRequestLimit(const Attempt &Of, const ResponseMetadata &Response,
                         base::TimePoint Now);
  void onBody(std::string_view Data);
  void onEvents(const std::string &Events);
  /// Whether the current attempt has brought an event.
  bool hasEvents() const {
    return EventStream_.eventCount() > Attempt_.EventsBefore_;
  }
  /// Passes events on to the caller, the first ones with the head.
  void passOn(const std::string &Events);
  /// Whether the caller may take the stream up elsewhere once it has an event.
  bool isNewResumable() const;
  /// Whether a router that reads the table could take the new stream for one of
  /// another version.
  bool isVersionUnrecorded() const;
  /// Whether this router lists an endpoint of another version than that of the
  /// attempt.
  bool isOtherVersionUsable() const;
  /// Whether a caller that takes the stream up elsewhere could be sent to an
  /// endpoint of another version, as the table lacks the stream. While the
  /// table takes no writes, only this router's own list tells.
  bool mustHold() const;
  /// Logs that the stream starts although isVersionUnrecorded().
  void logIfUnrecorded() const;
  /// The software versions of the pool's usable endpoints, each with whether
  /// its streams have to be written to the table.
  using VersionNeeds = std::map<std::string, bool>;
  VersionNeeds versionNeeds() const;
  /// Adds the endpoints whose streams could not be written to the table now, if
  /// there are others.
  void excludeUnwritable(std::vector<base::EndpointId> &Excluded) const;
  /// Refuses a new stream while it would be held back at all endpoints, as the
  /// table takes no writes. Returns whether it was refused.
  bool refuseUnrecorded();
  /// Stops reading the current attempt's response, or goes on.
  void setReading(bool Reading);
  /// Returns the number of unsent bytes of the stream above which reading from
  /// the endpoint is paused.
  std::size_t maxBufferedBytes() const;
  /// Counts the bytes that the response holds now, and ends the largest
  /// responses if all hold too many.
  void chargeResponse();
  void onEnd(const base::Result<void, net::OriginError> &Result);
  bool isSuccessor(unsigned Number) const;
  /// Keeps what the successor's response has brought until it can replace the
  /// current attempt's: a further event of a stream, or a whole answer.
  void onSuccessorBody(std::string_view Data);
  void onSuccessorEnd(const base::Result<void, net::OriginError> &Result);
  /// Whether the response may become the answer to the request, by its head.
  bool beginsAnswer(const Attempt &Of) const;
  /// Whether a success ended with its connection, without a byte of its body.
  static bool endsBeforeBody(const Attempt &Of);
  /// Gives the current attempt up for its successor.
  void replaceAttempt();
  /// Makes the successor the current attempt; the one before has ended.
  void promoteSuccessor();
  /// Ends the successor, if there is one. \p MayHaveRun is false if its
  /// response proves that it did not run the request.
  void dropSuccessor(routing::FailureKind Kind, bool MayHaveRun = true);
  void onResponseComplete();
  /// Handles the end of a response that is a stream.
  void onStreamEnd();
  /// Whether a whole stream may wait to be written to the table.
  bool mayHoldWhole(base::TimePoint Now) const;
  /// Passes on what is left of a whole stream, and ends the request.
  void endStream();
  /// Drops the events that the caller has not got, because the stream could not
  /// start yet.
  void discardHeldEvents();
  /// Handles a whole response that does not go on with the stream.
  void onNotContinued();
  /// Handles an attempt that provably did not run the request.
  /// \p MayHaveArrived is false if the endpoint received no byte of the
  /// request.
  void onNotExecuted(std::string_view Reason, bool MayHaveArrived);
  /// Handles an attempt that may have run the request but gave no usable
  /// response.
  void onAttemptFailed(std::string_view Reason, routing::FailureKind Kind);
  /// Whether MaxSends and the time left permit another attempt and, if
  /// \p MayHaveArrived, the pool's retry limit too. In that case, a permitted
  /// retry uses up part of that limit. The caller checks the route's own
  /// limits.
  bool allowRetry(bool MayHaveArrived);
  /// Whether the route permits another run beside those that may have happened.
  bool mayRunAgain();
  /// Prompt of the request; empty if its route has none.
  std::span<const routing::PromptPart> prompt() const;
  /// Refuses the request if it, or a part of its prompt, is quarantined.
  bool refuseQuarantined();
  /// Handles an attempt whose connection ended before its response did.
  void onConnectionLost(const Attempt &Of);
  void logBroken(const Attempt &Of, const net::OriginError &Error) const;
  /// Records a whole response.
  void recordSuccess();
  /// Reports the failed current attempt to the pool's endpoint selection, and
  /// discards what its response leaves behind.
  void recordFailure(routing::FailureKind Kind);
  /// Reports a failed attempt to the pool's endpoint selection.
  void reportFailure(const Attempt &Of, routing::FailureKind Kind);
  /// Whether the attempt has sent no data for too long.
  bool hasStalled(const Attempt &Of, base::TimePoint Now) const;
  /// Sends a successor beside an attempt that has stalled, if the request may
  /// be retried and another endpoint could take it now. The attempt goes on
  /// until the successor has answered: a sound endpoint may fall silent and go
  /// on, and the other one may refuse.
  void checkStall(base::TimePoint Now);

  /// Handles the end of the caller's connection before a final response.
  void onConnectionEnd(net::ConnectionEnd End);
  /// Has it logged if the connection ends before the final response is out.
  void logIfUndelivered();
  /// Ends the request with an error response, or aborts the stream if one has
  /// started.
  void refuse(base::RefusalReason Reason,
              std::optional<base::Duration> RetryAfter = std::nullopt);
  void respondWith(unsigned Status, const net::HttpHeaders &Headers,
                   std::string Body);
  void abortStream(base::RefusalReason Reason);
  /// Ends the request: settles its tokens, updates the metrics and logs the
  /// outcome.
  void finish(std::string_view Outcome, unsigned Status);
  base::Duration remainingTime(base::TimePoint Now) const;
  /// Tokens to charge: the prompt and the output, estimated from the number of
  /// events delivered, or none if the request has not run.
  base::Tokens spentTokens() const;

  ForwardingContext &Context_;
  net::HttpRequest Request_;
  std::shared_ptr<net::HttpExchange> Exchange_;
  std::shared_ptr<const std::string> Body_;
  /// The configuration at the time of arrival; used until the request ends.
  ViewPtr View_;
  const Route *Route_ = nullptr;
  const Account *Account_ = nullptr;
  const Pool *PoolConfig_ = nullptr;
  base::PoolId Pool_;
  RequestMetadata RequestMetadata_;
  /// Equal for all attempts of callers with the same request.
  std::uint64_t Fingerprint_ = 0;
  /// What of this request may crash endpoints.
  std::vector<routing::Suspect> Suspects_;
  /// When the request began; deadlines count from here.
  base::TimePoint ArrivedAt_{};
  /// When the body was whole.
  base::TimePoint WholeAt_{};
  /// The earlier of CallerDeadline_ and the route's timeout.
  base::TimePoint Deadline_{};
  /// When the caller stops waiting; the route's timeout if the caller set none.
  base::TimePoint CallerDeadline_{};

  /// Set while the request waits for tokens.
  std::optional<base::TimePoint> TokenWaitStart_;
  /// Whether other routers were asked for a loan, and not all have answered.
  bool LoanPending_ = false;
  /// How often other routers were asked for a loan.
  unsigned LoanTries_ = 0;
  /// When they may be asked again.
  base::TimePoint NextLoanAt_{};
  /// The loan that covers this request, if any.
  std::optional<TokenLoan> Loan_;
  base::Tokens ReservedTokens_;
  bool HasReservation_ = false;

  Attempt Attempt_;
  bool AttemptActive_ = false;
  /// Attempt that replaces Attempt_ once it answers.
  std::optional<Attempt> Successor_;
  /// Software version at which the stream has begun, so that it may go on only
  /// there; unset before its first event.
  std::optional<std::string> Software_;
  /// Endpoints of all attempts so far.
  std::vector<base::EndpointId> Tried_;
  /// Number of attempts that an endpoint may have received.
  unsigned PossibleArrivals_ = 0;
  /// Number of endpoints on which the request ran or may have run.
  unsigned PossibleRuns_ = 0;
  /// Number of attempts, whether or not an endpoint received them.
  unsigned Sends_ = 0;
  EventStream EventStream_;
  bool StreamStarted_ = false;
  /// Events received before the stream may start.
  std::string HeldEvents_;
  /// What follows the last event of a stream whose response is whole, until it
  /// is passed on.
  std::optional<std::string> WholeStreamRest_;
  /// When the response of the stream was whole.
  base::TimePoint WholeStreamAt_{};
  std::shared_ptr<ResponseCharge> Charge_;
  std::optional<base::TimePoint> FirstByteAt_;
  /// Why the last failed attempt was not repeated; empty if it was.
  std::string_view NoRepeat_;
  /// How the caller's connection ended; empty while it stands.
  std::string_view ConnectionEnd_;
  bool Finished_ = false;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_FORWARDED_REQUEST_H
