#include "response-parser.h"

#include "camphorwind/net/http.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace camphorwind::net::detail {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using TextView = boost::beast::string_view;

/// Adapts Beast's virtual callbacks to ResponseParser's.
class BeastParser final : public http::basic_parser<false> {
public:
  explicit BeastParser(ResponseParser::Events Sink)
      : Events_(std::move(Sink)) {}

private:
  void on_request_impl(http::verb, TextView, TextView, int,
                       ErrorCode &) override {}
  void on_response_impl(int Status, TextView Reason, int,
                        ErrorCode &Error) override {
    if (!isHttpStatus(Status)) {
      Error = http::error::bad_status;
      return;
    }
    Head_.Status_ = static_cast<unsigned>(Status);
    Head_.Reason_ = view(Reason);
  }
  void on_field_impl(http::field, TextView Name, TextView Value,
                     ErrorCode &) override {
    Head_.Headers_.add(std::string(view(Name)), std::string(view(Value)));
  }
  void on_header_impl(ErrorCode &) override {
    Head_.EndsByClose_ = need_eof();
    Events_.OnHead_(Head_);
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(TextView Body, ErrorCode &) override {
    Events_.OnBody_(view(Body));
    return Body.size();
  }
  void on_chunk_header_impl(std::uint64_t, TextView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, TextView Body,
                                 ErrorCode &) override {
    Events_.OnBody_(view(Body));
    return Body.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  ResponseParser::Events Events_;
  OriginHead Head_;
};

} // namespace

struct ResponseParser::Impl {
  explicit Impl(Events Sink) : Parser_(std::move(Sink)) {}
  BeastParser Parser_;
};

ResponseParser::ResponseParser(std::uint32_t HeaderBytes, bool HeadRequest,
                               Events Sink)
    : Inner_(std::make_unique<Impl>(std::move(Sink))) {
  Inner_->Parser_.eager(true);
  Inner_->Parser_.header_limit(HeaderBytes);
  // Beast 1.74 refuses every announced length when there is no limit.
  Inner_->Parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  Inner_->Parser_.skip(HeadRequest);
}

ResponseParser::~ResponseParser() = default;

ParseState ResponseParser::put(std::string &Input) {
  ErrorCode Error;
  ParseState State = putInput(Inner_->Parser_, Input, Error);
  if (State == ParseState::Failed)
    Error_ = Error.message();
  return State;
}

ParseState ResponseParser::putEnd() {
  auto &Parser = Inner_->Parser_;
  if (Parser.is_done())
    return ParseState::Complete;
  if (!Parser.is_header_done() || !Parser.need_eof()) {
    Error_ = "the connection ended inside the answer";
    return ParseState::Failed;
  }
  ErrorCode Error;
  Parser.put_eof(Error);
  if (Error) {
    Error_ = Error.message();
    return ParseState::Failed;
  }
  return ParseState::Complete;
}

bool ResponseParser::keepAlive() const {
  return Inner_->Parser_.is_header_done() && Inner_->Parser_.keep_alive();
}

bool ResponseParser::started() const { return Inner_->Parser_.got_some(); }

} // namespace camphorwind::net::detail
