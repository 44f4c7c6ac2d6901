#include "request-parser.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <limits>
#include <utility>

namespace camphorwind::net::detail {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using TextView = boost::beast::string_view;

/// Adapts Beast's virtual callbacks to RequestSink.
class BeastParser final : public http::basic_parser<true> {
public:
  explicit BeastParser(RequestSink &Sink) : Sink_(Sink) {}

  std::size_t headBytes() const { return HeadBytes_; }

private:
  void on_request_impl(http::verb, TextView Method, TextView Target,
                       int Version, ErrorCode &) override {
    constexpr int Http11 = 11;
    Head_.Method_ = view(Method);
    Head_.Target_ = view(Target);
    Head_.IsHttp10_ = Version < Http11;
  }
  void on_response_impl(int, TextView, int, ErrorCode &) override {}
  void on_field_impl(http::field, TextView Name, TextView Value,
                     ErrorCode &) override {
    // Trailers are dropped.
    if (is_header_done())
      return;
    Head_.Headers_.add(std::string(view(Name)), std::string(view(Value)));
    // The array of fields may have room for twice as many.
    constexpr std::size_t FieldBytes = 4 * sizeof(std::string);
    HeadBytes_ += FieldBytes + Name.size() + Value.size();
  }
  void on_header_impl(ErrorCode &Error) override {
    // With another coding, where the request ends is not known.
    auto Coding = Head_.Headers_.find("Transfer-Encoding");
    if (Coding && !boost::algorithm::iequals(*Coding, "chunked")) {
      Error = http::error::bad_transfer_encoding;
      return;
    }
    Head_.KeepAlive_ = keep_alive();
    if (auto Length = content_length())
      Head_.BodyBytes_ = *Length;
    HeadBytes_ = 0;
    if (!Sink_.onHead(std::move(Head_)))
      Error = http::error::body_limit;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(TextView Body, ErrorCode &Error) override {
    return take(Body, Error);
  }
  void on_chunk_header_impl(std::uint64_t, TextView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, TextView Body,
                                 ErrorCode &Error) override {
    return take(Body, Error);
  }
  void on_finish_impl(ErrorCode &) override {}

  std::size_t take(TextView Body, ErrorCode &Error) {
    if (!Sink_.onBody(view(Body)))
      Error = http::error::body_limit;
    return Body.size();
  }

  RequestSink &Sink_;
  RequestHead Head_;
  /// Memory of the fields of Head_, until the sink has them.
  std::size_t HeadBytes_ = 0;
};

} // namespace

struct RequestParser::Impl {
  explicit Impl(RequestSink &Sink) : Parser_(Sink) {}
  BeastParser Parser_;
};

RequestParser::RequestParser(std::uint32_t MaxHeadBytes, RequestSink &Sink)
    : Inner_(std::make_unique<Impl>(Sink)), MaxHeadBytes_(MaxHeadBytes) {
  Inner_->Parser_.eager(true);
  Inner_->Parser_.header_limit(MaxHeadBytes);
  // Beast 1.74 refuses every announced length when there is no limit.
  Inner_->Parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

RequestParser::~RequestParser() = default;

ParseState RequestParser::put(std::string &Input) {
  const std::size_t Given = Input.size();
  ErrorCode Error;
  ParseState State = putInput(Inner_->Parser_, Input, Error);
  // Beast limits only the part of a head that it has not parsed yet.
  const bool InHead = !headDone();
  if (InHead)
    HeadBytes_ += Given - Input.size();
  const std::size_t Unparsed = Input.size() + (InHead ? HeadBytes_ : 0);
  if (State == ParseState::NeedMore && Unparsed > MaxHeadBytes_)
    State = ParseState::Failed;
  HeadTooLarge_ =
      State == ParseState::Failed && InHead &&
      (Unparsed > MaxHeadBytes_ || Error == http::error::header_limit);
  return State;
}

std::size_t RequestParser::memoryBytes() const {
  return Inner_->Parser_.headBytes();
}

bool RequestParser::headDone() const {
  return Inner_->Parser_.is_header_done();
}

} // namespace camphorwind::net::detail
