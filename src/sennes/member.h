// A member of the core, whole but for its sockets and its disk: agreement, state and office on a wire and a
// store that its host brings. Free of I/O.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sennes/office.h"
#include "transport/transport.h"

namespace pearspar::sennes {

class Member {
 public:
  Member(transport::Transport& wire, raft::Store& store, raft::Options agreement, OfficeOptions office);

  // Reads the store. Until it has gone well everything is refused; it may be tried again.
  std::error_code start(Time now);
  bool started() const { return started_; }
  void set_seeds(std::vector<std::string> seeds) { core_.set_seeds(std::move(seeds)); }

  void call(Time now, Asker asker, std::string_view method, std::string_view path, std::string_view if_match,
            std::string_view body);
  // A link that we dialled, to the member at that address.
  void link_up(Time now, LinkId link, const std::string& address);
  void link_frame(Time now, LinkId link, std::string_view frame);
  void link_down(LinkId link) {
    early_.erase(link);
    office_.link_closed(link);
  }

  // After every event, and at due(): does what is due and puts on the wire what there is to say. The clock is
  // read again before anything is said: a write to disk may have taken seconds, and the lease with it.
  using Clock = std::function<Time()>;
  std::vector<Reply> advance(const Clock& clock);
  Time due() const;
  // Before an end that was asked for; it may end when may_end() says so, or its grace is over.
  void hand_over(Time now);
  bool may_end() const { return !started_ || core_.may_end(); }

  const raft::Core& core() const { return core_; }
  const State& state() const { return state_; }
  const Office& office() const { return office_; }
  std::uint64_t unread() const { return unread_; }

 private:
  void keep_links();
  void keep_early(LinkId link, std::string_view frame);
  void keep_note(Time now);

  transport::Transport& wire_;
  std::string address_;
  State state_;
  raft::Core core_;
  Office office_;
  bool started_ = false;
  std::map<LinkId, std::string> early_;  // hellos that came before the store could be read
  std::vector<Reply> refused_;
  std::vector<std::string> kept_;
  std::uint64_t noted_changes_ = 0;
  raft::Index noted_commit_ = 0;
  Time note_due_{};
  std::uint64_t unread_ = 0;
};

}  // namespace pearspar::sennes
