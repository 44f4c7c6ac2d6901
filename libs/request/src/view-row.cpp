#include "camphorwind/request/view-row.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphorwind::request {

namespace {

std::optional<std::string> stringField(const nlohmann::json &Object,
                                       const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

std::optional<ListedAgent> decodeAgent(const nlohmann::json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  auto Endpoint = stringField(Object, "endpoint");
  auto Domain = stringField(Object, "failure_domain");
  auto Agent = stringField(Object, "agent");
  if (!Endpoint || !Domain || !Agent)
    return std::nullopt;
  return ListedAgent{base::EndpointId(std::move(*Endpoint)),
                     base::FailureDomainId(std::move(*Domain)),
                     base::Incarnation(std::move(*Agent))};
}

std::optional<ListedView> decodeView(const nlohmann::json &Object) {
  if (!Object.is_object() || !Object.contains("number") ||
      !Object["number"].is_number_unsigned() || !Object.contains("agents") ||
      !Object["agents"].is_array())
    return std::nullopt;
  ListedView View{Object["number"].get<std::uint64_t>(), {}};
  for (const nlohmann::json &Each : Object["agents"]) {
    auto Agent = decodeAgent(Each);
    if (!Agent)
      return std::nullopt;
    View.Agents_.push_back(std::move(*Agent));
  }
  return View;
}

const ListedAgent *findAgent(const ListedView &View,
                             const base::EndpointId &Endpoint) {
  auto Found = std::find_if(
      View.Agents_.begin(), View.Agents_.end(),
      [&](const ListedAgent &Each) { return Each.Endpoint_ == Endpoint; });
  return Found == View.Agents_.end() ? nullptr : &*Found;
}

bool wasListed(const ViewRow &Row, const ListedAgent &Known) {
  return std::any_of(
      Row.Views_.begin(), Row.Views_.end(), [&](const ListedView &View) {
        const ListedAgent *Listed = findAgent(View, Known.Endpoint_);
        return Listed != nullptr && Listed->Agent_ == Known.Agent_;
      });
}

/// Returns the agent to list for the endpoint of \p Known, if there is one.
std::optional<ListedAgent> chooseAgent(const ViewRow &Row,
                                       const ListedView &Current,
                                       const ListedAgent &Known) {
  const ListedAgent *Listed = findAgent(Current, Known.Endpoint_);
  bool NotYetListed = !Known.Agent_.empty() && !wasListed(Row, Known);
  if (NotYetListed)
    return Known;
  if (Listed == nullptr)
    return std::nullopt;
  return *Listed;
}

} // namespace

std::string encodeViewRow(const ViewRow &Row) {
  nlohmann::json Views = nlohmann::json::array();
  for (const ListedView &View : Row.Views_) {
    nlohmann::json Agents = nlohmann::json::array();
    for (const ListedAgent &Agent : View.Agents_)
      Agents.push_back({{"endpoint", Agent.Endpoint_.str()},
                        {"failure_domain", Agent.Domain_.str()},
                        {"agent", Agent.Agent_.str()}});
    Views.push_back({{"number", View.Number_}, {"agents", std::move(Agents)}});
  }
  return nlohmann::json{{"views", std::move(Views)}}.dump();
}

std::optional<ViewRow> decodeViewRow(const std::string &Text) {
  auto Parsed = nlohmann::json::parse(Text, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("views") ||
      !Parsed["views"].is_array())
    return std::nullopt;
  ViewRow Row;
  for (const nlohmann::json &Each : Parsed["views"]) {
    auto View = decodeView(Each);
    if (!View)
      return std::nullopt;
    Row.Views_.push_back(std::move(*View));
  }
  return Row;
}

ClaimView claimView(const ListedView &Listed) {
  ClaimView View{Listed.Number_, {}};
  for (const ListedAgent &Agent : Listed.Agents_)
    View.Agents_.push_back({Agent.Agent_, Agent.Domain_});
  return View;
}

std::optional<ViewRow> nextViewRow(const ViewRow &Row,
                                   const std::vector<ListedAgent> &Configured) {
  const ListedView EmptyView;
  const ListedView &Current =
      Row.Views_.empty() ? EmptyView : Row.Views_.back();
  ListedView Next{Current.Number_ + 1, {}};
  for (const ListedAgent &Known : Configured)
    if (auto Chosen = chooseAgent(Row, Current, Known))
      Next.Agents_.push_back(std::move(*Chosen));
  std::sort(Next.Agents_.begin(), Next.Agents_.end(),
            [](const ListedAgent &A, const ListedAgent &B) {
              return A.Endpoint_ < B.Endpoint_;
            });
  if (Next.Agents_.empty() || Next.Agents_ == Current.Agents_)
    return std::nullopt;
  ViewRow Changed = Row;
  Changed.Views_.push_back(std::move(Next));
  return Changed;
}

} // namespace camphorwind::request
