// A complete member of the core except for its sockets and disk: raft, replicated state and controller, on a
// transport and a store that the host provides. Free of I/O.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control_plane/controller.h"
#include "transport/transport.h"

namespace pearspar::control_plane {

class Member {
 public:
  Member(transport::Transport& wire, raft::Store& store, raft::Options agreement,
         ControllerOptions controller);

  // Reads the store. All calls are refused until this has succeeded; it may be tried again.
  std::error_code start(Time now);
  bool started() const { return started_; }
  void set_seeds(std::vector<std::string> seeds) { core_.set_seeds(std::move(seeds)); }

  void call(Time now, CallerId caller, std::string_view method, std::string_view path,
            std::string_view if_match, std::string_view body);
  // An outgoing link to the member at that address is up.
  void link_up(Time now, LinkId link, const std::string& address);
  void link_frame(Time now, LinkId link, std::string_view frame);
  void link_down(LinkId link) {
    early_hellos_.erase(link);
    controller_.link_closed(link);
  }

  // To be called after every event and at due(): does what is due, sends messages and returns replies. Reads
  // the clock again before sending, since the lease may have expired during a slow write to disk.
  using Clock = std::function<Time()>;
  std::vector<Reply> advance(const Clock& clock);
  Time due() const;
  // Prepares a graceful shutdown, which is complete when may_shut_down() holds.
  void transfer_leadership(Time now);
  bool may_shut_down() const { return !started_ || core_.may_shut_down(); }

  const raft::Core& core() const { return core_; }
  const ReplicatedState& state() const { return state_; }
  const Controller& controller() const { return controller_; }
  std::deque<RefusedCall> take_refused_calls() { return controller_.take_refused_calls(); }
  std::uint64_t unreadable_frames() const { return unreadable_frames_; }

 private:
  void update_links();
  void buffer_early_hello(LinkId link, std::string_view frame);
  void save_nodes(Time now);

  transport::Transport& wire_;
  std::string address_;
  ReplicatedState state_;
  raft::Core core_;
  Controller controller_;
  bool started_ = false;
  std::map<LinkId, std::string> early_hellos_;  // received before the store was read
  std::vector<Reply> early_replies_;
  std::vector<std::string> linked_members_;
  std::uint64_t saved_node_list_changes_ = 0;
  raft::Index saved_commit_ = 0;
  Time next_save_{};
  std::uint64_t unreadable_frames_ = 0;
};

}  // namespace pearspar::control_plane
