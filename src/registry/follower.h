// Decides what to ask the registry, whom and when, so that the view stays equal to it. Free of I/O and given
// the time: a host carries out the commands and hands back what came of them, each under its ticket.
//
// Between calls: at most one page or watch and one look at the standing are out; what comes under an old
// ticket is ignored. Every wait has an end that due() names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "net/clock.h"
#include "registry/endpoints.h"
#include "registry/types.h"
#include "registry/view.h"

namespace pearspar::registry {

struct FollowerOptions {
  Pacing pacing;
  // For a page, a look, and a watch to be made. What is asked of a member without a quorum never comes.
  net::Duration reply_timeout = std::chrono::milliseconds(600);
  net::Duration look_every = std::chrono::milliseconds(500);
  // How long a watch may owe what a look has shown to exist.
  net::Duration watch_patience = std::chrono::milliseconds(300);
  net::Duration settle = std::chrono::seconds(1);  // a watch that stood so long ends a row of failures
  net::Duration poll_wait = std::chrono::milliseconds(1000);  // a blocking read's
  // All keys are read anew so often, against what a watch lost in its midst, which its protocol rules out; 0
  // = never.
  net::Duration audit_every = std::chrono::minutes(5);
  int page = 1000;  // keys
  ViewLimits view;
};

struct Ask {
  enum class Kind { page, watch, look, poll };
  Kind kind = Kind::page;
  std::uint64_t ticket = 0;
  int endpoint = 0;
  Revision revision = 0;   // page, look: pinned to it, 0 = the newest; watch: from it on; poll: until past it
  bool with_item = false;  // look: the newest item too, not only its revision
  std::string after;       // page: keys behind this one
  int limit = 0;
  net::Duration wait{};  // poll: how long the registry may hold it
};
struct Drop {
  std::uint64_t ticket = 0;  // its connection ends, nothing of it is wanted
};
using Command = std::variant<Ask, Drop>;

struct FollowerCounters {
  std::uint64_t asks = 0;
  std::uint64_t failures[fault_kinds] = {};
  std::uint64_t snapshots = 0;      // finished
  std::uint64_t events = 0;         // changes that were told
  std::uint64_t repeated = 0;       // messages that held nothing new
  std::uint64_t audits = 0;         // begun
  std::uint64_t holes = 0;          // changes that did not follow on what stood
  std::uint64_t silent = 0;         // watches that owed something too long
  std::uint64_t diverged = 0;       // resumptions at which the registry no longer had what we have
  std::uint64_t doubts = 0;         // answers from another history
  std::uint64_t new_histories = 0;  // believed
  std::uint64_t too_large = 0;      // snapshots or changes over the view's limits
};

// What both dialects' followers share: the view, the endpoints, tickets, the commands.
class Follower {
 public:
  virtual ~Follower() = default;

  virtual void start(net::Time now) = 0;
  void stop();
  // Reads all keys anew.
  virtual void refresh(net::Time now) = 0;
  virtual void tick(net::Time now) = 0;
  virtual net::Time due() const = 0;

  // What came of a command.
  virtual void page_in(net::Time now, std::uint64_t ticket, const Page& page) = 0;
  virtual void watch_made(net::Time now, std::uint64_t ticket, const Header& header) = 0;
  virtual void told(net::Time now, std::uint64_t ticket, Events events) = 0;
  virtual void look_in(net::Time now, std::uint64_t ticket, const Standing& standing) = 0;
  virtual void failed(net::Time now, std::uint64_t ticket, Fault fault) = 0;

  View& view() { return view_; }
  const View& view() const { return view_; }
  const FollowerCounters& counters() const { return counters_; }
  // Whether what stands is being told on; false from a failure until a watch or blocking read stands again.
  bool live() const { return view_.state() == ViewState::following; }
  int endpoint() const { return endpoint_; }
  std::vector<Command> take_commands() { return std::exchange(commands_, {}); }

 protected:
  Follower(int endpoints, const FollowerOptions& options, std::uint64_t seed)
      : options_(options), endpoints_(endpoints, options.pacing, seed), view_(options.view) {}

