#include "camphorwind/config/spread.h"

#include <algorithm>

namespace camphorwind::config {

namespace {

/// Changes kept for peers that are behind.
constexpr std::size_t MaxSteps = 8;

} // namespace

base::Result<Spread, SpreadError> Spread::create(SpreadSettings Settings,
                                                 base::TimePoint Start) {
  constexpr base::Duration Zero = base::Duration::zero();
  if (Settings.Poll_ < Zero || Settings.FetchTimeout_ <= Zero ||
      Settings.Repeat_ <= Zero || Settings.AckWait_ < Zero ||
      Settings.Settle_ < Zero)
    return base::failure(SpreadError::NotPositive);
  return Spread(Settings, Start);
}

Spread::Spread(SpreadSettings Settings, base::TimePoint Start)
    : Settings_(Settings), Start_(Start), NextPoll_(Start) {}

SpreadActions Spread::onTimer(base::TimePoint Now) {
  SpreadActions Actions;
  if (usesTable() && !PollOpen_ && Now >= NextPoll_) {
    PollOpen_ = true;
    ++Counters_.Polls_;
    Actions.emplace_back(PollCurrent());
  }
  advance(Now, Actions);
  return Actions;
}

base::TimePoint Spread::wakeAt() const {
  base::TimePoint Wake = base::TimePoint::max();
  auto Consider = [&](base::TimePoint At) {
    // What is due already waits for an event, not for time.
    if (At > LastEvent_)
      Wake = std::min(Wake, At);
  };
  if (usesTable() && !PollOpen_)
    Wake = NextPoll_;
  if (InForce_.Version_ < Known_.Version_) {
    Consider(NextFetch_);
    Consider(KnownAt_ + Settings_.AckWait_);
  }
  if (!Settled_)
    Consider(Start_ + Settings_.Settle_);
  for (const auto &[Number, Other] : Peers_)
    if (Other.Known_ < Known_.Version_)
      Consider(Other.ToldAt_ + Settings_.Repeat_);
  return Wake;
}

SpreadActions Spread::onRow(base::TimePoint Now, const base::ReadResult &Read) {
  SpreadActions Actions;
  PollOpen_ = false;
  NextPoll_ = Now + Settings_.Poll_;
  if (Read.Status_ != base::ReadStatus::Ok) {
    ++Counters_.PollsFailed_;
    return Actions;
  }
  Settled_ = true;
  for (const base::Row &Found : Read.Rows_) {
    auto Record = decodeRecord(Found.Value_);
    if (Found.Key_ == CurrentKey && Record)
      learn(Now, Record.value().Revision_);
  }
  advance(Now, Actions);
  return Actions;
}

void Spread::learn(base::TimePoint Now, const Revision &Heard) {
  if (Heard.Version_ < Known_.Version_) {
    ++Counters_.Stale_;
    return;
  }
  if (Heard.Version_ == Known_.Version_) {
    if (Heard.Hash_ != Known_.Hash_)
      ++Counters_.Contradictions_;
    return;
  }
  Known_ = Heard;
  KnownAt_ = Now;
  NextFetch_ = Now;
  AskPeerNext_ = !usesTable();
  PatchFailed_ = false;
  Held_.reset();
  HeldText_.clear();
  Waiting_.clear();
}

void Spread::tellPeers(base::TimePoint Now, SpreadActions &Actions) {
  for (auto &[Number, Other] : Peers_) {
    std::pair<std::uint64_t, bool> News(Known_.Version_, Settled_);
    bool Overdue = Other.Known_ < Known_.Version_ &&
                   Now >= Other.ToldAt_ + Settings_.Repeat_;
    if (Other.Told_ == News && !Overdue)
      continue;
    Other.Told_ = News;
    Other.ToldAt_ = Now;
    Actions.emplace_back(SendAnnounce{Number, {Known_, Settled_}});
  }
}

void Spread::fetch(base::TimePoint Now, SpreadActions &Actions) {
  if (Held_ || InForce_.Version_ >= Known_.Version_ || Now < NextFetch_)
    return;
  NextFetch_ = Now + Settings_.FetchTimeout_;
  if (AskPeerNext_ || !fetchFromStore(Actions))
    fetchFromPeer(Actions);
  AskPeerNext_ = !AskPeerNext_;
}

bool Spread::fetchFromStore(SpreadActions &Actions) {
  if (!usesTable())
    return false;
  bool OneBehind =
      InForce_.Version_ != 0 && InForce_.Version_ + 1 == Known_.Version_;
  Actions.emplace_back(FetchObject{
      OneBehind && !PatchFailed_ ? patchObject(Known_) : textObject(Known_)});
  return true;
}

/// Asks the peers that know of the revision in turn.
void Spread::fetchFromPeer(SpreadActions &Actions) {
  auto Knows = [&](const auto &Item) {
    return Item.second.Known_ >= Known_.Version_;
  };
  auto Next = std::find_if(Peers_.upper_bound(LastAsked_), Peers_.end(), Knows);
  if (Next == Peers_.end())
    Next = std::find_if(Peers_.begin(), Peers_.end(), Knows);
  if (Next == Peers_.end())
    return;
  LastAsked_ = Next->first;
  Revision Have = PatchFailed_ ? Revision() : InForce_;
  Actions.emplace_back(SendRequest{Next->first, {Known_, Have}});
}

SpreadActions Spread::onObject(base::TimePoint Now, const std::string &Name,
                               const std::optional<std::string> &Bytes) {
  SpreadActions Actions;
  if (!Bytes) {
    NextFetch_ = Now;
    AskPeerNext_ = true;
  } else if (Name == textObject(Known_)) {
    receive(Known_, *Bytes, {});
  } else if (Name == patchObject(Known_)) {
    auto Change = base::unpack<Patch>(*Bytes);
    if (Change)
      receivePatch(Known_, Change.value());
    else
      reject();
  }
  advance(Now, Actions);
  return Actions;
}

void Spread::receive(const Revision &Found, std::string Text, Patch Change) {
  if (Held_ || Found != Known_ || InForce_.Version_ >= Known_.Version_)
    return;
  if (hashOfText(Text) != Found.Hash_) {
    reject();
    return;
  }
  ++(Change.empty() ? Counters_.WholeTexts_ : Counters_.Patches_);
  Held_ =
      Step{Change.empty() ? Revision() : InForce_, Found, std::move(Change)};
  HeldText_ = std::move(Text);
}

void Spread::receivePatch(const Revision &Found, const Patch &Change) {
  auto Text = applyPatch(Text_, Change);
  if (Text)
    receive(Found, std::move(Text).value(), Change);
  else
    reject();
}

/// The next fetch asks for the whole text.
void Spread::reject() {
  ++Counters_.BadTexts_;
  PatchFailed_ = true;
}

SpreadActions Spread::onPeerUp(base::TimePoint Now, PeerNumber Number) {
  SpreadActions Actions;
  Peers_[Number] = {};
  advance(Now, Actions);
  return Actions;
}

SpreadActions Spread::onPeerDown(base::TimePoint Now, PeerNumber Number) {
  SpreadActions Actions;
  Peers_.erase(Number);
  Waiting_.erase(Number);
  advance(Now, Actions);
  return Actions;
}

SpreadActions Spread::onAnnounce(base::TimePoint Now, PeerNumber Number,
                                 const Announce &Message) {
  SpreadActions Actions;
  auto Found = Peers_.find(Number);
  if (Found == Peers_.end())
    return Actions;
  std::uint64_t Known = Message.Known_.Version_;
  Found->second.Known_ = std::max(Found->second.Known_, Known);
  Found->second.Settled_ = Message.Settled_;
  if (Known > 0)
    learn(Now, Message.Known_);
  advance(Now, Actions);
  return Actions;
}

SpreadActions Spread::onRequest(PeerNumber Number,
                                const ContentRequest &Message) {
  SpreadActions Actions;
  if (InForce_ == Message.Wanted_ || (Held_ && Known_ == Message.Wanted_))
    Actions.emplace_back(SendContent{Number, answerTo(Message)});
  else if (Known_ == Message.Wanted_)
    Waiting_[Number] = Message;
  return Actions;
}

Content Spread::answerTo(const ContentRequest &Message) const {
  bool IsHeld = Held_ && Known_ == Message.Wanted_;
  const Step *Known = IsHeld ? &*Held_ : nullptr;
  for (const Step &Past : Steps_)
    if (Past.To_ == Message.Wanted_)
      Known = &Past;
  Content Answer;
  Answer.Revision_ = Message.Wanted_;
  if (Known != nullptr && Known->From_.Version_ != 0 &&
      Known->From_ == Message.Have_) {
    Answer.Base_ = Known->From_;
    Answer.Change_ = Known->Change_;
  } else {
    Answer.Text_ = IsHeld ? HeldText_ : Text_;
  }
  return Answer;
}

void Spread::serveWaiting(SpreadActions &Actions) {
  if (!Held_)
    return;
  for (const auto &[Number, Request] : Waiting_)
    Actions.emplace_back(SendContent{Number, answerTo(Request)});
  Waiting_.clear();
}

SpreadActions Spread::onContent(base::TimePoint Now, const Content &Message) {
  SpreadActions Actions;
  if (Message.Base_.Version_ == 0)
    receive(Message.Revision_, Message.Text_, {});
  else if (Message.Base_ == InForce_)
    receivePatch(Message.Revision_, Message.Change_);
  advance(Now, Actions);
  return Actions;
}

template <class Holds> bool Spread::mostPeers(Holds Condition) const {
  auto Count = static_cast<std::size_t>(
      std::count_if(Peers_.begin(), Peers_.end(),
                    [&](const auto &Item) { return Condition(Item.second); }));
  return Count * 2 > Peers_.size();
}

/// Without the table, most peers together know at least what most peers had
/// acknowledged before this process restarted.
void Spread::settle(base::TimePoint Now) {
  if (!Settled_ && Now >= Start_ + Settings_.Settle_)
    Settled_ = mostPeers([](const Peer &Other) { return Other.Settled_; });
}

bool Spread::isAcknowledged(base::TimePoint Now) const {
  return Peers_.empty() || Now >= KnownAt_ + Settings_.AckWait_ ||
         mostPeers([&](const Peer &Other) {
           return Other.Known_ >= Known_.Version_;
         });
}

void Spread::advance(base::TimePoint Now, SpreadActions &Actions) {
  LastEvent_ = Now;
  settle(Now);
  tellPeers(Now, Actions);
  fetch(Now, Actions);
  serveWaiting(Actions);
  if (!Held_ || !Settled_ || !isAcknowledged(Now))
    return;
  InForce_ = Held_->To_;
  Text_ = std::move(HeldText_);
  HeldText_.clear();
  if (Held_->From_.Version_ != 0) {
    Steps_.push_back(std::move(*Held_));
    if (Steps_.size() > MaxSteps)
      Steps_.pop_front();
  }
  Held_.reset();
  Actions.emplace_back(PutInForce{InForce_, Text_});
}

} // namespace camphorwind::config
