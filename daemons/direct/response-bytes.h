#ifndef CAMPHORWIND_DAEMONS_DIRECT_RESPONSE_BYTES_H
#define CAMPHORWIND_DAEMONS_DIRECT_RESPONSE_BYTES_H

#include <cstddef>
#include <memory>
#include <utility>

namespace camphorwind::direct {

/// Bytes that the responses of a router hold together.
struct ResponseBytes {
  std::size_t Held_ = 0;
  std::size_t Limit_ = 0;

  bool exceeded() const { return Held_ > Limit_; }
};

/// Bytes that one response holds; they no longer count once it is destroyed.
class ResponseCharge {
public:
  explicit ResponseCharge(std::shared_ptr<ResponseBytes> All)
      : All_(std::move(All)) {}
  ~ResponseCharge() { set(0); }
  ResponseCharge(const ResponseCharge &) = delete;
  ResponseCharge &operator=(const ResponseCharge &) = delete;

  void set(std::size_t Bytes) {
    All_->Held_ += Bytes;
    All_->Held_ -= std::exchange(Bytes_, Bytes);
  }

private:
  std::shared_ptr<ResponseBytes> All_;
  std::size_t Bytes_ = 0;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_RESPONSE_BYTES_H
