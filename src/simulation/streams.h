// Byte streams between simulated processes, as TCP gives them: in order, in pieces, with delay and a window;
// a side that ends, is reset, or goes silent. A Host gives one life of a process its descriptors, so that
// code which asks net::Kernel runs on these streams unchanged.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/kernel.h"
#include "net/socket.h"
#include "simulation/world.h"

namespace pearspar::simulation {

class Streams;

// One side of a connection.
class End : public std::enable_shared_from_this<End> {
 public:
  enum class State { coming, refused, up, reset };

  State state() const { return state_; }
  // What has come and was not taken; it stays readable behind a reset where the reset left it.
  std::string_view arrived() const { return in_; }
  std::string take(std::size_t most = std::string::npos);
  // The other side has ended and all that it wrote is here.
  bool ended() const { return peer_ended_; }
  std::size_t room() const;
  // Writes what the window takes, and says how much that was.
  std::size_t write(std::string_view bytes);
  // Our side ends behind what was written.
  void finish();
  // Both sides end at once; what the other has not taken is lost to it, or not, as the seed will.
  void reset();
  // As a process that closes its socket: an end, or a reset where something was not taken.
  void close();
  // From now on nothing gets through in either direction, and nobody is told.
  void hush();
  void set_silence_timeout(Duration most) { silence_ = most; }

  // Something has come, there is room again, or the state has changed.
  std::function<void()> on_change = [] {};

 private:
  friend class Streams;
  friend class Host;
  explicit End(Streams& streams) : streams_(streams) {}
  void send(std::function<void(End&)> what);
  void arrive(std::string bytes);
  void broken();
  void part();

  Streams& streams_;
  std::shared_ptr<End> peer_;  // until both have closed
  State state_ = State::coming;
  std::string in_;
  std::size_t under_way_ = 0;  // written, not yet in the other's in_
  std::size_t swallowed_ = 0;  // written behind a silence
  Time free_{};                // when what was sent last arrives
  Duration silence_{};
  bool finished_ = false;
  bool peer_ended_ = false;
  bool closed_ = false;
  bool hushed_ = false;
};
using EndPtr = std::shared_ptr<End>;

// What happens to a connection that is asked for.
enum class Reach { open, refused, hung };

class Streams {
 public:
  explicit Streams(World& world) : world_(world) {}
  Streams(const Streams&) = delete;
  ~Streams();

  void set_delay(Duration least, Duration most) { least_ = least, most_ = most; }
  void set_window(std::size_t bytes) { window_ = bytes; }
  // `accept` is given the far side of each connection that comes up; listeners end with `stop`.
  using Accept = std::function<void(EndPtr)>;
  void listen(const std::string& address, Accept accept) { listeners_[address] = std::move(accept); }
  void stop(const std::string& address) { listeners_.erase(address); }
  // Asked for each connection before it comes up; by default one to a listener is open, others are refused.
  std::function<Reach(const std::string& address)> reach = [this](const std::string& address) {
    return listeners_.count(address) ? Reach::open : Reach::refused;
  };
  EndPtr connect(const std::string& address);

  World& world() { return world_; }
  Duration delay() { return Duration(world_.uniform(least_.count(), most_.count())); }
  struct Counters {
    std::uint64_t opened = 0, refused = 0, hung = 0, resets = 0, ends = 0, silences = 0, held_up = 0,
                  bytes = 0;
  };
  Counters counters;

 private:
  friend class End;
  World& world_;
  Duration least_{0.0003}, most_{0.002};
  std::size_t window_ = 16 * 1024;
  std::map<std::string, Accept> listeners_;
  std::vector<std::weak_ptr<End>> all_;
};

// One life of a process. Its end closes what it has open.
class Host : public net::Kernel {
 public:
  explicit Host(Streams& streams) : streams_(streams) {}
  Host(const Host&) = delete;
  ~Host() override;

  // Called when a descriptor may have become ready.
  std::function<void()> wake = [] {};
  // Whether the last poll found any.
  bool was_ready() const { return was_ready_; }

  net::Time now() override { return streams_.world().now(); }
  int poll(pollfd* set, std::size_t size) override;
  int listen(const net::Address& address) override;
  net::Address local_address(int fd) override;
  net::AcceptResult accept(int listener, int& accepted) override;
  int connect(const net::Address& address, int& error) override;
  int connect_error(int fd) override;
  void set_silence_timeout(int fd, int ms) override;
  net::IoResult read(int fd, char* into, std::size_t most, std::size_t& got) override;
  net::IoResult write(int fd, std::string_view bytes, std::size_t& written) override;
  void end_sending(int fd) override;
  void close(int fd) override;

 private:
  struct Listening {
    net::Address address;
    std::map<std::uint64_t, EndPtr> waiting;
  };
  struct Descriptor {
    EndPtr end;
    std::shared_ptr<Listening> listening;
  };
  static constexpr int first_fd = 1 << 20;
  int add(Descriptor descriptor);
  short ready(const Descriptor& descriptor) const;
  Descriptor& at(int fd) { return open_.at(fd); }

  Streams& streams_;
  std::map<int, Descriptor> open_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t next_ = 0;
  bool was_ready_ = false;
};

}  // namespace pearspar::simulation
