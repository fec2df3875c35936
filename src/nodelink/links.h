// The broker's connections to nodes and the attempts and probes in flight on them. Each attempt ends with
// exactly one outcome; a later answer is dropped.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/ports.h"
#include "log/log.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"
#include "nodelink/frames.h"
#include "policy/policy.h"

namespace pearspar::nodelink {

// Limits of all connections.
struct LinkLimits {
  int calls_per_connection = 1;
  net::Duration connect_timeout{};
  net::Duration idle_close{};  // the node closes a connection after this idle time
  bool may_cancel = false;
};

struct LinkCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t give_ups_sent = 0;
  std::uint64_t connects = 0;
  std::uint64_t connects_failed = 0;
  std::uint64_t closed_idle = 0;
  std::uint64_t closed_for_room = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t unknown_answers = 0;  // answers that match no request; the connection is closed
  std::uint64_t broken_frames = 0;
  std::uint64_t complaints = 0;
  std::uint64_t closed_silent = 0;
  std::uint64_t fell_silent = 0;  // connections avoided after an attempt on them was presumed lost
};

using engine::AttemptEnd;
using engine::Call;
using engine::ProbeEnd;

// Receives the outcomes of attempts and probes.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  virtual void attempt_ended(const AttemptEnd& end) = 0;
  virtual void probe_ended(const ProbeEnd& end) = 0;
  // Frees a descriptor for a connection to a node if none is left. False if that is impossible.
  virtual bool make_room() = 0;
};

// All connections to nodes.
class Links {
 public:
  Links(net::Loop& loop, log::Logger& log, const LinkLimits& limits, LinkHandler& handler)
      : loop_(loop), log_(log), limits_(limits), handler_(handler) {}

  // Sets the address of a node and the time of its last start; connections to an earlier address or
  // process get no new requests.
  void place(NodeId node, const net::Address& address, double up_since_ms);
  // Removes a node; its connections are closed as soon as nothing is in flight on them, and its state is
  // dropped with the last one.
  void retire(NodeId node);

  // Sending a part again while an earlier attempt is in flight presumes that attempt lost.
  void send(NodeId node, std::span<const Call> call);
  // The query of the part is over: ends its attempts that have not begun to be written.
  void withdraw(PartId part);
  // Ends the attempt as cancelled; does nothing if it has ended.
  void give_up(PartId part, int attempt);
  void probe(NodeId node, bool for_load);
  void drop_idle(NodeId node);
  // Closes the connection that has been idle longest. False if none is idle.
  bool close_one_idle();

  std::size_t nodes() const { return nodes_.size(); }
  std::size_t connections() const { return connections_.size(); }
  std::size_t attempts_out() const { return attempts_.size(); }
  const LinkCounters& counters() const { return counters_; }

 private:
  struct Attempt {
    PartId part = 0;
    int number = 0;
    NodeId node = 0;
    net::SlotId connection;
    std::uint64_t call = 0;
    std::string id;
    net::Time sent{};
    net::Time forget_at{};
    bool written = false;  // the last byte of its frame has been written
    net::Time written_at{};
    net::Timer timer;
  };
  struct QueuedPart {
    net::SlotId attempt;
    int shard = 0;
    std::string text;
    net::Time give_up_at{};
  };
  // A call is serialized only when its turn to be written has come; until then parts may be removed.
  struct Frame {
    std::string bytes;
    std::vector<QueuedPart> parts;
  };
  struct Probe {
    net::Time sent{};
    bool ended = false;  // timed out; the answer is still awaited, as answers come in order
  };
  // An attempt ended here whose node may still answer it.
  struct Abandoned {
    std::uint64_t call = 0;
    net::Time forget_at{};
  };
  struct Connection {
    NodeId node = 0;
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;  // the connect timeout, then the idle timeout
    bool up = false;
    bool retired = false;
    // An attempt on it was presumed lost and nothing has been read since that was written.
    bool silent = false;
    net::Time last_read{};
    net::Time last_used{};
    net::Buffer in;
    std::deque<Frame> out;
    std::size_t front_written = 0;  // bytes of the first frame in `out`
    std::map<std::string, net::SlotId, std::less<>> attempts;
    std::map<std::string, Abandoned, std::less<>> abandoned;
    std::deque<std::size_t> settled;     // hashes of the ids answered or forgotten last
    std::map<std::uint64_t, int> calls;  // parts in flight, by call
    std::deque<Probe> probes;
    net::Timer probe_timer;
  };
  struct Node {
    net::Address address;
    double up_since_ms = 0;
    std::vector<net::SlotId> connections;
    bool gone = false;
    std::uint64_t failures = 0;  // failed connections since the last answer
  };

  void note_failure(Node& node, const char* why);
  void note_answer(NodeId node);
  net::SlotId connection_for(NodeId node, std::span<const Call> call);
  net::SlotId open(NodeId node);
  void on_ready(net::SlotId id, short events);
  void on_connected(net::SlotId id);
  bool read(net::SlotId id);
  void handle_frame(net::SlotId id, const FrameView& frame);
  void handle_answer(net::SlotId id, const PartAnswer& answer);
  void handle_probe_answer(net::SlotId id, const FrameView& frame);
  void write(net::SlotId id);
  void update_watch(Connection& connection);
  void enqueue(net::SlotId id, Frame frame);
  void serialize(Frame& frame);
  bool unqueue(Connection& connection, net::SlotId attempt);
  void arm_idle_timer(net::SlotId id);
  void on_idle_timer(net::SlotId id);
  void on_probe_timer(net::SlotId id);
  void arm_probe_timer(net::SlotId id);
  void forget_old(Connection& connection);
  void mark_silent(const Attempt& attempt);
  bool close_if_silent(net::SlotId id);
  void mark_earlier_silent(PartId part, int attempt);
  void remember_settled(Connection& connection, std::string_view wire_id);
  void release_call_part(Connection& connection, std::uint64_t call);
  void retire_connection(net::SlotId id);
  // All connections are closed here; attempts and probes in flight get their outcome.
  void close(net::SlotId id, const char* why);
  // All attempts end here.
  void end(net::SlotId attempt, Outcome outcome, std::string_view value = {}, std::string_view report = {});
  void abandon(net::SlotId attempt, Outcome outcome);

  net::Loop& loop_;
  log::Logger& log_;
  LinkLimits limits_;
  LinkHandler& handler_;
  std::map<NodeId, Node> nodes_;
  net::SlotTable<Connection> connections_;
  net::SlotTable<Attempt> attempts_;
  std::map<std::pair<PartId, int>, net::SlotId> by_part_;
  std::uint64_t last_call_ = 0;
  LinkCounters counters_;
};

}  // namespace pearspar::nodelink
