#include "control_plane/pending_calls.h"

#include <algorithm>

namespace pearspar::control_plane {

CallLimiter::Reservation& CallLimiter::Reservation::operator=(Reservation&& other) noexcept {
  if (this == &other) return *this;
  release();
  limiter_ = std::exchange(other.limiter_, nullptr);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void CallLimiter::Reservation::release() {
  if (!limiter_) return;
  limiter_->bytes_ -= bytes_;
  --limiter_->calls_;
  limiter_ = nullptr;
}

void CallLimiter::Reservation::shrink(std::size_t bytes) {
  if (!limiter_) return;
  bytes = std::min(bytes, bytes_);
  bytes_ -= bytes;
  limiter_->bytes_ -= bytes;
}

std::optional<CallLimiter::Reservation> CallLimiter::reserve(std::size_t bytes) {
  if (calls_ >= max_calls_ || bytes > max_bytes_ - bytes_) {
    ++refused_;
    return std::nullopt;
  }
  ++calls_;
  bytes_ += bytes;
  return Reservation(this, bytes);
}

void Request::release_body() {
  reservation.shrink(body.size());
  std::string().swap(body);
}

std::uint64_t ForwardedCalls::add(Request request, std::string to) {
  std::uint64_t number = next_;
  next_ += max_forwards + 1;
  forwarded_[number] = {std::move(request), std::move(to), number};
  return number;
}

std::optional<Request> ForwardedCalls::complete(std::uint64_t number, bool definite) {
  auto found = forwarded_.find(number & ~max_forwards);
  if (found == forwarded_.end() || number > found->second.number) return std::nullopt;
  if (!definite && number != found->second.number) return std::nullopt;
  Request request = std::move(found->second.request);
  forwarded_.erase(found);
  return request;
}

bool ForwardedCalls::retry(Forwarded& forwarded, const std::string& to) {
  if ((forwarded.number & max_forwards) == max_forwards) return false;
  ++forwarded.number;
  forwarded.to = to;
  return true;
}

std::vector<Request> ForwardedCalls::take_expired(Time now) {
  std::vector<Request> expired;
  for (auto it = forwarded_.begin(); it != forwarded_.end();)
    if (now >= it->second.request.deadline) {
      expired.push_back(std::move(it->second.request));
      it = forwarded_.erase(it);
    } else {
      ++it;
    }
  return expired;
}

std::vector<Request> ForwardedCalls::take_all() {
  std::vector<Request> all;
  for (auto& [number, forwarded] : forwarded_) all.push_back(std::move(forwarded.request));
  forwarded_.clear();
  return all;
}

Time ForwardedCalls::due() const {
  Time due = Time::max();
  for (const auto& [number, forwarded] : forwarded_) due = std::min(due, forwarded.request.deadline);
  return due;
}

}  // namespace pearspar::control_plane
