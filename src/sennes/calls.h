// Calls that are not answered yet: what a member holds of them at most, and which it has passed on to another
// member under which number. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/node_list.h"
#include "sennes/taken.h"

namespace pearspar::sennes {

using catalog::Duration;
using catalog::Time;

// Who waits for an answer, as the host numbers them.
using Asker = std::uint64_t;

// Room for calls, by count and by bytes. Whoever gets no place is refused at once, and counted.
class Room {
 public:
  Room(std::size_t most_calls, std::size_t most_bytes) : most_calls_(most_calls), most_bytes_(most_bytes) {}
  Room(const Room&) = delete;

  // Held as long as it lives; moves with its call.
  class Place {
   public:
    Place() = default;
    Place(Place&& other) noexcept
        : room_(std::exchange(other.room_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Place& operator=(Place&& other) noexcept;
    ~Place() { leave(); }
    // What the call no longer holds.
    void shrink(std::size_t bytes);

   private:
    friend class Room;
    Place(Room* room, std::size_t bytes) : room_(room), bytes_(bytes) {}
    void leave();
    Room* room_ = nullptr;
    std::size_t bytes_ = 0;
  };

  std::optional<Place> take(std::size_t bytes);
  std::size_t calls() const { return calls_; }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t refused() const { return refused_; }

 private:
  std::size_t most_calls_;
  std::size_t most_bytes_;
  std::size_t calls_ = 0;
  std::size_t bytes_ = 0;
  std::uint64_t refused_ = 0;
};

// An order, as it was read once.
struct Order {
  catalog::Revision revision = 0;
  catalog::Revision base = 0;
  Digest digest;
};

struct Request {
  Asker asker = 0;           // by HTTP, or
  std::string from;          // passed on by that member,
  std::uint64_t number = 0;  // under that number
  std::string method;
  std::string path;
  std::string if_match;
  std::string body;
  Time until{};  // answered by then, whatever happens
  Room::Place place;
  std::optional<Order> order;  // once it was checked

  std::size_t bytes() const { return sizeof(*this) + path.size() + if_match.size() + body.size(); }
  // What was read of it is enough from here on.
  void drop_body();
};

// Calls that wait for another member's answer. A number holds the member's life, the call and which passing
// on it was: an answer to an earlier life meets nothing here, and one to an earlier passing on is known as
// such.
class PassedCalls {
 public:
  explicit PassedCalls(std::uint64_t life) : first_(life & ~most_passes), next_(first_) {}

  struct Passed {
    Request request;
    std::string to;
    std::uint64_t number = 0;
  };

  // The number to be sent with it.
  std::uint64_t add(Request request, std::string to);
  // The call that this answer ends. A definite word counts whoever it was asked of; any other only if it is
  // of the member that was asked last.
  std::optional<Request> answered(std::uint64_t number, bool definite);
  std::vector<Request> take_expired(Time now);
  // To be passed on again. False, and the call stays as it is, where it was passed on too often.
  bool again(Passed& passed, const std::string& to);
  std::vector<Request> take_all();

  std::map<std::uint64_t, Passed>& all() { return passed_; }
  std::size_t size() const { return passed_.size(); }
  Time due() const;

 private:
  static constexpr std::uint64_t most_passes = 15;
  std::uint64_t first_;
  std::uint64_t next_;
  std::map<std::uint64_t, Passed> passed_;  // by the number of the first passing on
};

}  // namespace pearspar::sennes
