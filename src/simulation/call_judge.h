// The judge of single calls: whether answers belong to whom they reach, and whether what may not be repeated
// is run once at most and refused only where it never runs. Told what clients and nodes saw on their
// connections, and nothing else; each broken rule is a line that begins with the rule's name.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace pearspar::simulation {

// What a client sends, byte for byte of each field.
struct AskedCall {
  std::string method;
  std::string target;
  std::string body;
  bool repeatable = true;
  bool gathers = false;
  bool proper = true;  // nothing about it is to be refused
};

class CallJudge {
 public:
  using Broken = std::function<void(const std::string& rule, const std::string& what)>;
  explicit CallJudge(Broken broken) : broken_(std::move(broken)) {}

  // Clients. Before the first byte of it goes out; then, when the last one has.
  void begun(const std::string& id, AskedCall call);
  void sent(const std::string& id) { calls_[id].sent = true; }
  // A whole answer on the connection on which `id` is the oldest that waits; `echo`: the id that it names.
  struct Answer {
    int status = 0;
    std::string echo;
    std::string stamp;
    std::string body;
    std::string length = {};  // that it names
  };
  void heard(const std::string& id, const Answer& answer);
  // Bytes on a connection where nobody waits, or that are no answer.
  void stray(const std::string& what) { broken_("MIXED", what); }

  // Nodes. `good`: the answer is a success, and `body` its whole body.
  void ran(const std::string& node, const std::string& id, const std::string& method,
           const std::string& target, const std::string& body);
  void answers(const std::string& stamp, const std::string& id, bool good, const std::string& body);

  // How often each rule had something to look at.
  struct Seen {
    std::uint64_t calls = 0, unrepeatable = 0, runs = 0, successes = 0, promises = 0;
  };
  const Seen& seen() const { return seen_; }

 private:
  struct Call {
    AskedCall asked;
    bool known = false;
    bool sent = false;
    int runs = 0;
    int promised = 0;  // status of a promise that it never runs
  };
  struct Given {
    std::string id;
    bool good = false;
    std::string body;
  };
  Broken broken_;
  std::map<std::string, Call> calls_;
  std::map<std::string, Given> given_;  // by stamp
  Seen seen_;
};

}  // namespace pearspar::simulation