  std::uint64_t ask(Ask::Kind kind, Revision revision = 0, std::string after = {}, int limit = 0,
                    bool with_item = false);
  void drop(std::uint64_t& ticket);
  // Another history than the one we know? True where the header may be used; else a doubt was noted.
  bool check(net::Time now, const Header& header);
  void adopt(const Header& header);
  // Believed by now, so that what is read next counts whatever it says.
  bool believed(net::Time now, const Header& header);

  FollowerOptions options_;
  Endpoints endpoints_;
  View view_;
  FollowerCounters counters_;
  std::optional<Header> known_;  // the history that the view belongs to
  int endpoint_ = -1;
  bool running_ = false;

 private:
  std::vector<Command> commands_;
  std::uint64_t last_ticket_ = 0;
};

// For registries with streamed watches and reads pinned to a revision.
class WatchFollower final : public Follower {
 public:
  WatchFollower(int endpoints, const FollowerOptions& options, std::uint64_t seed)
      : Follower(endpoints, options, seed), page_(options.page) {}

  void start(net::Time now) override;
  void refresh(net::Time now) override;
  void tick(net::Time now) override;
  net::Time due() const override;
  void page_in(net::Time now, std::uint64_t ticket, const Page& page) override;
  void watch_made(net::Time now, std::uint64_t ticket, const Header& header) override;
  void told(net::Time now, std::uint64_t ticket, Events events) override;
  void look_in(net::Time now, std::uint64_t ticket, const Standing& standing) override;
  void failed(net::Time now, std::uint64_t ticket, Fault fault) override;

 private:
  enum class Step { idle, resting, verifying, reading, opening, watching };

  void next(net::Time now);
  void read(net::Time now);
  void verify(net::Time now, Revision pin);
  bool agrees(const Standing& standing) const;
  void verified(net::Time now, const Standing& standing);
  void open_watch(net::Time now);
  void rest(net::Time now);
  void leave(net::Time now, Fault fault);
  void read_anew(net::Time now);
  void doubt(net::Time now, const Header& header);

  Step step_ = Step::idle;
  net::Time until_{};       // resting: its end; reading, opening: when the reply is late
  std::uint64_t main_ = 0;  // ticket of the page or the watch
  std::uint64_t look_ = 0;  // ticket of the look that is out
  net::Time look_until_{};
  net::Time next_look_{};
  bool need_snapshot_ = true;
  bool whole_ = true;  // the next snapshot is told whole
  net::Time last_anew_{};
  net::Time next_audit_{};  // of a view that stands
  Revision verify_at_ = 0;  // the pin of the look that verifies, 0 = the newest
  Revision pinned_ = 0;     // of the snapshot that is gathered, 0 before its first page
  int page_;
  net::Time watching_since_{};
  std::vector<Change> fragments_;  // of a message that is not whole yet
  std::size_t fragment_bytes_ = 0;
  // What a look has shown and the watch owes.
  std::optional<net::Time> owed_until_;
  Revision owed_at_ = 0;  // the view's revision then
};

// For registries that answer blocking reads with all keys at once.
class PollFollower final : public Follower {
 public:
  PollFollower(int endpoints, const FollowerOptions& options, std::uint64_t seed)
      : Follower(endpoints, options, seed) {}

  void start(net::Time now) override;
  void refresh(net::Time now) override;
  void tick(net::Time now) override;
  net::Time due() const override;
  void page_in(net::Time now, std::uint64_t ticket, const Page& page) override;
  void watch_made(net::Time, std::uint64_t, const Header&) override {}
  void told(net::Time, std::uint64_t, Events) override {}
  void look_in(net::Time, std::uint64_t, const Standing&) override {}
  void failed(net::Time now, std::uint64_t ticket, Fault fault) override;

 private:
  void poll(net::Time now);
  void leave(net::Time now, Fault fault);
  void rest(net::Time now);

  std::uint64_t main_ = 0;
  net::Time until_{};   // the reply's, or the rest's end
  Revision index_ = 0;  // to wait beyond; 0 = answer at once
  net::Time since_{};
  net::Time asked_{};
  bool whole_ = true;  // the next list is told whole
};

}  // namespace pearspar::registry
