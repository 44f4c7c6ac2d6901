#include "router-links.h"

#include "camphorwind/observe/log.h"
#include "camphorwind/wire/envelope.h"

#include <utility>

namespace camphorwind::agent {

RouterLinks::RouterLinks(net::Loop &Owner, net::Socket Listening,
                         base::Address Local, RouterLinksEvents Events)
    : Owner_(Owner), Listening_(std::move(Listening)),
      Address_(std::move(Local)), Events_(std::move(Events)),
      Acceptor_(Owner, [this](bool, bool) { acceptAll(); }) {
  Acceptor_.start(Listening_.fd(), net::Interest::Read);
}

base::Result<std::unique_ptr<RouterLinks>, base::IoError>
RouterLinks::create(net::Loop &Owner, const base::Address &Local,
                    RouterLinksEvents Events) {
  BOOST_OUTCOME_TRY(Listening, net::listenOn(Local));
  BOOST_OUTCOME_TRY(Bound, net::localAddress(Listening.fd()));
  return std::unique_ptr<RouterLinks>(new RouterLinks(
      Owner, std::move(Listening), std::move(Bound), std::move(Events)));
}

void RouterLinks::acceptAll() {
  for (;;) {
    auto Accepted = net::acceptFrom(Listening_.fd());
    if (!Accepted)
      return;
    add(std::move(Accepted).value());
  }
}

void RouterLinks::add(net::Socket Accepted) {
  std::uint64_t Number = NextNumber_++;
  wire::LinkEvents Events;
  Events.OnMessage_ = [this, Number](wire::StreamId Stream,
                                     const msgpack::object &Object) {
    auto Message = wire::unpackAny<wire::ToAgent>(Object);
    if (!Message) {
      ++Malformed_;
      return;
    }
    Events_.OnMessage_({Number, Stream}, std::move(Message).value());
  };
  Events.OnDrain_ = [this, Number](wire::StreamId Stream) {
    Events_.OnDrain_({Number, Stream});
  };
  Events.OnStreamClosed_ = [this, Number](wire::StreamId Stream, bool) {
    Events_.OnStreamClosed_({Number, Stream});
  };
  Events.OnClosed_ = [this, Number] { remove(Number); };
  auto Link =
      wire::Link::accept(Owner_, std::move(Accepted), std::move(Events));
  if (!Link) {
    observe::log(observe::LogLevel::Error, "link_not_accepted",
                 {{"detail", Link.error().Detail_}});
    return;
  }
  Links_.emplace(Number, std::move(Link).value());
}

void RouterLinks::remove(std::uint64_t Number) {
  auto Found = Links_.find(Number);
  if (Found == Links_.end())
    return;
  ClosedTraffic_ += Found->second->traffic();
  Links_.erase(Found);
}

wire::LinkTraffic RouterLinks::traffic() const {
  wire::LinkTraffic Sum = ClosedTraffic_;
  for (const auto &[Number, Link] : Links_)
    Sum += Link->traffic();
  return Sum;
}

bool RouterLinks::send(StreamRef Stream, std::string_view Packed) {
  auto Found = Links_.find(Stream.Link_);
  return Found != Links_.end() && Found->second->send(Stream.Stream_, Packed);
}

void RouterLinks::finish(StreamRef Stream) {
  auto Found = Links_.find(Stream.Link_);
  if (Found != Links_.end())
    Found->second->finish(Stream.Stream_);
}

std::size_t RouterLinks::buffered(StreamRef Stream) const {
  auto Found = Links_.find(Stream.Link_);
  return Found == Links_.end() ? 0 : Found->second->buffered(Stream.Stream_);
}

} // namespace camphorwind::agent
