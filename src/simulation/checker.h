// The judge of a run: told what clients, operators and nodes saw, and nothing else. It shares no code with
// what it judges; each broken rule is a line that begins with the rule's name.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pearspar::simulation {

class Checker {
 public:
  // Operators. `text` is the whole body, which is different for every change.
  void change_sent(std::uint64_t on_top_of, std::uint64_t revision, const std::string& text);
  void change_answered(double at, std::uint64_t on_top_of, std::uint64_t revision, const std::string& text,
                       int status);
  // What a read that was begun at `began` gave.
  void read(double began, double at, std::uint64_t revision, const std::string& text);
  void read_nothing(double began);
  // A control call, and what the member that it was sent to says to it: belongs it to this call at all?
  struct Call {
    std::string method;
    std::string path;
    std::string body;
  };
  void call_answered(const Call& call, int status, const std::string& body);

  // What one life of an edge goes by.
  void edge_routes_by(double at, const std::string& edge, std::uint64_t life, std::uint64_t revision,
                      const std::string& text);

  // Nodes.
  void leaving_acknowledged(double at, const std::string& node);
  // Number of nodes whose leaving was acknowledged.
  std::size_t left() const { return left_.size(); }
  void request_reached(double at, const std::string& node, const std::string& service,
                       const std::string& request, bool edge_in_touch);
  void request_made(double at, const std::string& request, const std::vector<std::string>& services);
  // A gathered success: parts as (service, records), the sets of services that configurations ever named.
  struct Part {
    std::string node;
    std::string service;
    std::vector<std::string> records;
  };
  void gathered(const std::string& request, const std::vector<Part>& parts, std::size_t missing,
                std::size_t top, double min_shard_ratio, const std::string& body);
  void service_set(const std::vector<std::string>& services);

  // At the end, all being well for a while.
  void settled(const std::string& edge, std::uint64_t revision);
  void finish();

  void broken(const std::string& rule, const std::string& what) { faults_.push_back(rule + ": " + what); }
  const std::vector<std::string>& faults() const { return faults_; }
  // Since when this revision, or a later one, has been seen in force; without end where none was.
  double stood_since(std::uint64_t revision) const;
  std::uint64_t newest_acknowledged() const { return newest_; }
  std::size_t acknowledged() const { return acked_.size(); }

  double drain_s = 3;
  double retry_ratio = 0.2;
  double retry_slack = 56;
  double retry_window_s = 10;

 private:
  // Texts by a digest of theirs.
  using Text = std::pair<std::size_t, std::size_t>;
  static Text text_of(const std::string& text);
  void stands(double at, std::uint64_t revision, Text text, const std::string& where);
  std::uint64_t known_before(double moment) const;
  void finish_changes();

  struct Sent {
    std::uint64_t on_top_of = 0;
    std::uint64_t revision = 0;
  };
  std::map<Text, Sent> sent_;
  std::map<std::uint64_t, Text> acked_;     // revision -> text
  std::map<std::uint64_t, Text> acked_on_;  // on top of -> text
  std::map<Text, std::string> refused_;     // how, and when
  std::map<std::uint64_t, Text> in_force_;  // that anybody has seen: revision -> text
  // The newest revision that was known to stand, by when: acknowledged, read or routed by.
  std::vector<std::pair<double, std::uint64_t>> stood_;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> edge_revision_;
  std::map<std::string, double> left_;
  std::uint64_t newest_ = 0;
  std::set<std::set<std::string>> sets_;
  struct Traffic {
    std::vector<double> requests;
    std::vector<double> extra;
    std::set<std::string> seen;
  };
  std::map<std::string, Traffic> traffic_;
  std::vector<std::string> faults_;
};

}  // namespace pearspar::simulation
