// The two HTTP sides of the rig: clients that ask edges and index servers that edges ask, in bytes, with
// their troubles; inside this package only.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "simulation/cluster.h"
#include "simulation/plain_http.h"

namespace pearspar::simulation {

// What one index server says on its address, from start to start.
struct Cluster::NodeServer {
  NodeServer(Cluster& to, Node& of) : all(to), node(of) {}

  void start();
  // `dark`: without a word.
  void end(bool dark);

 private:
  struct Line {
    EndPtr end;
    std::string in, out;
    bool busy = false;
    bool closing = false;
    bool stalled = false;  // half an answer is out, and no more comes
    bool head = false;     // what is at work is a HEAD
    bool hurried = false;  // whether to answer before it is whole was drawn
    std::string late;      // a second answer to the last request, not sent yet
    std::uint64_t served = 0;
  };
  void accept(EndPtr end);
  void step(std::uint64_t number);
  void flush(Line& line);
  void drop(std::uint64_t number, bool reset);
  void handle(std::uint64_t number, const PlainMessage& request);
  void reply(std::uint64_t number, const PlainMessage& request);
  void turn_away(std::uint64_t number, const std::string& id, int status, const std::string& more);
  void say(std::uint64_t number, std::string text, bool close);
  void forget(std::uint64_t number);
  void note_run(const PlainMessage& request);
  // What the edge was to leave out, or to set right.
  void check_lines(const PlainMessage& request);
  // An answer before the request is whole, now and then.
  void hurry(std::uint64_t number);
  std::string answer_text(int status, const std::string& id, const Made& made, const std::string& more,
                          bool head = false);

  Cluster& all;
  Node& node;
  std::map<std::uint64_t, Line> lines;
  std::uint64_t next = 0;
};

struct Cluster::Clients {
  explicit Clients(Cluster& to) : all(to) {}

  // One request of the kind, or a few at once on one connection.
  void ask(Edge& edge, const std::string& kind);
  // One plain request on a connection that stands, or a new one.
  void send_one(Edge& edge, const std::string& id, const std::string& target, const std::string& lines);

 private:
  struct Asked {
    std::string id;
    std::size_t until = 0;  // of the connection's bytes: where it is whole
    std::string held;       // its body, which waits for a word
    bool sent = false;
    bool head = false;  // its answer has no body
    Time at{};          // asked
  };
  struct Line {
    EndPtr end;
    Edge* edge = nullptr;
    std::string in, out;
    std::size_t queued = 0, written = 0;
    std::deque<Asked> waiting;
    Time deaf_until{};  // reads nothing
    Time slow_until{};  // writes by drips
    Time give_up{};
  };
  std::uint64_t line_to(Edge& edge);
  void add(Line& line, const std::string& id, const std::string& method, const std::string& target,
           const std::string& lines, const std::string& body, bool repeatable);
  void trouble(std::uint64_t number);
  void step(std::uint64_t number);
  void flush(std::uint64_t number);
  bool read(std::uint64_t number);
  void drop(std::uint64_t number, bool reset);
  void look_again(std::uint64_t number, Time when);
  std::string body_for(const std::string& id);
  void note(const Asked& asked, int status);

  Cluster& all;
  std::map<std::uint64_t, Line> lines;
  std::uint64_t next = 0;
};

}  // namespace pearspar::simulation
