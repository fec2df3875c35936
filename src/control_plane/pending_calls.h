// Calls that are not answered yet: their limits, and those that were forwarded to another member. Free of
// I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/node_list.h"
#include "control_plane/change_history.h"

namespace pearspar::control_plane {

using catalog::Duration;
using catalog::Time;

// A caller that waits for an answer, as numbered by the host.
using CallerId = std::uint64_t;

// Limits pending calls by number and by bytes. Calls beyond the limit are refused and counted.
class CallLimiter {
 public:
  CallLimiter(std::size_t max_calls, std::size_t max_bytes) : max_calls_(max_calls), max_bytes_(max_bytes) {}
  CallLimiter(const CallLimiter&) = delete;

  // A call's share of the limits; released by its destructor.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept
        : limiter_(std::exchange(other.limiter_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation() { release(); }
    // Returns bytes that the call no longer holds.
    void shrink(std::size_t bytes);

   private:
    friend class CallLimiter;
    Reservation(CallLimiter* limiter, std::size_t bytes) : limiter_(limiter), bytes_(bytes) {}
    void release();
    CallLimiter* limiter_ = nullptr;
    std::size_t bytes_ = 0;
  };

  // Nothing where the limits do not allow the call.
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

// A requested change of the configuration, after it was parsed.
struct ConfigurationChange {
  catalog::Revision revision = 0;
  catalog::Revision base = 0;  // the one that it replaces
  Digest digest;
};

// A call of a node or an operator, received by HTTP or from another member.
struct Request {
  CallerId caller = 0;       // by HTTP
  std::string forwarded_by;  // address of the member that forwarded it; empty: received by HTTP
  std::uint64_t number = 0;  // of the call at that member
  std::string method;
  std::string path;
  std::string if_match;
  std::string body;
  Time deadline{};  // answered by then in any case
  CallLimiter::Reservation reservation;
  std::optional<ConfigurationChange> change;  // once it was parsed and checked

  std::size_t bytes() const { return sizeof(*this) + path.size() + if_match.size() + body.size(); }
  // Frees the body, once it was parsed.
  void release_body();
};

// Calls that wait for another member's answer. The number sent with a call holds this member's incarnation,
// the call and the attempt, so that answers to an earlier incarnation are ignored and answers to an earlier
// attempt are recognized.
class ForwardedCalls {
 public:
  explicit ForwardedCalls(std::uint64_t incarnation) : first_(incarnation & ~max_forwards), next_(first_) {}

  struct Forwarded {
    Request request;
    std::string to;            // address of the member that was asked last
    std::uint64_t number = 0;  // of the last attempt
  };

  // Returns the number to be sent with the call.
  std::uint64_t add(Request request, std::string to);
  // The call that an answer completes, if any. A definite answer to any attempt counts; other answers count
  // only for the last attempt.
  std::optional<Request> complete(std::uint64_t number, bool definite);
  std::vector<Request> take_expired(Time now);
  // Starts another attempt. False where the number of attempts is exhausted; the call is unchanged then.
  bool retry(Forwarded& forwarded, const std::string& to);
  std::vector<Request> take_all();

  std::map<std::uint64_t, Forwarded>& all() { return forwarded_; }
  std::size_t size() const { return forwarded_.size(); }
  Time due() const;

 private:
  static constexpr std::uint64_t max_forwards = 15;
  std::uint64_t first_;
  std::uint64_t next_;
  std::map<std::uint64_t, Forwarded> forwarded_;  // by the number of the first attempt
};

}  // namespace pearspar::control_plane
