#include "camphorwind/routing/candidates.h"

#include <algorithm>
#include <chrono>

namespace camphorwind::routing {

namespace {

/// Weight, in the cost of a request, of the prompt processing time that it
/// takes from other requests, relative to its own time to first token.
constexpr double PromptWorkWeight = 1;
/// Factor on a prefix match while cache events are missing.
constexpr double UncertainMatchWeight = 0.5;

} // namespace

Candidates::Candidates(const Directory &Endpoints, Lane &RequestLane,
                       const PrefixView &Prefixes, const RequestTraits &Request,
                       std::uint32_t TokensPerBlock, base::TimePoint Now)
    : Endpoints_(Endpoints), Lane_(RequestLane), Prefixes_(Prefixes),
      Request_(Request), TokensPerBlock_(TokensPerBlock), Now_(Now) {
  if (!Request.Blocks_.empty())
    Matches_ = Prefixes.find(Request.Blocks_);
  if (Request.Avoid_.empty())
    return;
  // Endpoints to avoid are excluded only while another one is usable.
  ExcludesAvoided_ =
      std::any_of(Lane_.members().begin(), Lane_.members().end(),
                  [this](EndpointIndex Index) {
                    return Endpoints_.usable(Index) && !avoided(Index);
                  });
  ReadyExcluded_ =
      ExcludesAvoided_ &&
      std::any_of(Lane_.readyMembers().begin(), Lane_.readyMembers().end(),
                  [this](EndpointIndex Index) { return avoided(Index); });
}

bool Candidates::avoided(EndpointIndex Endpoint) const {
  const base::EndpointId &Id = Endpoints_.traits(Endpoint).Endpoint_;
  return std::find(Request_.Avoid_.begin(), Request_.Avoid_.end(), Id) !=
         Request_.Avoid_.end();
}

bool Candidates::ready(EndpointIndex Endpoint) const {
  return Lane_.ready(Endpoint) && !(ExcludesAvoided_ && avoided(Endpoint));
}

double Candidates::reportedOccupancy(EndpointIndex Endpoint) const {
  return static_cast<double>(Endpoints_.load(Endpoint).reportedRequests()) /
         std::max(1U, Endpoints_.traits(Endpoint).Slots_);
}

double Candidates::cachedTokens(EndpointIndex Endpoint) const {
  double Cached = static_cast<double>(Matches_.at(Endpoint)) * TokensPerBlock_;
  if (Prefixes_.mayBeStale(Endpoint))
    Cached *= UncertainMatchWeight;
  return std::min(Cached, static_cast<double>(Request_.PromptTokens_.count()));
}

base::Duration Candidates::cost(EndpointIndex Endpoint) const {
  using Seconds = std::chrono::duration<double>;
  const LoadView &Load = Endpoints_.load(Endpoint);
  double Uncached = static_cast<double>(Request_.PromptTokens_.count()) -
                    cachedTokens(Endpoint);
  Seconds PromptWork{PromptWorkWeight * Uncached /
                     Load.promptTokensPerSecond()};
  return Load.expectedFirstToken(Now_, Uncached) +
         std::chrono::duration_cast<base::Duration>(PromptWork);
}

} // namespace camphorwind::routing
