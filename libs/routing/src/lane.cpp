#include "camphorwind/routing/lane.h"

#include <algorithm>
#include <chrono>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of a new observation in a smoothed value.
constexpr double SmoothingFactor = 0.05;
/// Prompt tokens whose processing costs an engine about as much as generating
/// one token.
constexpr double PromptTokensPerOutputToken = 16;

base::Duration smooth(base::Duration Old, base::Duration New) {
  return Old + std::chrono::duration_cast<base::Duration>(SmoothingFactor *
                                                          Seconds(New - Old));
}

bool matches(const std::string &Requested, const std::string &Served) {
  return Requested.empty() || Requested == Served;
}

} // namespace

Lane::Lane(base::PoolId Pool, ServedModel Model)
    : Pool_(std::move(Pool)), Model_(std::move(Model)) {}

bool Lane::servedBy(const EndpointTraits &Endpoint) const {
  if (Endpoint.Pool_ != Pool_)
    return false;
  if (Endpoint.Models_.empty())
    return true;
  return std::any_of(Endpoint.Models_.begin(), Endpoint.Models_.end(),
                     [this](const ServedModel &Served) {
                       return matches(Model_.Model_, Served.Model_) &&
                              matches(Model_.Version_, Served.Version_) &&
                              matches(Model_.Adapter_, Served.Adapter_);
                     });
}

void Lane::addMember(EndpointIndex Endpoint, const EndpointTraits &Traits) {
  if (Members_.empty())
    TokenInterval_ = Traits.TokenInterval_;
  Members_.insert(std::lower_bound(Members_.begin(), Members_.end(), Endpoint),
                  Endpoint);
  if (Endpoint >= ReadyPosition_.size())
    ReadyPosition_.resize(Endpoint + 1);
}

void Lane::removeMember(EndpointIndex Endpoint) {
  setReady(Endpoint, false);
  std::erase(Members_, Endpoint);
}

void Lane::setReady(EndpointIndex Endpoint, bool Ready) {
  if (ready(Endpoint) == Ready)
    return;
  if (Ready) {
    Ready_.push_back(Endpoint);
    ReadyPosition_[Endpoint] = static_cast<std::uint16_t>(Ready_.size());
    return;
  }
  std::uint16_t Position = ReadyPosition_[Endpoint];
  ReadyPosition_[Ready_.back()] = Position;
  Ready_[Position - 1] = Ready_.back();
  Ready_.pop_back();
  ReadyPosition_[Endpoint] = 0;
}

bool Lane::ready(EndpointIndex Endpoint) const {
  return Endpoint < ReadyPosition_.size() && ReadyPosition_[Endpoint] != 0;
}

double Lane::expectedOutput(const RequestTraits &Request) const {
  auto MaxOutput = static_cast<double>(Request.MaxOutputTokens_.count());
  return std::max(1.0, MaxOutput * OutputShare_);
}

double Lane::expectedCost(const RequestTraits &Request) const {
  auto Prompt = static_cast<double>(Request.PromptTokens_.count());
  return expectedOutput(Request) + Prompt / PromptTokensPerOutputToken;
}

base::Duration Lane::expectedServiceTime(const RequestTraits &Request) const {
  return FirstTokenTime_ +
         std::chrono::duration_cast<base::Duration>(expectedOutput(Request) *
                                                    Seconds(TokenInterval_));
}

void Lane::updateEstimates(const RequestTraits &Request, base::Tokens Output,
                           base::Duration FirstTokenTime,
                           base::Duration TokenInterval) {
  FirstTokenTime_ = smooth(FirstTokenTime_, FirstTokenTime);
  if (TokenInterval > base::Duration::zero())
    TokenInterval_ = smooth(TokenInterval_, TokenInterval);
  if (Request.MaxOutputTokens_.count() <= 0)
    return;
  double Share = static_cast<double>(Output.count()) /
                 static_cast<double>(Request.MaxOutputTokens_.count());
  OutputShare_ += SmoothingFactor * (std::min(Share, 1.0) - OutputShare_);
}

} // namespace camphorwind::routing
