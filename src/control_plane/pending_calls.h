// Calls that are not answered yet: what a member holds of them at most, and which it has forwarded on to
// another member under which number. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "averau/nodes.h"
#include "control_plane/change_history.h"

namespace pearspar::control_plane {

using averau::Duration;
using averau::Time;

// Who waits for an answer, as the host numbers them.
using CallerId = std::uint64_t;

// CallLimiter for calls, by count and by bytes. Whoever gets no place is refused at once, and counted.
class CallLimiter {
 public:
  CallLimiter(std::size_t max_calls, std::size_t max_bytes) : max_calls_(max_calls), max_bytes_(max_bytes) {}
  CallLimiter(const CallLimiter&) = delete;

  // Held as long as it lives; moves with its call.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept
        : limiter_(std::exchange(other.limiter_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation() { release(); }
    // What the call no longer holds.
    void shrink(std::size_t bytes);

   private:
    friend class CallLimiter;
    Reservation(CallLimiter* limiter, std::size_t bytes) : limiter_(limiter), bytes_(bytes) {}
    void release();
    CallLimiter* limiter_ = nullptr;
    std::size_t bytes_ = 0;
  };

  std::optional<Reservation> reserve(std::size_t bytes);
  std::size_t calls() const { return calls_; }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t refused() const { return refused_; }

 private:
  std::size_t max_calls_;
  std::size_t max_bytes_;
  std::size_t calls_ = 0;
  std::size_t bytes_ = 0;
  std::uint64_t refused_ = 0;
};

// An order, as it was read once.
struct ConfigurationChange {
  averau::Edition edition = 0;
  averau::Edition base = 0;
  Digest digest;
};

struct Request {
  CallerId caller = 0;       // by HTTP, or
  std::string forwarded_by;  // forwarded on by that member,
  std::uint64_t number = 0;  // under that number
  std::string method;
  std::string path;
  std::string if_match;
  std::string body;
  Time deadline{};  // answered by then, whatever happens
  CallLimiter::Reservation reservation;
  std::optional<ConfigurationChange> change;  // once it was checked

  std::size_t bytes() const { return sizeof(*this) + path.size() + if_match.size() + body.size(); }
  // What was read of it is enough from here on.
  void release_body();
};

// Calls that wait for another member's answer. A number holds the member's life, the call and which passing
// on it was: an answer to an earlier life meets nothing here, and one to an earlier passing on is known as
// such.
class ForwardedCalls {
 public:
  explicit ForwardedCalls(std::uint64_t life) : first_(life & ~max_forwards), next_(first_) {}

  struct Forwarded {
    Request request;
    std::string to;
    std::uint64_t number = 0;
  };

  // The number to be sent with it.
  std::uint64_t add(Request request, std::string to);
  // The call that this answer ends. A definite word counts whoever it was asked of; any other only if it is
  // of the member that was asked last.
  std::optional<Request> complete(std::uint64_t number, bool definite);
  std::vector<Request> take_expired(Time now);
  // To be forwarded on again. False, and the call stays as it is, where it was forwarded on too often.
  bool retry(Forwarded& forwarded, const std::string& to);
  std::vector<Request> take_all();

  std::map<std::uint64_t, Forwarded>& all() { return forwarded_; }
  std::size_t size() const { return forwarded_.size(); }
  Time due() const;

 private:
  static constexpr std::uint64_t max_forwards = 15;
  std::uint64_t first_;
  std::uint64_t next_;
  std::map<std::uint64_t, Forwarded> forwarded_;  // by the number of the first passing on
};

}  // namespace pearspar::control_plane
